// Package eventlog writes log lines through a bounded queue, so that a slow output never blocks the code that logs.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer queues lines for an output and counts the lines that it drops when the queue is full.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	mu      sync.RWMutex
	closed  bool
}

// queueLines is the number of lines that wait for the output before further lines are dropped.
const queueLines = 2048

// NewWriter returns a writer that writes to output until Close.
func NewWriter(output io.Writer) *Writer {
	writer := &Writer{output: output, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write queues one line, or drops it when the queue is full. It never blocks and never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.mu.RLock()
	defer writer.mu.RUnlock()
	if writer.closed {
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (writer *Writer) Dropped() int64 { return writer.dropped.Load() }

func (writer *Writer) run() {
	defer close(writer.done)
	reported := int64(0)
	for line := range writer.lines {
		_, _ = writer.output.Write(line)
		if dropped := writer.Dropped(); dropped > reported {
			reported = dropped
			fmt.Fprintf(writer.output,
				`{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"dropped":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}

// Close writes the queued lines and stops the writer. Lines written afterwards are discarded without being counted.
func (writer *Writer) Close() error {
	writer.mu.Lock()
	if !writer.closed {
		writer.closed = true
		close(writer.lines)
	}
	writer.mu.Unlock()
	<-writer.done
	return nil
}
