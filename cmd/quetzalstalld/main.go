// Command quetzalstalld is the daemon that runs one entry process of the scheduler on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/eventlog"
	"github.com/quetzalstall/quetzalstall/platform"
)

// settingsVariable is the environment variable with the path of the settings file; the flag -settings overrides it.
const settingsVariable = "QUETZALSTALL_CONFIG"

func main() {
	os.Exit(run())
}

func run() int {
	path := flag.String("settings", os.Getenv(settingsVariable), "file with the settings of the process")
	check := flag.Bool("check", false, "check the settings and exit")
	level := flag.String("log-level", "info", "minimum level of the logged messages: trace, debug, info, warn or error")
	explained := flag.String("explain", "", "print where the job in this file would go now, without submitting it, and exit")
	var request platform.ExplainRequest
	flag.StringVar(&request.Profile, "profile", "", "profile of the job to explain")
	flag.StringVar(&request.Organisation, "organisation", "", "organisation of the job to explain")
	flag.StringVar(&request.Address, "at", "", "metrics address of the daemon that explains the job")
	flag.BoolVar(&request.JSON, "json", false, "print the whole explanation as JSON")
	flag.Parse()
	if *explained != "" {
		return explain(*explained, request)
	}
	// The signals are caught before the settings are read: until then they would end the process abruptly.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quetzalstalld:", err)
		return 2
	}
	if *check {
		fmt.Println("settings are valid")
		return 0
	}
	output := eventlog.NewWriter(os.Stdout)
	defer output.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "quetzalstalld", Level: hclog.LevelFromString(*level), Output: output, JSONFormat: true,
	})
	// The soft memory limit of the Go runtime is three quarters of the VM's memory limit. The garbage collector runs
	// more often near the soft limit. The last quarter is reserved for kernel stacks, connection buffers and received
	// data that has not been read yet.
	debug.SetMemoryLimit(settings.MemoryMiB << 20 / 4 * 3)
	process := platform.NewProcess(settings)
	process.Logger = logger
	go checkSettingsOnHangup(hangups, *path, logger)
	if err := process.Run(ctx); err != nil {
		logger.Error("ended", "error", err.Error())
		return 1
	}
	return 0
}

// checkSettingsOnHangup checks the settings file at each SIGHUP, which hangups delivers, and logs the result. Addresses
// cannot change while the process runs, so a changed file takes effect only at the next start.
func checkSettingsOnHangup(hangups <-chan os.Signal, path string, logger hclog.Logger) {
	for range hangups {
		if _, err := platform.LoadSettings(path); err != nil {
			logger.Error("settings file is invalid", "error", err.Error())
			continue
		}
		logger.Info("settings file is valid and takes effect at the next start", "path", path)
	}
}
