package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall"
	"github.com/quetzalstall/quetzalstall/examples"
	"github.com/quetzalstall/quetzalstall/internal/demo"
	"github.com/quetzalstall/quetzalstall/internal/standin/deployment"
)

// newLogger returns a logger that writes JSON lines to the standard error.
func newLogger(console console, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "quetzalstall", Level: hclog.LevelFromString(level), Output: console.err, JSONFormat: true,
	})
}

// cancelOnSignal returns a context that is cancelled at the first SIGTERM or SIGINT. A second signal ends the program
// immediately.
func cancelOnSignal(ctx context.Context, console console) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		fmt.Fprintln(console.err, "quetzalstall: second signal; exiting immediately")
		os.Exit(exitFailed)
	}()
	return ctx, cancel
}

func setupServe(flags *flag.FlagSet) func(context.Context, console, []string) error {
	path := flags.String("settings", "", "file with the settings of the process")
	return func(ctx context.Context, console console, _ []string) error {
		if *path == "" {
			return errors.Wrap(errUsage, "-settings is required")
		}
		loaded, err := quetzalstall.LoadSettings(*path)
		if err != nil {
			return err
		}
		node := quetzalstall.NewNode(loaded)
		node.Logger = newLogger(console, loaded.LogLevel)
		node.Seed = uint64(time.Now().UnixNano())
		ctx, cancel := cancelOnSignal(ctx, console)
		defer cancel()
		dumpSignals := make(chan os.Signal, 1)
		signal.Notify(dumpSignals, syscall.SIGUSR1)
		defer signal.Stop(dumpSignals)
		go func() {
			for range dumpSignals {
				node.LogDump()
			}
		}()
		return node.Run(ctx)
	}
}

func setupStandin(flags *flag.FlagSet) func(context.Context, console, []string) error {
	name := flags.String("deployment", "reed", "deployment for which stand-ins run: reed or armor")
	address := flags.String(
		"platform", "", "ip:port of the platform's stand-in; empty means the address in the example settings",
	)
	return func(ctx context.Context, console console, _ []string) error {
		loaded, err := examples.Load(*name)
		if err != nil {
			return err
		}
		standins := deployment.New(loaded.Fleet)
		standins.FixedPorts = true
		standins.PlatformAddress = *address
		if *address == "" {
			standins.PlatformAddress = loaded.PlatformAddress
		}
		if err := standins.Start(); err != nil {
			return err
		}
		fmt.Fprintf(console.err, "stand-ins for %s are running; platform at %s\n", *name, standins.PlatformAddress)
		ctx, cancel := cancelOnSignal(ctx, console)
		defer cancel()
		<-ctx.Done()
		return standins.Close()
	}
}

func setupDemo(flags *flag.FlagSet) func(context.Context, console, []string) error {
	name := flags.String("deployment", "reed", "deployment: reed or armor")
	seed := flags.Int64("seed", 1, "random seed of the load")
	duration := flags.Duration("duration", 30*time.Second, "duration of the load")
	asJSON := flags.Bool("json", false, "print the result as one JSON object")
	scenario := flags.String(
		"scenario", string(demo.ScenarioMixed), "failures: mixed, rolling (planned replacement of every VM) or crash",
	)
	timeBounds := flags.Bool(
		"time-bounds", true, "fail if a wall-clock time limit is exceeded, which can happen on a busy machine",
	)
	logFile := flags.String("log", "", "file to which the processes' logs are written")
	return func(ctx context.Context, console console, _ []string) error {
		run := demo.New(*name, *seed)
		run.Duration = *duration
		run.Scenario = demo.Scenario(*scenario)
		run.Progress = console.err
		if *logFile != "" {
			file, err := os.Create(filepath.Clean(*logFile))
			if err != nil {
				return errors.Wrap(err, "create log file")
			}
			defer file.Close()
			run.Logger = hclog.New(&hclog.LoggerOptions{
				Name: "demo", Level: hclog.Debug, Output: file, JSONFormat: true,
			})
		}
		result, err := run.Run(ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			err = result.WriteJSON(console.out)
		} else {
			err = result.WriteTable(console.out)
		}
		if err != nil {
			return err
		}
		broken := result.Violations()
		if !*timeBounds {
			broken = result.UntimedViolations()
		}
		if broken > 0 {
			return errors.Errorf("%d promises were broken", broken)
		}
		return nil
	}
}
