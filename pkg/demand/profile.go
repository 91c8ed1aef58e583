package demand

import (
	"math"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// burstBins is the number of complete bins in which a burst is looked for, beside the present one.
	burstBins = 4
	// minBurstTime is the time for which the arrivals of a service have to be known before a profile's are called a burst.
	// All that arrives at the beginning of a term would be one.
	minBurstTime = 16 * time.Second
	// minBurstJobs is the smallest number of arrivals, and burstFactor the smallest multiple of the mean, that make a
	// burst. The crest of a wave is below that.
	minBurstJobs = 8
	burstFactor  = 3
	// minBurstDeviation is how far the arrivals of a burst are above the mean at least, in standard deviations of
	// independent arrivals.
	minBurstDeviation = 5
)

// profile is the estimated demand of a profile.
type profile struct {
	arrivals    series
	lastArrival time.Duration
}

// burstTime returns the length of the period in which a burst is looked for.
func burstTime(now time.Duration) time.Duration { return burstBins*binLength + now%binLength }

// latest returns the number of arrivals in the last burstTime and the number expected there by the mean before.
// observed is the time over which the arrivals are known.
func (profile *profile) latest(now, observed time.Duration) (count, expected float64) {
	count = profile.arrivals.latest(burstBins)
	before := max(observed-burstTime(now), binLength)
	expected = (float64(profile.arrivals.totalJobs) - count) * float64(burstTime(now)) / float64(before)
	return count, expected
}

// judge reports whether the latest arrivals are a burst. They say nothing about a wave then.
func (profile *profile) judge(now, observed time.Duration) bool {
	if observed < minBurstTime {
		return false
	}
	count, expected := profile.latest(now, observed)
	return count >= minBurstJobs && count >= burstFactor*expected &&
		count-expected >= minBurstDeviation*math.Sqrt(max(expected, 1))
}

// trend returns the demand of the last burstTime beyond the mean, in accelerators per second. It is the number of
// arrivals times their mean size, so that it does not follow single large jobs.
func (profile *profile) trend(now, observed time.Duration) float64 {
	count, expected := profile.latest(now, observed)
	return (count - expected) * profile.arrivals.size() / burstTime(now).Seconds()
}

func (profile *profile) estimate(now time.Duration, name fleet.ProfileName, observed time.Duration) ProfileEstimate {
	return ProfileEstimate{
		Profile: name, Rate: float64(profile.arrivals.totalSize) / max(observed, binLength).Seconds(),
		Spread: profile.spread(observed), Trend: profile.trend(now, observed), Burst: profile.judge(now, observed),
	}
}

// spread returns the variance of the number of arrivals in burstBins bins, relative to their mean.
func (profile *profile) spread(observed time.Duration) float64 {
	periods := bin(observed / binLength / burstBins)
	sum, squares := 0.0, 0.0
	for i := range periods {
		count := 0.0
		for j := range bin(burstBins) {
			count += profile.arrivals.count(profile.arrivals.last - 1 - i*burstBins - j)
		}
		sum, squares = sum+count, squares+count*count
	}
	if sum == 0 {
		return 0
	}
	mean := sum / float64(periods)
	return (squares/float64(periods) - mean*mean) / mean
}
