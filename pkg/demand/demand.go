// Package demand estimates the demand of urgent jobs and decides how many accelerators of a service are kept free for
// them: the headroom. It answers demand that comes in waves of some seconds. Its decisions have no side effects outside of
// Estimator, and times are readings of the caller's monotonic clock.
package demand

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// meanWindow is the period over which steady demand is averaged.
	meanWindow = 8 * time.Second
	// headroomTime is the period whose expected demand is kept free.
	headroomTime = 2500 * time.Millisecond
	// headroomShare is the largest fraction of a service's accelerators that is kept free, on average. At the crest of a
	// wave it is crestShare.
	headroomShare = 0.25
	crestShare    = 0.375
	// maxServices bounds the services for which waves are looked for, and maxProfiles the profiles of each, so
	// that the state stays below 7 MB. The arrivals of further profiles count for their service only.
	maxServices = 8
	maxProfiles = 512
)

// Arrival is the arrival of an urgent job, with the number of accelerators that the first step of the job needs.
type Arrival struct {
	Service      fleet.ServiceName
	Profile      fleet.ProfileName
	Accelerators fleet.Accelerators
}

// Estimator estimates the demand of each service. The zero value has seen no arrivals. It is not safe for concurrent
// use.
type Estimator struct {
	recent   window
	services map[fleet.ServiceName]*service
}

// Observe records the arrival of an urgent job. Times do not go back from one call to the next.
func (estimator *Estimator) Observe(now time.Duration, arrival Arrival) {
	estimator.recent.add(now, arrival)
	known := estimator.services[arrival.Service]
	if known == nil {
		estimator.dropIdle(now)
		if len(estimator.services) >= maxServices {
			return
		}
		if estimator.services == nil {
			estimator.services = map[fleet.ServiceName]*service{}
		}
		known = newService(now)
		estimator.services[arrival.Service] = known
	}
	known.observe(now, arrival)
}

// Clone returns a copy that shares no state with the estimator.
func (estimator *Estimator) Clone() Estimator {
	cloned := Estimator{
		recent: slices.Clone(estimator.recent), services: make(map[fleet.ServiceName]*service, len(estimator.services)),
	}
	for name, known := range estimator.services {
		copied := *known
		copied.profiles = make(map[fleet.ProfileName]*profile, len(known.profiles))
		for id, former := range known.profiles {
			own := *former
			copied.profiles[id] = &own
		}
		cloned.services[name] = &copied
	}
	return cloned
}

// dropIdle drops the services without arrivals for longer than a series lasts.
func (estimator *Estimator) dropIdle(now time.Duration) {
	maps.DeleteFunc(estimator.services, func(_ fleet.ServiceName, known *service) bool {
		return binAt(now)-binAt(known.lastArrival) > bin(binCount)
	})
}

// Decision is the number of accelerators to keep free, with its reason.
type Decision struct {
	Kept fleet.Accelerators `json:"kept_accelerators"`
	// Steady is the number that is kept while demand is steady.
	Steady fleet.Accelerators `json:"steady_accelerators"`
	// Rate is the expected demand, in accelerators per second.
	Rate float64 `json:"accelerators_per_second"`
	// Wave is set if the headroom follows a wave.
	Wave bool `json:"wave"`
}

// Headroom decides how many accelerators of a service are kept free. all is the number of accelerators of the service.
func (estimator *Estimator) Headroom(
	now time.Duration, name fleet.ServiceName, all fleet.Accelerators,
) Decision {
	expected := estimator.recent.demand(now, name) * float64(headroomTime) / float64(meanWindow)
	steady := fleet.Accelerators(min(expected, headroomShare*float64(all)))
	decision := Decision{Kept: steady, Steady: steady, Rate: expected / headroomTime.Seconds()}
	known := estimator.services[name]
	if known == nil {
		return decision
	}
	known.advance(now)
	if known.following {
		decision.Rate, decision.Wave = known.wave.ahead(now, headroomTime)*known.arrivals.size(), true
		decision.Kept = fleet.Accelerators(min(decision.Rate*headroomTime.Seconds(), known.limit()*float64(all)))
	}
	known.note(now, decision, all)
	return decision
}

// window has the arrivals of the last meanWindow, the oldest first.
type window []timedArrival

type timedArrival struct {
	at           time.Duration
	service      fleet.ServiceName
	accelerators fleet.Accelerators
}

// maxArrivals bounds the entries of a window. Beyond it, arrivals count as part of the latest one of the same service.
const maxArrivals = 8192

func (window *window) add(now time.Duration, arrival Arrival) {
	window.expire(now)
	if len(*window) >= maxArrivals {
		for i := len(*window) - 1; i >= 0; i-- {
			if known := &(*window)[i]; known.service == arrival.Service {
				known.accelerators += arrival.Accelerators
				return
			}
		}
		return
	}
	*window = append(*window, timedArrival{at: now, service: arrival.Service, accelerators: arrival.Accelerators})
}

// expire drops the arrivals that are older than meanWindow.
func (window *window) expire(now time.Duration) {
	for len(*window) > 0 && now-(*window)[0].at > meanWindow {
		*window = (*window)[1:]
	}
}

// demand returns the number of accelerators that the arrivals of a service need.
func (window *window) demand(now time.Duration, name fleet.ServiceName) float64 {
	window.expire(now)
	requested := fleet.Accelerators(0)
	for _, arrival := range *window {
		if arrival.service == name {
			requested += arrival.accelerators
		}
	}
	return float64(requested)
}

// ServiceEstimate is the estimated demand of a service.
type ServiceEstimate struct {
	Service fleet.ServiceName `json:"service"`
	// Latest is the last decision.
	Latest Decision `json:"latest"`
	// WavePeriodMS, WaveSpread and WavePower describe the wave that fits the arrivals best; WaveGain is positive if it
	// has predicted them better than their mean.
	WavePeriodMS int64             `json:"wave_period_ms"`
	WaveSpread   float64           `json:"wave_spread"`
	WavePower    float64           `json:"wave_power"`
	WaveResidual float64           `json:"wave_residual"`
	WaveGain     float64           `json:"wave_gain"`
	Following    bool              `json:"following_wave"`
	Profiles     []ProfileEstimate `json:"profiles"`
}

// ProfileEstimate is the estimated demand of a profile.
type ProfileEstimate struct {
	Profile fleet.ProfileName `json:"profile"`
	// Rate is the mean demand, in accelerators per second.
	Rate float64 `json:"accelerators_per_second"`
	// Spread is the variance of the number of arrivals in two seconds, relative to their mean: 1 if they are independent.
	Spread float64 `json:"spread"`
	// Trend is the demand of the last two seconds beyond the mean, in accelerators per second.
	Trend float64 `json:"trend_accelerators_per_second"`
	Burst bool    `json:"burst"`
}

// Estimates returns the present estimates, sorted by service and profile.
func (estimator *Estimator) Estimates(now time.Duration) []ServiceEstimate {
	estimator.dropIdle(now)
	estimates := make([]ServiceEstimate, 0, len(estimator.services))
	for name, known := range estimator.services {
		known.advance(now)
		estimates = append(estimates, known.estimate(now, name))
	}
	slices.SortFunc(estimates, func(a, b ServiceEstimate) int { return cmp.Compare(a.Service, b.Service) })
	return estimates
}
