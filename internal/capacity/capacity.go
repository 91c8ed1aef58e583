// Package capacity measures the cost of the operations of each component at several sizes, such as numbers of
// organisations or VMs, and fits a line through the points of each operation, for docs/CAPACITY.md.
package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Point holds the costs of an operation at one size, the number of items that Series.Unit names. All costs except Heap
// are per run of the operation.
type Point struct {
	Size int
	// CPU is the processor time of client and server together.
	CPU time.Duration
	// Bytes is the number of bytes on the wire in both directions or, for an operation without a connection, the size
	// of the encoded data.
	Bytes float64
	// Heap is the live heap memory, in bytes, of the state that the operation works on at this size.
	Heap float64
}

// Series holds the costs of one operation at several sizes.
type Series struct {
	// Operation names the component and the operation. Unit names the items that the field Size of a point counts.
	Operation, Unit string
	Points          []Point
}

// Fit is a line fitted by least squares: cost = Base + Slope * size.
type Fit struct{ Base, Slope float64 }

// At returns the cost on the line at a size.
func (fit Fit) At(size float64) float64 { return fit.Base + fit.Slope*size }

// FitLine fits a line through the costs that the function cost returns for the points. If all points have the same
// size, Slope is 0 and Base is the mean cost.
func (series Series) FitLine(cost func(Point) float64) Fit {
	count := float64(len(series.Points))
	var sumX, sumY, sumXY, sumXX float64
	for _, point := range series.Points {
		x, y := float64(point.Size), cost(point)
		sumX, sumY, sumXY, sumXX = sumX+x, sumY+y, sumXY+x*y, sumXX+x*x
	}
	spread := count*sumXX - sumX*sumX
	if spread == 0 {
		return Fit{Base: sumY / count}
	}
	slope := (count*sumXY - sumX*sumY) / spread
	return Fit{Base: (sumY - slope*sumX) / count, Slope: slope}
}

// CPUMicros returns the processor time per operation at a point, in microseconds.
func CPUMicros(point Point) float64 { return float64(point.CPU) / float64(time.Microsecond) }

// WireBytes returns the bytes per operation at a point.
func WireBytes(point Point) float64 { return point.Bytes }

// HeapBytes returns the live heap memory at a point, in bytes.
func HeapBytes(point Point) float64 { return point.Heap }

// Write writes the points of the series and the fitted lines as a table.
func (series Series) Write(out io.Writer) error {
	fmt.Fprintf(out, "## %s\n\n", series.Operation)
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintf(table, "| %s \t| CPU us \t| bytes \t| heap bytes \t|\n", series.Unit)
	fmt.Fprint(table, "|---\t|---\t|---\t|---\t|\n")
	for _, point := range series.Points {
		fmt.Fprintf(table, "| %d \t| %.1f \t| %.0f \t| %.0f \t|\n",
			point.Size, CPUMicros(point), point.Bytes, point.Heap)
	}
	cpu, wire, heap := series.FitLine(CPUMicros), series.FitLine(WireBytes), series.FitLine(HeapBytes)
	fmt.Fprintf(table, "| slope \t| %.3f \t| %.2f \t| %.1f \t|\n", cpu.Slope, wire.Slope, heap.Slope)
	fmt.Fprintf(table, "| base \t| %.1f \t| %.0f \t| %.0f \t|\n", cpu.Base, wire.Base, heap.Base)
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	_, err := fmt.Fprintln(out)
	return err
}

// Measure runs all measurements and writes a table for each.
func Measure(ctx context.Context, out io.Writer) error {
	measurements := []func(context.Context) (Series, error){
		workerSync, heartbeat, configDocuments, configHead, configPacking, jobCopies, storeWatch, listRead,
	}
	for _, measurement := range measurements {
		series, err := measurement(ctx)
		if err != nil {
			return err
		}
		if err := series.Write(out); err != nil {
			return err
		}
	}
	return nil
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage fails only if its arguments are invalid.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the bytes of the live heap after two garbage collections.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// repeat runs an operation count times and returns the mean processor time of one run.
func repeat(count int, operation func() error) (time.Duration, error) {
	runtime.GC()
	before := processorTime()
	for range count {
		if err := operation(); err != nil {
			return 0, err
		}
	}
	return (processorTime() - before) / time.Duration(count), nil
}

// concurrency is the number of goroutines of repeatConcurrently. With a single goroutine, the runtime's search for
// runnable goroutines would dominate the processor time of a call.
const concurrency = 16

// repeatConcurrently runs an operation about count times in several goroutines and returns the mean processor time of
// one run.
func repeatConcurrently(count int, operation func() error) (time.Duration, error) {
	runtime.GC()
	before := processorTime()
	var group errgroup.Group
	for range concurrency {
		group.Go(func() error {
			for range count / concurrency {
				if err := operation(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	return (processorTime() - before) / time.Duration(count/concurrency*concurrency), err
}

// byteCounter counts the bytes that are received and sent on the connections that dial opens.
type byteCounter struct{ bytes atomic.Int64 }

func (counter *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: counter}, nil
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read counts the received bytes.
func (conn *countingConn) Read(into []byte) (int, error) {
	count, err := conn.Conn.Read(into)
	conn.counter.bytes.Add(int64(count))
	return count, err
}

// Write counts the sent bytes.
func (conn *countingConn) Write(from []byte) (int, error) {
	count, err := conn.Conn.Write(from)
	conn.counter.bytes.Add(int64(count))
	return count, err
}
