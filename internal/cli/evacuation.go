package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
)

// timeLayout is the form of times in the text output of the commands.
const timeLayout = "2006-01-02 15:04:05 MST"

func formatTime(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(timeLayout) }

// dataCentreArgument returns the only argument of a command.
func dataCentreArgument(args []string) (string, error) {
	if len(args) != 1 {
		return "", errors.Wrap(errUsage, "exactly one DATA_CENTRE is required, after the flags")
	}
	return args[0], nil
}

// onDataCentre returns a command that calls the server for the data centre in its only argument.
func onDataCentre(
	flags *flag.FlagSet, run func(ctx context.Context, console console, server *server, name string) error,
) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	return func(ctx context.Context, console console, args []string) error {
		name, err := dataCentreArgument(args)
		if err != nil {
			return err
		}
		return run(ctx, console, server, name)
	}
}

func setupEvacuate(flags *flag.FlagSet) func(context.Context, console, []string) error {
	return onDataCentre(flags, func(ctx context.Context, console console, server *server, name string) error {
		response, err := call(ctx, server, server.operatorClient().Evacuate,
			&operatorv1.EvacuateRequest{DataCentre: name})
		if err != nil {
			return err
		}
		since := formatTime(response.SinceUnixMs)
		if response.AlreadyEvacuated {
			fmt.Fprintf(console.out, "data centre %s is already evacuated, since %s (revision %d); nothing was changed\n",
				name, since, response.Revision)
			return nil
		}
		fmt.Fprintf(console.out, "data centre %s is evacuated (revision %d)\n", name, response.Revision)
		return nil
	})
}

func setupTakeBack(flags *flag.FlagSet) func(context.Context, console, []string) error {
	return onDataCentre(flags, func(ctx context.Context, console console, server *server, name string) error {
		response, err := call(ctx, server, server.operatorClient().TakeBack,
			&operatorv1.TakeBackRequest{DataCentre: name})
		if err != nil {
			return err
		}
		fmt.Fprintf(console.out, "data centre %s is taken back (revision %d); it was evacuated since %s\n",
			name, response.Revision, formatTime(response.SinceUnixMs))
		return nil
	})
}

// evacuationList is the JSON form of the evacuations.
type evacuationList struct {
	Revision    int64        `json:"revision"`
	Evacuations []evacuation `json:"evacuations"`
}

type evacuation struct {
	DataCentre        string         `json:"data_centre"`
	Since             time.Time      `json:"since"`
	Workers           int32          `json:"workers"`
	RunningJobs       int32          `json:"running_jobs"`
	AcceleratorsInUse int64          `json:"accelerators_in_use"`
	Jobs              []evacuatedJob `json:"jobs"`
	Problems          []string       `json:"problems"`
}

type evacuatedJob struct {
	Organisation string `json:"organisation"`
	Job          string `json:"job_id"`
	Workers      int32  `json:"workers"`
	Accelerators int64  `json:"accelerators"`
	Reason       string `json:"reason"`
}

func newEvacuationList(response *operatorv1.ListEvacuationsResponse) evacuationList {
	list := evacuationList{Revision: response.Revision, Evacuations: []evacuation{}}
	for _, listed := range response.Evacuations {
		converted := evacuation{
			DataCentre: listed.DataCentre, Since: time.UnixMilli(listed.SinceUnixMs).UTC(), Workers: listed.Workers,
			RunningJobs: listed.RunningJobs, AcceleratorsInUse: listed.AcceleratorsInUse,
			Jobs: []evacuatedJob{}, Problems: append([]string{}, listed.Problems...),
		}
		for _, job := range listed.Jobs {
			converted.Jobs = append(converted.Jobs,
				evacuatedJob{job.Organisation, job.JobId, job.Workers, job.Accelerators, job.Reason})
		}
		list.Evacuations = append(list.Evacuations, converted)
	}
	return list
}

func setupEvacuations(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	asJSON := flags.Bool("json", false, "print JSON")
	return func(ctx context.Context, console console, args []string) error {
		if len(args) != 0 {
			return errors.Wrap(errUsage, "no argument is expected")
		}
		response, err := call(ctx, server, server.operatorClient().ListEvacuations,
			&operatorv1.ListEvacuationsRequest{})
		if err != nil {
			return err
		}
		list := newEvacuationList(response)
		if *asJSON {
			encoder := json.NewEncoder(console.out)
			encoder.SetIndent("", "  ")
			return encoder.Encode(list)
		}
		printEvacuations(console, list)
		return nil
	}
}

func printEvacuations(console console, list evacuationList) {
	if len(list.Evacuations) == 0 {
		fmt.Fprintln(console.out, "no data centre is evacuated")
		return
	}
	for _, listed := range list.Evacuations {
		fmt.Fprintf(console.out, "%s: evacuated since %s; %d workers, %d running jobs on %d accelerators\n",
			listed.DataCentre, listed.Since.Format(timeLayout), listed.Workers, listed.RunningJobs,
			listed.AcceleratorsInUse)
		for _, job := range listed.Jobs {
			fmt.Fprintf(console.out, "  %s/%s: %d accelerators on %d workers: %s\n",
				job.Organisation, job.Job, job.Accelerators, job.Workers, job.Reason)
		}
		if hidden := int(listed.RunningJobs) - len(listed.Jobs); hidden > 0 {
			fmt.Fprintf(console.out, "  %d more jobs\n", hidden)
		}
		for _, problem := range listed.Problems {
			fmt.Fprintf(console.out, "  problem: %s\n", problem)
		}
	}
}
