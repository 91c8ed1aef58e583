package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxComparisons limits the comparisons for one direction of a pair, and maxAlike those of one job or one worker among
	// them, so that a large job or a busy worker does not crowd out the others.
	maxComparisons = 32
	maxAlike       = 4
	// minJobs and minWorkers are the numbers of jobs, and of workers on each side, that a pair needs to begin to count.
	minJobs    = 4
	minWorkers = 4
	// freshWeight is the weight from which on a comparison counts for minJobs and minWorkers.
	freshWeight = 0.5
	// minWeight is the sum of the weights of the workers below which a pair ceases to count, and forgottenWeight the weight
	// below which a comparison is dropped.
	minWeight       = 1
	forgottenWeight = 1.0 / 16
	// beginConfidence is the confidence from which on a pair may begin to count. Thousands of pairs are judged again and
	// again: with 0.999, several of some hundred pairs of kinds that do not interfere counted within ten minutes. keepConfidence is that below which a pair ceases to count.
	beginConfidence = 0.9999
	keepConfidence  = 0.9
	// minSpread is a lower limit for the spread of slowdowns, as a logarithm. A few values may be close to each other by
	// chance.
	minSpread = 0.1
	// deviationOfMAD is the ratio of the standard deviation to the median absolute deviation, and errorOfMedian that of the
	// standard error of a median to the error of a mean, both of normally distributed values.
	deviationOfMAD = 1.4826
	errorOfMedian  = 1.2533
)

// comparison is the slowdown of a job's runs beside a neighbour on one worker, in relation to runs without it.
type comparison struct {
	job, worker identity
	references  [2]identity
	// effect is the logarithm of the slowdown.
	effect float32
	at     time.Duration
}

func (found comparison) weight(now time.Duration) float64 {
	return math.Exp2(-max(now-found.at, 0).Seconds() / HalfLife.Seconds())
}

// evidence is the comparisons for the slowdown of one kind by another. Its methods that only read may be called on nil.
type evidence struct {
	comparisons []comparison
	// news is set while comparisons have not been evaluated yet.
	news bool
	// counts is set while the kind counts as slowed down by the other one.
	counts bool
}

// put adds a comparison. It replaces the former one of the same job on the same worker or, beyond a limit, the oldest
// of the same job, of the same worker or of all.
func (known *evidence) put(added comparison) {
	sameJob, sameWorker, overall := oldest{index: -1}, oldest{index: -1}, oldest{index: -1}
	for i, found := range known.comparisons {
		if found.job == added.job && found.worker == added.worker {
			if found.at < added.at {
				known.comparisons[i], known.news = added, true
			}
			return
		}
		if found.job == added.job {
			sameJob.note(i, found.at)
		}
		if found.worker == added.worker {
			sameWorker.note(i, found.at)
		}
		overall.note(i, found.at)
	}
	known.news = true
	switch {
	case sameJob.count >= maxAlike:
		known.comparisons[sameJob.index] = added
	case sameWorker.count >= maxAlike:
		known.comparisons[sameWorker.index] = added
	case overall.count >= maxComparisons:
		known.comparisons[overall.index] = added
	default:
		known.comparisons = append(known.comparisons, added)
	}
}

// oldest finds the oldest of the comparisons that are noted.
type oldest struct {
	count, index int
	at           time.Duration
}

func (found *oldest) note(index int, at time.Duration) {
	if found.count == 0 || at < found.at {
		found.index, found.at = index, at
	}
	found.count++
}

func (known *evidence) hasNews() bool { return known != nil && known.news }

// interferes reports whether the kind counts as slowed down.
func (known *evidence) interferes() bool { return known != nil && known.counts }

// forgotten reports whether no comparison is left.
func (known *evidence) forgotten() bool { return known == nil || len(known.comparisons) == 0 }

// Estimate is the slowdown of one kind by another.
type Estimate struct {
	// Slowdown is the run time beside the neighbour relative to that without it.
	Slowdown float64
	// Confidence is the probability that there is a slowdown at all, from the spread of the comparisons over workers and
	// over jobs.
	Confidence float64
	// Jobs, Workers and References are the numbers of jobs, of workers with the neighbour and of workers without it in
	// recent comparisons.
	Jobs, Workers, References int
	// weight is the number of workers, each weighted by the age of its comparisons.
	weight float64
}

// known reports whether the comparisons are of enough jobs and workers to begin to count.
func (found Estimate) known() bool {
	return found.Jobs >= minJobs && found.Workers >= minWorkers && found.References >= minWorkers &&
		found.Confidence >= beginConfidence
}

