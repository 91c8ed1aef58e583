package target

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Runs counts the runs of one request id on all targets.
type Runs struct {
	Begun int
	Ended int
}

// Usage is the use of the slots and connections of one target. Attempts that were refused beyond a limit count towards
// the highest values.
type Usage struct {
	Slots, HighestSlots             int
	Connections, HighestConnections int
	// RefusedSlots and RefusedConnections count the attempts that were refused beyond the limits.
	RefusedSlots, RefusedConnections int
	// AcceptedConnections counts every connection that was ever accepted.
	AcceptedConnections int
	// LastBeginAfterLeaving is the time from the call of Leave to the start of the last run that began afterwards; 0 if
	// no run did.
	LastBeginAfterLeaving time.Duration
}

// Record holds the runs of all targets that share it, so that a request that runs on two targets is detected.
type Record struct {
	mu sync.Mutex
	// runs is keyed by the complete Request-Id header.
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

// Begun returns the number of runs that have begun for all request ids.
func (record *Record) Begun() int {
	record.mu.Lock()
	defer record.mu.Unlock()
	total := 0
	for _, runs := range record.runs {
		total += runs.Begun
	}
	return total
}

// Each calls visit for every request id in undefined order.
func (record *Record) Each(visit func(id string, runs Runs)) {
	record.mu.Lock()
	defer record.mu.Unlock()
	for id, runs := range record.runs {
		visit(id, *runs)
	}
}

// Usage returns the use of the slots and connections of one target.
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

// begin counts the start of a run if the target has a free slot, or else a refused attempt, and reports whether the run
// may start. The argument leavingFor is the time since the target began to leave; 0 if the target is not leaving.
func (record *Record) begin(target fleet.TargetID, id string, slots int, leavingFor time.Duration) bool {
	record.mu.Lock()
	defer record.mu.Unlock()
	usage := record.usageOf(target)
	usage.HighestSlots = max(usage.HighestSlots, usage.Slots+1)
	if usage.Slots >= slots {
		usage.RefusedSlots++
		return false
	}
	usage.Slots++
	if leavingFor > 0 {
		usage.LastBeginAfterLeaving = leavingFor
	}
	runs, ok := record.runs[id]
	if !ok {
		runs = &Runs{}
		record.runs[id] = runs
	}
	runs.Begun++
	return true
}

// end counts the end of a run and frees its slot.
func (record *Record) end(target fleet.TargetID, id string) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.usageOf(target).Slots--
	record.runs[id].Ended++
}

// connect counts a connection as accepted or refused, and reports whether it is within the target's limit on open
// connections.
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

// disconnect counts the end of a connection.
func (record *Record) disconnect(target fleet.TargetID) {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.usageOf(target).Connections--
}
