// Package cli holds the subcommands of the quetzalstall program.
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
	// exitFailed means that the command was understood and failed.
	exitFailed = 1
	// exitUsage means that the command line is wrong.
	exitUsage = 2
)

// console is where a command writes.
type console struct {
	out, err io.Writer
}

// command is one subcommand.
type command struct {
	name    string
	summary string
	// setup declares the command's flags and returns what runs after they are parsed.
	setup func(flags *flag.FlagSet) func(ctx context.Context, console console, args []string) error
}

func commands() []command {
	return []command{
		{"serve", "run the process of an entry VM", setupServe},
		{"standin", "run stand-ins of the platform, workers and targets on loopback", setupStandin},
		{"demo", "run a whole deployment with load and failures on loopback", setupDemo},
		{"capacity", "measure what each role costs at several sizes, for docs/CAPACITY.md", setupCapacity},
		{"check", "check settings or an organisation's document", setupCheck},
		{"apply", "put an organisation's document into force", setupApply},
		{"show", "show the configuration in force", setupShow},
		{"submit", "submit a job", setupSubmit},
		{"call", "run a request on a target", setupCall},
		{"status", "tell what is known of a job or a request", setupStatus},
		{"cancel", "cancel a job", setupCancel},
		{"trace", "read the logs of daemons: what became of a job, or where the time of all jobs went", setupTrace},
		{"dump", "print the state of one process", setupDump},
		{"explain", "tell why a job or an organisation is where it is", setupExplain},
	}
}

// errUsage marks an error of the command line.
var errUsage = errors.New("usage")

// Main runs the subcommand that args name and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	console := console{out: out, err: errOut}
	if len(args) == 0 {
		usage(console)
		return exitUsage
	}
	for _, command := range commands() {
		if command.name == args[0] {
			return runCommand(ctx, console, command, args[1:])
		}
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "-help" {
		usage(console)
		return exitOK
	}
	fmt.Fprintf(errOut, "quetzalstall: unknown command %q\n", args[0])
	usage(console)
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

func usage(console console) {
	fmt.Fprintln(console.err, "usage: quetzalstall COMMAND [flags]")
	for _, command := range commands() {
		fmt.Fprintf(console.err, "  %-8s %s\n", command.name, command.summary)
	}
	fmt.Fprintln(console.err, "quetzalstall COMMAND -help lists the flags of a command.")
}
