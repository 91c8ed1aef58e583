// Package cli implements the subcommands of the quetzalstall program.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	exitOK = 0
	// exitFailed means that the command line is valid and the command failed.
	exitFailed = 1
	// exitUsage means that the command line is wrong.
	exitUsage = 2
)

// console holds the standard output and standard error of a command.
type console struct {
	out, err io.Writer
}

// command describes one subcommand.
type command struct {
	name    string
	summary string
	// setup declares the command's flags and returns the function that runs the command. The function is called with
	// the remaining arguments after the flags are parsed.
	setup func(flags *flag.FlagSet) func(ctx context.Context, console console, args []string) error
}

func commands() []command {
	return []command{
		{"serve", "run the process of an entry VM", setupServe},
		{"standin", "run stand-ins for the platform, workers and targets on loopback", setupStandin},
		{"demo", "run a complete deployment with load and failures on loopback", setupDemo},
		{"capacity", "measure the cost of each component at several sizes, for docs/CAPACITY.md", setupCapacity},
		{"check", "check settings files or organisations' documents", setupCheck},
		{"apply", "put an organisation's document into force", setupApply},
		{"show", "show the configuration in force", setupShow},
		{"submit", "submit a job", setupSubmit},
		{"call", "run a request on a target", setupCall},
		{"status", "show the status of a job or a request", setupStatus},
		{"cancel", "cancel a job", setupCancel},
		{
			"trace", "print one job's decisions, or a summary of the times of all jobs, from the daemons' logs",
			setupTrace,
		},
		{"dump", "print a snapshot of the state of one process", setupDump},
		{"explain", "print the reasons for the state of a job or an organisation", setupExplain},
		{"evacuate", "start nothing more on the workers of a data centre until it is taken back", setupEvacuate},
		{"take-back", "end the evacuation of a data centre", setupTakeBack},
		{"evacuations", "list the evacuated data centres and the work that still runs there", setupEvacuations},
	}
}

// errUsage marks an error in the command line. The usage of the command is printed after its message.
var errUsage = errors.New("usage")

// Main runs the subcommand named by the first of args and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	console := console{out: out, err: errOut}
	if len(args) == 0 {
		printUsage(console)
		return exitUsage
	}
	for _, command := range commands() {
		if command.name == args[0] {
			return runCommand(ctx, console, command, args[1:])
		}
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" {
		printUsage(console)
		return exitOK
	}
	fmt.Fprintf(errOut, "quetzalstall: unknown command %q\n", args[0])
	printUsage(console)
	return exitUsage
}

func runCommand(ctx context.Context, console console, command command, args []string) int {
	flags := flag.NewFlagSet(command.name, flag.ContinueOnError)
	flags.SetOutput(console.err)
	flags.Usage = func() {
		fmt.Fprintf(console.err, "usage: quetzalstall %s [flags]\n%s\n", command.name, command.summary)
		flags.PrintDefaults()
	}
	run := command.setup(flags)
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	}
	err := run(ctx, console, flags.Args())
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		fmt.Fprintf(console.err, "quetzalstall %s: %v\n", command.name, err)
		flags.Usage()
		return exitUsage
	}
	fmt.Fprintf(console.err, "quetzalstall %s: %v\n", command.name, err)
	return exitFailed
}

func printUsage(console console) {
	fmt.Fprintln(console.err, "usage: quetzalstall COMMAND [flags]")
	for _, command := range commands() {
		fmt.Fprintf(console.err, "  %-11s %s\n", command.name, command.summary)
	}
	fmt.Fprintln(console.err, "quetzalstall COMMAND -help lists the flags of a command.")
}