// begins reports whether a pair with this estimate begins to count as interfering.
func (found Estimate) begins() bool { return found.known() && found.Slowdown >= MinSlowdown }

// stays reports whether a pair with this estimate still counts as interfering.
func (found Estimate) stays() bool {
	return found.weight >= minWeight && found.Confidence >= keepConfidence && found.Slowdown >= keepSlowdown
}

// judge decides whether the kind counts as slowed down, and drops comparisons that are too old.
func (known *evidence) judge(now time.Duration) {
	if known == nil {
		return
	}
	found := known.estimate(now)
	known.counts = found.begins() || known.counts && found.stays()
	known.news = false
	known.comparisons = slices.DeleteFunc(known.comparisons, func(found comparison) bool {
		return found.weight(now) < forgottenWeight
	})
}

// estimate returns the median slowdown over workers. The confidence is the lower of those from the spread over workers
// and from the spread over jobs, because comparisons on one worker or of one job are not independent.
func (known *evidence) estimate(now time.Duration) Estimate {
	if known == nil || len(known.comparisons) == 0 {
		return Estimate{}
	}
	byWorker := known.grouped(now, func(found comparison) identity { return found.worker })
	byJob := known.grouped(now, func(found comparison) identity { return found.job })
	overWorkers, errorOverWorkers := medianAndError(byWorker)
	overJobs, errorOverJobs := medianAndError(byJob)
	confidence := min(probabilityAboveZero(overWorkers, errorOverWorkers), probabilityAboveZero(overJobs, errorOverJobs))
	estimate := Estimate{
		Slowdown: math.Exp(overWorkers), Confidence: confidence,
		Jobs: countFresh(byJob), Workers: countFresh(byWorker), References: known.countReferences(now),
	}
	for _, group := range byWorker {
		estimate.weight += group.weight
	}
	return estimate
}

// weighted is a value with its weight.
type weighted struct {
	key           identity
	value, weight float64
}

// grouped returns the mean of the comparisons with the same key, for each key, with the weight of the newest one.
func (known *evidence) grouped(now time.Duration, key func(comparison) identity) []weighted {
	groups := make([]weighted, 0, len(known.comparisons))
	totals := make([]float64, 0, len(known.comparisons))
	for _, found := range known.comparisons {
		weight := found.weight(now)
		at := slices.IndexFunc(groups, func(group weighted) bool { return group.key == key(found) })
		if at < 0 {
			groups = append(groups, weighted{key: key(found), value: float64(found.effect), weight: weight})
			totals = append(totals, weight)
			continue
		}
		totals[at] += weight
		groups[at].value += (float64(found.effect) - groups[at].value) * weight / totals[at]
		groups[at].weight = max(groups[at].weight, weight)
	}
	return groups
}

func countFresh(groups []weighted) int {
	count := 0
	for _, group := range groups {
		if group.weight >= freshWeight {
			count++
		}
	}
	return count
}

// countReferences returns the number of workers that recent comparisons were made with.
func (known *evidence) countReferences(now time.Duration) int {
	seen := make([]identity, 0, 2*len(known.comparisons))
	for _, found := range known.comparisons {
		for _, worker := range found.references {
			if found.weight(now) >= freshWeight && !slices.Contains(seen, worker) {
				seen = append(seen, worker)
			}
		}
	}
	return len(seen)
}

// medianAndError returns the weighted median of values and its standard error.
func medianAndError(values []weighted) (median, standardError float64) {
	median = weightedMedian(values)
	deviations, total := make([]weighted, len(values)), 0.0
	for i, found := range values {
		deviations[i] = weighted{value: math.Abs(found.value - median), weight: found.weight}
		total += found.weight
	}
	spread := max(deviationOfMAD*weightedMedian(deviations), minSpread)
	return median, errorOfMedian * spread / math.Sqrt(total)
}

// weightedMedian returns the value with half of the weight on each side. It sorts the values.
func weightedMedian(values []weighted) float64 {
	slices.SortFunc(values, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.key, b.key))
	})
	total := 0.0
	for _, found := range values {
		total += found.weight
	}
	below := 0.0
	for _, found := range values {
		below += found.weight
		if below >= total/2 {
			return found.value
		}
	}
	return 0
}

// probabilityAboveZero returns the probability that a normally distributed value is above 0.
func probabilityAboveZero(value, standardError float64) float64 {
	return 0.5 * math.Erfc(-value/(standardError*math.Sqrt2))
}
