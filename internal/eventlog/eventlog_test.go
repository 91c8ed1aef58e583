package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct {
	bytes.Buffer
	release chan struct{}
}

func (output *blockedOutput) Write(line []byte) (int, error) {
	<-output.release
	return output.Buffer.Write(line)
}

// TestWriterNeverBlocks guards against a writer that blocks the code that logs while the output is blocked, and against
// dropped lines that Dropped does not count.
func TestWriterNeverBlocks(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	writer := NewWriter(output)
	for n := range 3 * queueLines {
		fmt.Fprintf(writer, "line %d\n", n)
	}
	if dropped := writer.Dropped(); dropped < queueLines {
		t.Errorf("only %d lines dropped of %d", dropped, 3*queueLines)
	}
	close(output.release)
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if text := output.String(); !strings.HasPrefix(text, "line 0\n") || !strings.Contains(text, "log lines dropped") {
		t.Errorf("the output lacks the first line or the number of dropped lines")
	}
	if _, err := fmt.Fprintln(writer, "late"); err != nil {
		t.Errorf("write after Close: %v", err)
	}
}
