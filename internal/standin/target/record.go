package target

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Runs counts what targets did with one request id.
type Runs struct {
	Begun int
	Ended int
}

// Usage is what one target saw of its limits. Refused attempts count towards the highest values.
type Usage struct {
	Slots, HighestSlots             int
	Connections, HighestConnections int
	// RefusedSlots and RefusedConnections count attempts beyond the limits.
	RefusedSlots, RefusedConnections int
	// AcceptedConnections counts every connection that was ever accepted.
	AcceptedConnections int
	// LastBeginAfterLeaving is the time from the begin of leaving to the last begun run; 0 without one.
	LastBeginAfterLeaving time.Duration
}

// Record holds what ran. Several targets share one, so that a request that runs twice is seen.
type Record struct {
	mu sync.Mutex
	// runs is keyed by the whole Request-Id header.
	runs  map[string]*Runs
	usage map[fleet.TargetID]*Usage
}

// NewRecord returns an empty Record.
func NewRecord() *Record {
	return &Record{runs: map[string]*Runs{}, usage: map[fleet.TargetID]*Usage{}}
}

// Runs returns the counts of one request id.
func (record *Record) Runs(id string) Runs {
	record.mu.Lock()
	defer record.mu.Unlock()
	if runs, ok := record.runs[id]; ok {
		return *runs
	}
	return Runs{}
}

// Begun returns the number of begun runs over all request ids.
func (record *Record) Begun() int {
	record.mu.Lock()
	defer record.mu.Unlock()
	total := 0
	for _, runs := range record.runs {
		total += runs.Begun
	}
	return total
}

// Each calls visit for every request id; the order is not defined.
func (record *Record) Each(visit func(id string, runs Runs)) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for id, runs := range record.runs {
		visit(id, *runs)
	}
}

// Usage returns what one target saw of its limits.
func (record *Record) Usage(id fleet.TargetID) Usage {
	record.mu.Lock()
	defer record.mu.Unlock()
	return *record.usageOf(id)
}

func (record *Record) usageOf(id fleet.TargetID) *Usage {
	usage, ok := record.usage[id]
	if !ok {
		usage = &Usage{}
		record.usage[id] = usage
	}
	return usage
}

func (record *Record) begin(target fleet.TargetID, id string, slots int, left time.Duration) bool {
	record.mu.Lock()
	defer record.mu.Unlock()
	usage := record.usageOf(target)
	usage.HighestSlots = max(usage.HighestSlots, usage.Slots+1)
	if usage.Slots >= slots {
		usage.RefusedSlots++
		return false
	}
	usage.Slots++
	if left > 0 {
		usage.LastBeginAfterLeaving = left
	}
	runs, ok := record.runs[id]
	if !ok {
		runs = &Runs{}
		record.runs[id] = runs
	}
	runs.Begun++
	return true
}

func (record *Record) end(target fleet.TargetID, id string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.usageOf(target).Slots--
	record.runs[id].Ended++
}

func (record *Record) connect(target fleet.TargetID, connections int) bool {
	record.mu.Lock()
	defer record.mu.Unlock()
	usage := record.usageOf(target)
	usage.HighestConnections = max(usage.HighestConnections, usage.Connections+1)
	if usage.Connections >= connections {
		usage.RefusedConnections++
		return false
	}
	usage.Connections++
	usage.AcceptedConnections++
	return true
}

func (record *Record) disconnect(target fleet.TargetID) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.usageOf(target).Connections--
}
