package cli

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/joblog"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

func setupTrace(flags *flag.FlagSet) func(context.Context, console, []string) error {
	job := flags.String(
		"job", "",
		"print the decisions on the job with this `id` in order; empty prints a summary of the times of all jobs",
	)
	return func(_ context.Context, console console, files []string) error {
		if len(files) == 0 {
			return errors.WithMessage(errUsage, "log files of the daemons are required, or - for standard input")
		}
		lines, err := readLogs(files)
		if err != nil {
			return err
		}
		if *job == "" {
			return joblog.Summarize(lines).Write(console.out)
		}
		found := joblog.ByJob(lines)[fleet.JobID(*job)]
		if len(found) == 0 {
			return errors.Errorf("no log line for job %s", *job)
		}
		return joblog.WriteJob(console.out, found)
	}
}

func readLogs(files []string) ([]joblog.Line, error) {
	var lines []joblog.Line
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return nil, errors.WithMessage(err, name)
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(name string) ([]joblog.Line, error) {
	var input io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		input = file
	}
	return joblog.Read(input)
}
