package demand

import "time"

const (
	// binLength is the period whose arrivals are counted together.
	binLength = 500 * time.Millisecond
	// binCount is the length of a series in bins. The complete ones span two of the longest waves.
	binCount = int64(129)
)

// bin is the number of a period of binLength, counted from the origin of the caller's clock.
type bin int64

func binAt(at time.Duration) bin { return bin(at / binLength) }

// series counts the latest arrivals by bin.
type series struct {
	// last is the bin of the present. It is not complete.
	last         bin
	jobs         [binCount]uint32
	accelerators [binCount]uint64
	// totalJobs and totalSize are the sums over all bins.
	totalJobs uint64
	totalSize uint64
}

// advance makes the given bin the present one and drops the bins that are too old. It does nothing if the bin has
// passed already.
func (series *series) advance(to bin) {
	for next := max(series.last+1, to-bin(binCount)+1); next <= to; next++ {
		i := int64(next) % binCount
		series.totalJobs -= uint64(series.jobs[i])
		series.totalSize -= series.accelerators[i]
		series.jobs[i], series.accelerators[i] = 0, 0
	}
	series.last = max(series.last, to)
}

// add counts a job in the present bin.
func (series *series) add(accelerators uint64) {
	i := int64(series.last) % binCount
	series.jobs[i]++
	series.accelerators[i] += accelerators
	series.totalJobs++
	series.totalSize += accelerators
}

// count returns the number of jobs in a bin; 0 if the series does not have the bin.
func (series *series) count(of bin) float64 {
	if of < 0 || of <= series.last-bin(binCount) {
		return 0
	}
	return float64(series.jobs[int64(of)%binCount])
}

// latest returns the number of jobs in the present bin and the given number of bins before it.
func (series *series) latest(complete bin) float64 {
	sum := 0.0
	for i := range complete + 1 {
		sum += series.count(series.last - i)
	}
	return sum
}

// size returns the mean number of accelerators that a job needs.
func (series *series) size() float64 {
	if series.totalJobs == 0 {
		return 0
	}
	return float64(series.totalSize) / float64(series.totalJobs)
}
