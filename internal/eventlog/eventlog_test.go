package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

func (output *stuck) Write(line []byte) (int, error) {
	<-output.release
	return output.Buffer.Write(line)
}

// TestWriterNeverBlocks guards decisions against a reader of the log that stands still.
func TestWriterNeverBlocks(t *testing.T) {
	output := &stuck{release: make(chan struct{})}
	writer := NewWriter(output)
	for n := range 3 * queueLines {
		fmt.Fprintf(writer, "line %d\n", n)
	}
	if dropped := writer.Dropped(); dropped < queueLines {
		t.Errorf("%d lines dropped of %d", dropped, 3*queueLines)
	}
	close(output.release)
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if text := output.String(); !strings.HasPrefix(text, "line 0\n") || !strings.Contains(text, "log lines dropped") {
		t.Errorf("the output lacks the first line or the count of dropped ones")
	}
	if _, err := fmt.Fprintln(writer, "late"); err != nil {
		t.Errorf("a line after Close: %v", err)
	}
}
