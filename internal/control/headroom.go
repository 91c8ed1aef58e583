package control

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	// arrivalWindow is how far back urgent arrivals are looked at.
	arrivalWindow = 8 * time.Second
	// headroomTime times the accelerators that urgent work asked for in a second is kept free for it.
	headroomTime = 2500 * time.Millisecond
	// headroomShare bounds what is kept free, as a share of a service's accelerators.
	headroomShare = 0.25
)

// arrival is the demand of an urgent job.
type arrival struct {
	at           time.Duration
	service      fleet.ServiceName
	accelerators fleet.Accelerators
}

// arrivals remembers the urgent demand of the last seconds.
type arrivals []arrival

// note adds the demand of a job if it is urgent.
func (arrivals *arrivals) note(now time.Duration, job *job) {
	if job.terms.Priority != workload.Urgent {
		return
	}
	first := job.Steps[0]
	need := first.Each.Accelerators * fleet.Accelerators(first.Tasks)
	*arrivals = append(*arrivals, arrival{at: now, service: job.terms.Service, accelerators: need})
}

// forget drops what is older than the window.
func (arrivals *arrivals) forget(now time.Duration) {
	for len(*arrivals) > 0 && now-(*arrivals)[0].at > arrivalWindow {
		*arrivals = (*arrivals)[1:]
	}
}

// headroom returns the accelerators that are kept free for urgent work of a service that has so many in all.
func (arrivals arrivals) headroom(service fleet.ServiceName, all fleet.Accelerators) fleet.Accelerators {
	asked := fleet.Accelerators(0)
	for _, arrival := range arrivals {
		if arrival.service == service {
			asked += arrival.accelerators
		}
	}
	expected := float64(asked) * float64(headroomTime) / float64(arrivalWindow)
	return fleet.Accelerators(min(expected, headroomShare*float64(all)))
}
