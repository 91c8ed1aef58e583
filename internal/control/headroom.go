package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	// arrivalWindow is the period over which the demand of arriving urgent jobs is summed.
	arrivalWindow = 8 * time.Second
	// headroomTime is the period whose expected demand of urgent jobs is kept free. The expectation is the mean demand
	// per second over arrivalWindow.
	headroomTime = 2500 * time.Millisecond
	// headroomShare is the largest fraction of a service's accelerators that is kept free for urgent jobs.
	headroomShare = 0.25
)

// arrival is the arrival of an urgent job, with the number of accelerators that the first step of the job needs.
type arrival struct {
	at           time.Duration
	service      fleet.ServiceName
	accelerators fleet.Accelerators
}

// arrivals are the arrivals of urgent jobs within arrivalWindow, the oldest first.
type arrivals []arrival

// add records the arrival of a job if the job is urgent.
func (arrivals *arrivals) add(now time.Duration, job *job) {
	if job.policy.Priority != workload.Urgent {
		return
	}
	first := job.Steps[0]
	need := first.Each.Accelerators * fleet.Accelerators(first.Tasks)
	*arrivals = append(*arrivals, arrival{at: now, service: job.policy.Service, accelerators: need})
}

// expire drops the arrivals that are older than arrivalWindow.
func (arrivals *arrivals) expire(now time.Duration) {
	for len(*arrivals) > 0 && now-(*arrivals)[0].at > arrivalWindow {
		*arrivals = (*arrivals)[1:]
	}
}

// headroom returns the number of accelerators to keep free for urgent jobs of a service. all is the number of
// accelerators of the service.
func (arrivals arrivals) headroom(service fleet.ServiceName, all fleet.Accelerators) fleet.Accelerators {
	requested := fleet.Accelerators(0)
	for _, arrival := range arrivals {
		if arrival.service == service {
			requested += arrival.accelerators
		}
	}
	expected := float64(requested) * float64(headroomTime) / float64(arrivalWindow)
	return fleet.Accelerators(min(expected, headroomShare*float64(all)))
}
