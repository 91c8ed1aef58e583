package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/platform"
)

// TestSignalDuringStart guards against a process that a signal ends abruptly because it arrives before the settings have
// been read: SIGHUP must not end it, and SIGTERM must end it with exit code 0.
func TestSignalDuringStart(t *testing.T) {
	folder := t.TempDir()
	binary := filepath.Join(folder, "quetzalstalld")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	const address = "127.0.0.1:0"
	settings, err := json.Marshal(platform.Settings{
		Name: "vm0", DataCentre: "z", CallersAddress: address, ReadinessAddress: address, MetricsAddress: address,
		PeerAddress: address, StoreAddress: address, MemoryMiB: 100, ProcessorShare: 1, ProcessorCores: 1,
		WorkerReportMS: 1000, CapacityGraceMS: 1000, LongestLeaseMS: 10000, ConfigApplyMS: 1000, ConfigStretchMS: 1000,
		ShutdownMS: 3000, RetentionS: 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, sent := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(sent.String(), func(t *testing.T) {
			// The process waits for its settings until they are written to the pipe.
			path := filepath.Join(t.TempDir(), "settings.json")
			if err := syscall.Mkfifo(path, 0o600); err != nil {
				t.Fatal(err)
			}
			arguments := []string{"-settings", path}
			if sent == syscall.SIGHUP {
				arguments = append(arguments, "-check")
			}
			process := exec.Command(binary, arguments...)
			process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			// Opening the pipe blocks until the process reads it.
			pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			if err := process.Process.Signal(sent); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			_, _ = pipe.Write(settings)
			_ = pipe.Close()
			if err := process.Wait(); err != nil {
				t.Errorf("process ended with %v, want exit code 0", err)
			}
		})
	}
}
