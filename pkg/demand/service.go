package demand

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// gainDecay is the weight of the past in gain at each bin, a half-life of 11 s.
	gainDecay = 0.97
	// minGainBins is the number of bins that a wave has to predict before the headroom follows it.
	minGainBins = 16
	// keptTime is the time constant of the average of what is kept.
	keptTime = 16 * time.Second
)

// service is the estimated demand of a service.
type service struct {
	began, lastArrival time.Duration
	// arrivals counts the arrivals that are not part of a burst.
	arrivals series
	profiles map[fleet.ProfileName]*profile
	wave     wave
	// following is set while the headroom follows the wave.
	following bool
	// gain is the decayed sum, over gainBins bins, of how much smaller the squared error of the wave's prediction of a
	// bin was than that of the mean over meanWindow.
	gain     float64
	gainBins int
	// meanKept is the average of the fraction of accelerators that is kept, at keptAt.
	meanKept float64
	keptAt   time.Duration
	// latest is the last decision.
	latest Decision
}

func newService(now time.Duration) *service {
	known := &service{began: now, lastArrival: now, profiles: map[fleet.ProfileName]*profile{}, keptAt: now}
	known.arrivals.last = binAt(now)
	return known
}

// firstComplete returns the first bin that is complete and in the series.
func (service *service) firstComplete() bin {
	return max(binAt(service.began)+1, service.arrivals.last-bin(binCount)+1)
}

// observed returns the time over which the arrivals of the series are known.
func (service *service) observed(now time.Duration) time.Duration {
	return min(now-service.began, time.Duration(binCount-1)*binLength)
}

func (service *service) observe(now time.Duration, arrival Arrival) {
	service.advance(now)
	service.lastArrival = now
	size := uint64(min(max(arrival.Accelerators, 0), math.MaxInt32))
	known := service.profiles[arrival.Profile]
	if known == nil && len(service.profiles) < maxProfiles {
		known = &profile{}
		service.profiles[arrival.Profile] = known
	}
	if known != nil {
		known.arrivals.advance(binAt(now))
		known.arrivals.add(size)
		known.lastArrival = now
		if known.judge(now, service.observed(now)) {
			return
		}
	}
	service.arrivals.add(size)
}

// advance completes the bins before now. If it completes any, it fits the wave once.
func (service *service) advance(now time.Duration) {
	next := binAt(now)
	if next <= service.arrivals.last {
		return
	}
	if next-service.arrivals.last > bin(binCount) {
		service.arrivals.advance(next)
	}
	for service.arrivals.last < next {
		if service.wave.found() {
			service.score()
		}
		service.arrivals.advance(service.arrivals.last + 1)
	}
	service.wave = fitWave(&service.arrivals, service.firstComplete())
	if !service.wave.found() {
		service.gain, service.gainBins = 0, 0
	}
	service.decide()
	for name, known := range service.profiles {
		if next-binAt(known.lastArrival) > bin(binCount) {
			delete(service.profiles, name)
		}
	}
}

// score compares the wave's prediction of the present bin, which is about to be complete, with that of the mean.
func (service *service) score() {
	const window = bin(meanWindow / binLength)
	mean := 0.0
	for i := range window {
		mean += service.arrivals.count(service.arrivals.last-1-i) / float64(window)
	}
	count := service.arrivals.count(service.arrivals.last)
	byMean, byWave := count-mean, count-service.wave.at(service.arrivals.last)
	service.gain = gainDecay*service.gain + byMean*byMean - byWave*byWave
	service.gainBins++
}

// decide decides whether the headroom follows the wave.
func (service *service) decide() {
	power := float64(minPower)
	if service.following {
		power = keepPower
	}
	service.following = service.wave.power >= power && service.wave.spread() >= minSpread &&
		service.wave.residual <= maxResidual && service.gainBins >= minGainBins && service.gain > 0
}

// limit returns the largest fraction of accelerators that is kept at present.
func (service *service) limit() float64 {
	if service.meanKept >= headroomShare {
		return headroomShare
	}
	return crestShare
}

// note records a decision for a service with the given number of accelerators.
func (service *service) note(now time.Duration, decision Decision, all fleet.Accelerators) {
	kept := float64(decision.Kept) / float64(max(all, 1))
	service.latest = decision
	weight := -math.Expm1(-float64(now-service.keptAt) / float64(keptTime))
	service.meanKept += weight * (kept - service.meanKept)
	service.keptAt = now
}

func (service *service) estimate(now time.Duration, name fleet.ServiceName) ServiceEstimate {
	estimate := ServiceEstimate{
		Service: name, Latest: service.latest,
		WavePeriodMS: service.wave.period().Milliseconds(), WaveSpread: service.wave.spread(),
		WavePower: service.wave.power, WaveResidual: service.wave.residual, WaveGain: service.gain,
		Following: service.following,
		Profiles:  make([]ProfileEstimate, 0, len(service.profiles)),
	}
	for name, known := range service.profiles {
		known.arrivals.advance(binAt(now))
		estimate.Profiles = append(estimate.Profiles, known.estimate(now, name, service.observed(now)))
	}
	slices.SortFunc(estimate.Profiles, func(a, b ProfileEstimate) int { return cmp.Compare(a.Profile, b.Profile) })
	return estimate
}
