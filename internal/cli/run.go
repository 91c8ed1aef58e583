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

// newLogger returns a logger of JSON lines.
func newLogger(console console, level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "quetzalstall", Level: hclog.LevelFromString(level), Output: console.err, JSONFormat: true,
	})
}

// untilSignal returns a context that ends with the first SIGTERM or SIGINT. A second one ends the program at once.
func untilSignal(ctx context.Context, console console) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		fmt.Fprintln(console.err, "quetzalstall: second signal; ended at once")
		os.Exit(exitFailed)
	}()
	return ctx, cancel
}

func setupServe(flags *flag.FlagSet) func(context.Context, console, []string) error {
	path := flags.String("settings", "", "file with the settings of the process")
	return func(ctx context.Context, console console, _ []string) error {
		if *path == "" {
			return errors.Wrap(errUsage, "needs -settings")
		}
		loaded, err := quetzalstall.LoadSettings(*path)
		if err != nil {
			return err
		}
		served := quetzalstall.NewNode(loaded)
		served.Logger = newLogger(console, loaded.LogLevel)
		served.Seed = uint64(time.Now().UnixNano())
		ctx, cancel := untilSignal(ctx, console)
		defer cancel()
		dumps := make(chan os.Signal, 1)
		signal.Notify(dumps, syscall.SIGUSR1)
		defer signal.Stop(dumps)
		go func() {
			for range dumps {
				served.LogDump()
			}
		}()
		return served.Run(ctx)
	}
}

func setupStandin(flags *flag.FlagSet) func(context.Context, console, []string) error {
	name := flags.String("deployment", "reed", "deployment whose platform, workers and targets are stood in for: reed or armor")
	address := flags.String("platform", "", "ip:port of the platform's stand-in; empty takes the one of the example settings")
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
		fmt.Fprintf(console.err, "stand-ins of %s run; platform at %s\n", *name, standins.PlatformAddress)
		ctx, cancel := untilSignal(ctx, console)
		defer cancel()
		<-ctx.Done()
		return standins.Close()
	}
}

func setupDemo(flags *flag.FlagSet) func(context.Context, console, []string) error {
	name := flags.String("deployment", "reed", "deployment: reed or armor")
	seed := flags.Int64("seed", 1, "seed of the load")
	duration := flags.Duration("duration", 30*time.Second, "time of the load")
	asJSON := flags.Bool("json", false, "print the result as one JSON object")
	scenario := flags.String("scenario", string(demo.ScenarioMixed), "failures: mixed, rolling (planned replacement of every VM) or crash")
	timeBounds := flags.Bool("time-bounds", true, "fail when a bound on the wall clock is missed, which a busy machine can cause")
	logFile := flags.String("log", "", "file for the processes' log lines")
	return func(ctx context.Context, console console, _ []string) error {
		run := demo.New(*name, *seed)
		run.Duration = *duration
		run.Scenario = demo.Scenario(*scenario)
		run.Progress = console.err
		if *logFile != "" {
			file, err := os.Create(filepath.Clean(*logFile))
			if err != nil {
				return errors.Wrap(err, "create log")
			}
			defer file.Close()
			run.Logger = hclog.New(&hclog.LoggerOptions{Name: "demo", Level: hclog.Debug, Output: file, JSONFormat: true})
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
