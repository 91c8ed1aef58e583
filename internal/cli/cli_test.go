package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a wrong command line that ends with success or without a hint.
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
		{"missing id", []string{"submit", "-profile", "p"}, exitUsage, "needs -job"},
		{"both subjects", []string{"status", "-job", "a", "-request", "b"}, exitUsage, "needs -job or -request"},
		{"no file", []string{"check"}, exitUsage, "needs files"},
		{"explain without subject", []string{"explain"}, exitUsage, "needs ORGANISATION"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := Main(context.Background(), test.args, &out, &errOut); code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			if !strings.Contains(errOut.String(), test.want) {
				t.Errorf("output %q lacks %q", errOut.String(), test.want)
			}
		})
	}
}

// Guards against a check that stops at the first problem or the first file.
func TestCheckReportsAllFiles(t *testing.T) {
	folder := t.TempDir()
	document := filepath.Join(folder, "organisation.json")
	settings := filepath.Join(folder, "settings.json")
	write(t, document, `{"organisation": "X", "max_waiting": 0}`)
	write(t, settings, `{"vm_id": "a"}`)
	var out, errOut bytes.Buffer
	code := Main(context.Background(), []string{"check", document, settings}, &out, &errOut)
	if code != exitFailed {
		t.Errorf("exit code %d, want %d", code, exitFailed)
	}
	for _, want := range []string{"organisation: needs 1 to 64", "max_waiting: 0 is not within", "caller_address: needs an IP"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
