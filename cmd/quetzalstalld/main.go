// Command quetzalstalld is the entry process on the users' platform.
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

// settingsVariable names the settings file when no flag does.
const settingsVariable = "QUETZALSTALL_CONFIG"

func main() {
	os.Exit(run())
}

func run() int {
	path := flag.String("settings", os.Getenv(settingsVariable), "file with the settings of the process")
	check := flag.Bool("check", false, "check the settings and exit")
	level := flag.String("log-level", "info", "least level that is logged: trace, debug, info, warn or error")
	flag.Parse()
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
	// The collector works harder before the VM's memory bound is reached. The rest is for stacks of the kernel, buffers of
	// connections and what has arrived and is not read yet.
	debug.SetMemoryLimit(settings.MemoryMiB << 20 / 4 * 3)
	process := platform.NewProcess(settings)
	process.Logger = logger
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go logReloads(*path, logger)
	if err := process.Run(ctx); err != nil {
		logger.Error("ended", "error", err.Error())
		return 1
	}
	return 0
}

// logReloads checks the settings file at each SIGHUP. Addresses cannot change while the process runs, so a changed
// file takes effect at the next start.
func logReloads(path string, logger hclog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		if _, err := platform.LoadSettings(path); err != nil {
			logger.Error("settings not reloaded", "error", err.Error())
			continue
		}
		logger.Info("settings read again", "path", path)
	}
}
