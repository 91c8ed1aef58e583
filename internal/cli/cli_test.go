package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a wrong command line that ends with exit code 0 or without an error message.
func TestCommandLineErrors(t *testing.T) {
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, exitUsage, "usage:"},
		{"unknown command", []string{"frobnicate"}, exitUsage, `unknown command "frobnicate"`},
		{"unknown flag", []string{"show", "-nonsense"}, exitUsage, "flag provided but not defined"},
		{"help", []string{"help"}, exitOK, "apply"},
		{"missing id", []string{"submit", "-profile", "p"}, exitUsage, "-job and -profile are required"},
		{
			"job and request", []string{"status", "-job", "a", "-request", "b"}, exitUsage,
			"exactly one of -job and -request is required",
		},
		{"no file", []string{"check"}, exitUsage, "at least one file is required"},
		{"trace without logs", []string{"trace"}, exitUsage, "log files of the daemons are required"},
		{"trace of a missing log", []string{"trace", "does-not-exist.log"}, exitFailed, "does-not-exist.log"},
		{
			"explain without organisation", []string{"explain"}, exitUsage,
			"ORGANISATION or ORGANISATION/JOB is required",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := Main(context.Background(), test.args, &out, &errOut); code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			if !strings.Contains(errOut.String(), test.want) {
				t.Errorf("output %q does not contain %q", errOut.String(), test.want)
			}
		})
	}
}

// Guards against a check command that reports only the first problem of a file, or only the problems of the first file.
func TestCheckReportsAllFiles(t *testing.T) {
	folder := t.TempDir()
	document := filepath.Join(folder, "organisation.json")
	settings := filepath.Join(folder, "settings.json")
	writeFile(t, document, `{"organisation": "X", "max_waiting": 0}`)
	writeFile(t, settings, `{"vm_id": "a"}`)
	var out, errOut bytes.Buffer
	code := Main(context.Background(), []string{"check", document, settings}, &out, &errOut)
	if code != exitFailed {
		t.Errorf("exit code %d, want %d", code, exitFailed)
	}
	for _, want := range []string{
		"organisation: needs 1 to 64", "max_waiting: 0 is not within", "caller_address: needs an IP",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output does not contain %q:\n%s", want, out.String())
		}
	}
}

// Guards against a trace command that omits lines of one of several logs, or that prints lines of other jobs than the
// requested one.
func TestTraceReadsAllLogs(t *testing.T) {
	folder := t.TempDir()
	first, second := filepath.Join(folder, "vm0.log"), filepath.Join(folder, "vm1.log")
	writeFile(t, first, `{"@message":"job state stored","@timestamp":"2026-01-01T00:00:02Z","job":"a","state":"completed"}
{"@message":"job taken","@timestamp":"2026-01-01T00:00:00Z","job":"b","profile":"p","waited_ms":0}
`)
	writeFile(t, second, `{"@message":"job taken","@timestamp":"2026-01-01T00:00:01Z","job":"a","profile":"p","waited_ms":0}
`)
	tests := []struct {
		name         string
		args         []string
		code         int
		want, absent string
	}{
		{
			"job", []string{"trace", "-job", "a", first, second}, exitOK,
			"1.000 s  {\"@message\":\"job state stored\"", `"b"`,
		},
		{"all jobs", []string{"trace", first, second}, exitOK, "completed", ""},
		{"unknown job", []string{"trace", "-job", "c", first, second}, exitFailed, "no log line for job c", ""},
	}
	for _, test := range tests {
		var out bytes.Buffer
		code := Main(context.Background(), test.args, &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.want) {
			t.Errorf("%s: exit code %d and output %q, want exit code %d and %q in the output",
				test.name, code, out.String(), test.code, test.want)
		}
		if test.absent != "" && strings.Contains(out.String(), test.absent) {
			t.Errorf("%s: output %q contains %q", test.name, out.String(), test.absent)
		}
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
