// Package capacity measures what each role costs at several sizes and fits slopes, for docs/CAPACITY.md.
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

// Point is the cost at one size. Costs are per operation but for Heap.
type Point struct {
	Size int
	// CPU is the processor time of both ends together.
	CPU time.Duration
	// Bytes are those on the wire in both directions.
	Bytes float64
	// Heap is the memory that the state of this size keeps, in bytes.
	Heap float64
}

// Series is one role's cost over several sizes.
type Series struct {
	// Role names the role and the operation, Unit what Size counts.
	Role, Unit string
	Points     []Point
}

// Fit is a line by least squares: cost = Base + Slope * size.
type Fit struct{ Base, Slope float64 }

// At returns the cost at a size.
func (fit Fit) At(size float64) float64 { return fit.Base + fit.Slope*size }

// FitOf returns the line through one cost of the points.
func (series Series) FitOf(cost func(Point) float64) Fit {
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

// CPUMicros returns the processor time of a point in microseconds.
func CPUMicros(point Point) float64 { return float64(point.CPU) / float64(time.Microsecond) }

// WireBytes returns the bytes of a point.
func WireBytes(point Point) float64 { return point.Bytes }

// HeapBytes returns the kept memory of a point.
func HeapBytes(point Point) float64 { return point.Heap }

// Write writes the series and its lines as a table.
func (series Series) Write(out io.Writer) error {
	fmt.Fprintf(out, "## %s\n\n", series.Role)
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintf(table, "| %s \t| CPU us \t| bytes \t| heap bytes \t|\n", series.Unit)
	fmt.Fprint(table, "|---\t|---\t|---\t|---\t|\n")
	for _, point := range series.Points {
		fmt.Fprintf(table, "| %d \t| %.1f \t| %.0f \t| %.0f \t|\n", point.Size, CPUMicros(point), point.Bytes, point.Heap)
	}
	cpu, wire, heap := series.FitOf(CPUMicros), series.FitOf(WireBytes), series.FitOf(HeapBytes)
	fmt.Fprintf(table, "| slope \t| %.3f \t| %.2f \t| %.1f \t|\n", cpu.Slope, wire.Slope, heap.Slope)
	fmt.Fprintf(table, "| base \t| %.1f \t| %.0f \t| %.0f \t|\n", cpu.Base, wire.Base, heap.Base)
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	_, err := fmt.Fprintln(out)
	return err
}

// Measure runs every measurement and writes the tables.
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

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the live heap after a collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// repeat runs an operation several times and returns the processor time of one.
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

// callers is the number of concurrent callers of repeatConcurrently. With a single one, the runtime's search for
// runnable goroutines would dominate the processor time of a call.
const callers = 16

// repeatConcurrently is repeat with several callers at once.
func repeatConcurrently(count int, operation func() error) (time.Duration, error) {
	runtime.GC()
	before := processorTime()
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			for range count / callers {
				if err := operation(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := group.Wait()
	return (processorTime() - before) / time.Duration(count/callers*callers), err
}

// meter counts the bytes of the connections that it opens.
type meter struct{ bytes atomic.Int64 }

func (meter *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read counts what arrives.
func (conn *meteredConn) Read(into []byte) (int, error) {
	count, err := conn.Conn.Read(into)
	conn.meter.bytes.Add(int64(count))
	return count, err
}

// Write counts what is sent.
func (conn *meteredConn) Write(from []byte) (int, error) {
	count, err := conn.Conn.Write(from)
	conn.meter.bytes.Add(int64(count))
	return count, err
}
