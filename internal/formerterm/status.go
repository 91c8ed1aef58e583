package formerterm

import (
	"sync"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/term"
)

// Status is what a process tells of itself to the holder of a later term. Its times are differences, since the clocks of two
// VMs have different zero points.
type Status struct {
	Name     string   `json:"name"`
	Instance Instance `json:"instance"`
	// ServingMS is the time since the process began to listen at its peer address, in milliseconds.
	ServingMS int64 `json:"serving_ms"`
	// Phase is what the process does in the election, SinceMS for how long, in milliseconds, and Token the term that it
	// leads.
	Phase   term.Phase        `json:"phase"`
	SinceMS int64             `json:"since_ms"`
	Token   keyvalue.Revision `json:"token,omitempty"`
}

// minClockRate is the rate of the slowest clock of a VM relative to that of another one.
const minClockRate = 0.98

// lastOrder returns a time, on the local clock, after which the holder of a former term has certainly computed no deadline of
// an order, given the status of the process that was received at its address at a local time. It reports false if the status
// proves nothing.
func lastOrder(former former, status Status, receivedAt time.Duration) (time.Duration, bool) {
	if status.Name != former.holder.Name {
		// Another VM has the address; the former holder may be cut off.
		return 0, false
	}
	age := status.SinceMS
	switch {
	case status.Instance == "":
		return 0, false
	case status.Instance != former.holder.Instance:
		// One process at a time listens at an address of a VM, and a suspended one keeps it.
		age = status.ServingMS
	case status.Phase == term.Idle:
	case status.Phase == term.Leading && status.Token > former.token:
	default:
		// The process may lead the term, or be about to: the response to its campaign may be on its way.
		return 0, false
	}
	if age < 0 || age > maxAge.Milliseconds() {
		return 0, false
	}
	return receivedAt - time.Duration(float64(age)*minClockRate)*time.Millisecond, true
}

// maxAge is the longest time that a status may tell.
const maxAge = 100 * 365 * 24 * time.Hour

// Activity is what this process does in the election. Its exported fields are set before the first call.
type Activity struct {
	Name     string
	Instance Instance
	Clock    term.Clock

	mu      sync.Mutex
	serving time.Duration
	phase   term.Phase
	token   keyvalue.Revision
	since   time.Duration
}

// RecordServing records that the process has begun to listen at its peer address.
func (activity *Activity) RecordServing() {
	activity.mu.Lock()
	defer activity.mu.Unlock()
	activity.serving = activity.Clock()
	activity.phase, activity.since = term.Idle, activity.serving
}

// RecordPhase records what the process does in the election from now on. It is called before a campaign begins, before a
// term is led, and once no order of the term can be sent any more.
func (activity *Activity) RecordPhase(phase term.Phase, token keyvalue.Revision) {
	activity.mu.Lock()
	defer activity.mu.Unlock()
	activity.phase, activity.token, activity.since = phase, token, activity.Clock()
}

// Status returns the present status.
func (activity *Activity) Status() Status {
	activity.mu.Lock()
	defer activity.mu.Unlock()
	now := activity.Clock()
	return Status{
		Name: activity.Name, Instance: activity.Instance, ServingMS: (now - activity.serving).Milliseconds(),
		Phase: activity.phase, SinceMS: (now - activity.since).Milliseconds(), Token: activity.token,
	}
}
