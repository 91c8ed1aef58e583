package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/settings"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

func setupCheck(*flag.FlagSet) func(context.Context, console, []string) error {
	return func(_ context.Context, console console, args []string) error {
		if len(args) == 0 {
			return errors.Wrap(errUsage, "at least one file is required")
		}
		failed := 0
		for _, path := range args {
			if err := checkFile(path); err != nil {
				failed++
				for line := range strings.SplitSeq(err.Error(), "\n") {
					fmt.Fprintf(console.out, "%s: %s\n", path, line)
				}
				continue
			}
			fmt.Fprintf(console.out, "%s: ok\n", path)
		}
		if failed > 0 {
			return errors.Errorf("files with problems: %d of %d", failed, len(args))
		}
		return nil
	}
}

// checkFile checks one file. A file with the field organisation or profiles is an organisation's document; any other
// file is a settings file.
func checkFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	var probe struct {
		Organisation *json.RawMessage `json:"organisation"`
		Profiles     *json.RawMessage `json:"profiles"`
	}
	if err := json.Unmarshal(data, &probe); err == nil && (probe.Organisation != nil || probe.Profiles != nil) {
		_, err := profile.ParseOrganisation(data)
		return err
	}
	_, err = settings.Parse(data)
	return err
}

func setupApply(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	file := flags.String("file", "", "file with the organisation's document")
	remove := flags.String("remove", "", "organisation to remove, instead of -file")
	seen := flags.Int64("seen", -1, "revision on which the edit is based; -1 means the one in force now")
	edit := flags.String("edit", "", "id of the edit, to repeat an edit whose response was lost; random if empty")
	preview := flags.Bool(
		"preview", false, "only show the changes that the edit would make and the running work that it would affect",
	)
	return func(ctx context.Context, console console, _ []string) error {
		request, err := newApplyRequest(*file, *remove)
		if err != nil {
			return err
		}
		request.EditId = *edit
		if request.EditId == "" {
			request.EditId = randomID()
		}
		request.SeenRevision = *seen
		if *seen < 0 {
			current, err := call(
				ctx, server, server.operatorClient().Show, &operatorv1.ShowRequest{Organisation: request.Organisation},
			)
			if err != nil {
				return err
			}
			request.SeenRevision = current.Revision
		}
		if err := showPreview(ctx, console, server, request); err != nil || *preview {
			return err
		}
		response, err := call(ctx, server, server.operatorClient().Apply, request)
		if err != nil {
			return errors.Wrapf(err, "edit %s", request.EditId)
		}
		fmt.Fprintf(console.out, "revision %d is accepted (edit %s)\n", response.Revision, request.EditId)
		return nil
	}
}

func newApplyRequest(file, remove string) (*operatorv1.ApplyRequest, error) {
	if (file == "") == (remove == "") {
		return nil, errors.Wrap(errUsage, "exactly one of -file and -remove is required")
	}
	if remove != "" {
		return &operatorv1.ApplyRequest{Organisation: remove}, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	organisation, err := profile.ParseOrganisation(data)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", file)
	}
	return &operatorv1.ApplyRequest{Organisation: string(organisation.ID), DocumentJson: string(data)}, nil
}

// showPreview prints the changes that an edit would make, the preemptions that the edit may cause, and the problems for
// which the edit would be refused. It returns an error if there are problems.
func showPreview(ctx context.Context, console console, server *server, request *operatorv1.ApplyRequest) error {
	preview, err := call(ctx, server, server.operatorClient().Preview, request)
	if err != nil {
		return err
	}
	if len(preview.Changes) == 0 && len(preview.Problems) == 0 {
		fmt.Fprintln(console.out, "no changes")
	}
	printLines(console, "change", preview.Changes)
	printLines(console, "reclaim", preview.Reclaims)
	printLines(console, "problem", preview.Problems)
	if len(preview.Problems) > 0 {
		return errors.Errorf("the edit would be refused; problems: %d", len(preview.Problems))
	}
	return nil
}

func printLines(console console, label string, lines []string) {
	for _, line := range lines {
		fmt.Fprintf(console.out, "%s: %s\n", label, line)
	}
}

func randomID() string {
	id := make([]byte, 12)
	// rand.Read never returns an error. It ends the program if the system's random source fails.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

func setupShow(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	request := &operatorv1.ShowRequest{}
	flags.StringVar(&request.Organisation, "organisation", "", "show only this organisation")
	return func(ctx context.Context, console console, _ []string) error {
		response, err := call(ctx, server, server.operatorClient().Show, request)
		if err != nil {
			return err
		}
		fmt.Fprintf(console.err, "revision %d\n", response.Revision)
		return printJSON(console, response.ConfigJson)
	}
}

func setupDump(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	return func(ctx context.Context, console console, _ []string) error {
		response, err := call(ctx, server, server.operatorClient().Dump, &operatorv1.DumpRequest{})
		if err != nil {
			return err
		}
		return printJSON(console, response.StateJson)
	}
}

func setupExplain(flags *flag.FlagSet) func(context.Context, console, []string) error {
	server := &server{}
	server.addFlags(flags)
	return func(ctx context.Context, console console, args []string) error {
		if len(args) != 1 {
			return errors.Wrap(errUsage, "ORGANISATION or ORGANISATION/JOB is required")
		}
		organisation, job, _ := strings.Cut(args[0], "/")
		request := &operatorv1.ExplainRequest{Organisation: organisation, JobId: job}
		response, err := call(ctx, server, server.operatorClient().Explain, request)
		if err != nil {
			return err
		}
		for _, line := range response.Lines {
			fmt.Fprintln(console.out, line)
		}
		return nil
	}
}

// printJSON writes a JSON text with indentation.
func printJSON(console console, text string) error {
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		return errors.Wrap(err, "response is not valid JSON")
	}
	encoder := json.NewEncoder(console.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
