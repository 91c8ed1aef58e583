package keyvalue

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// TestInvalidItemIsLoggedOnce guards against a log line at each write or listing of an item that stays invalid.
func TestInvalidItemIsLoggedOnce(t *testing.T) {
	var output bytes.Buffer
	items := NewInvalidItems(hclog.New(&hclog.LoggerOptions{Output: &output}), hclog.Warn, "broken", "mended")
	first, second := errors.New("first"), errors.New("second")
	steps := []struct {
		name, line string
		do         func()
	}{
		{"a valid item", "", func() { items.Accept("a") }},
		{"becomes invalid", `broken: key=a error=first`, func() { items.Reject("a", first) }},
		{"stays invalid", "", func() { items.Reject("a", first) }},
		{"another item", `broken: key=b error=first`, func() { items.Reject("b", first) }},
		{"listed again", "", func() { items.RemoveOthers([]Change{{Item: Item{Key: "a"}}}); items.Reject("a", first) }},
		{"not listed", `broken: key=b error=first`, func() { items.Reject("b", first) }},
		{"another error", `broken: key=a error=second`, func() { items.Reject("a", second) }},
		{"valid again", `mended: key=a`, func() { items.Accept("a") }},
		{"stays valid", "", func() { items.Accept("a") }},
		{"invalid again", `broken: key=a error=first`, func() { items.Reject("a", first) }},
		{"deleted", "", func() { items.Remove("a") }},
		{"written again", `broken: key=a error=first`, func() { items.Reject("a", first) }},
	}
	for _, step := range steps {
		output.Reset()
		step.do()
		if line := output.String(); step.line == "" && line != "" || !strings.Contains(line, step.line) {
			t.Errorf("%s: logged %q, want %q", step.name, line, step.line)
		}
	}
}
