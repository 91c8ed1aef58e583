// Package workerspeed learns how long work takes on each worker in the long run, relative to its declared run time. It
// answers a fleet in which some workers take twice as long as others for all that they run, and nobody says which:
// urgent gangs miss their objective there although they start at once. Short slowdowns are the matter of workerhealth.
// The decisions have no side effects outside of Fleet, and times are readings of the caller's monotonic clock.
package workerspeed

import (
	"math"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Factor is how long work takes relative to its declared run time: 1 is as declared, 2 twice as long.
type Factor float64

// Observation is what the progress of one run, or of a gang that runs together, tells.
type Observation struct {
	// Step is the step of the run. The declared run times of the tasks of a step are wrong by much the same factor.
	Step workload.StepID
	// Workers are the distinct workers of the gang, or the only worker of a single run. A gang goes at the pace of the
	// slowest of them.
	Workers []fleet.WorkerID
	// Factor is above 0.
	Factor Factor
	// Weight is 1 for a whole run, and less if only a part of it was seen.
	Weight float64
}

const (
	// halfLife is the time after which an observation counts half.
	halfLife = 5 * time.Minute
	// priorWeight is the weight of the assumption that work takes as long as declared.
	priorWeight = 0.25
	// maxWeight bounds the weight of what was learnt of a worker, so that a change of its speed shows after a few runs.
	maxWeight = 6
	// knownWeight is the weight from which on the factor of a worker counts as known.
	knownWeight = 0.75
	// biasPrior is the weight of the assumption that the run times of a step were declared right.
	biasPrior = 3
	// maxPlausibleBias is the logarithm of the factor from which on the run times of a step were certainly declared wrong:
	// no worker differs so much from the others. Then only the differences between the runs of the step count.
	maxPlausibleBias = 1
	// maxResidual limits the logarithm of the factor by which one observation may differ from what was expected. It is
	// more than the differences between workers, and less than those of tasks that hang or whose declaration is absurd.
	maxResidual = 1.2
	// minExplained is the difference of logarithms below which a slow gang is explained by a member known as slow.
	minExplained = 0.3
	// maxSuspects is the number of members that may be to blame for a slow gang from which on it teaches nothing.
	maxSuspects = 4
	// maxSteps and maxWorkers bound the state. The least recently observed ones are dropped.
	maxSteps   = 1024
	maxWorkers = 1 << 15
)

// knowledge is what was learnt of a worker or a step. The mean is that of the logarithm of a factor.
type knowledge struct {
	mean, weight float32
	at           time.Duration
}

// decayed returns the weight at a time.
func (known knowledge) decayed(now time.Duration) float64 {
	return float64(known.weight) * math.Exp2(-float64(max(now-known.at, 0))/float64(halfLife))
}

// add moves the mean towards a value.
func (known knowledge) add(value, weight float64, now time.Duration) knowledge {
	former := known.decayed(now)
	total := former + weight
	mean := (float64(known.mean)*former + value*weight) / total
	return knowledge{mean: float32(mean), weight: float32(min(total, maxWeight)), at: now}
}

// Fleet is what was learnt of the workers. The zero value knows nothing.
type Fleet struct {
	workers map[fleet.WorkerID]knowledge
	steps   map[workload.StepID]knowledge
	// version counts the observations that were learnt from.
	version int64
}

// Version grows whenever something was learnt.
func (known *Fleet) Version() int64 { return known.version }

// Factor returns the factor of a worker, or false while it is not known.
func (known *Fleet) Factor(worker fleet.WorkerID, now time.Duration) (Factor, bool) {
	learnt, ok := known.workers[worker]
	if !ok || learnt.decayed(now) < knownWeight {
		return 1, false
	}
	return Factor(math.Exp(learnt.estimate(now))), true
}

// estimate returns the logarithm of the factor, given that work takes as long as declared on most workers.
func (known knowledge) estimate(now time.Duration) float64 {
	weight := known.decayed(now)
	return float64(known.mean) * weight / (weight + priorWeight)
}

// Observe learns from an observation. One without a worker, or with a factor that is no positive number, teaches nothing.
func (known *Fleet) Observe(seen Observation, now time.Duration) {
	value := math.Log(float64(seen.Factor))
	if len(seen.Workers) == 0 || !(seen.Weight > 0) || math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	known.version++
	expected := known.slowest(seen.Workers, now)
	bias := known.learnBias(seen, value-expected, now)
	value = expected + min(max(value-bias-expected, -maxResidual), maxResidual)
	if len(seen.Workers) == 1 {
		known.learn(seen.Workers[0], value, seen.Weight, now)
		return
	}
	known.learnFromGang(seen, value, now)
}

// slowest returns the logarithm of the factor that is expected of the slowest of the workers.
func (known *Fleet) slowest(workers []fleet.WorkerID, now time.Duration) float64 {
	slowest := math.Inf(-1)
	for _, worker := range workers {
		slowest = max(slowest, known.workers[worker].estimate(now))
	}
	return slowest
}

// learnBias learns by which factor the run times of a step were declared wrong, and returns its logarithm.
func (known *Fleet) learnBias(seen Observation, residual float64, now time.Duration) float64 {
	if known.steps == nil {
		known.steps = map[workload.StepID]knowledge{}
	}
	if _, ok := known.steps[seen.Step]; !ok {
		dropOldest(known.steps, maxSteps)
	}
	learnt := known.steps[seen.Step].add(residual, seen.Weight, now)
	known.steps[seen.Step] = learnt
	weight, mean := learnt.decayed(now), float64(learnt.mean)
	if math.Abs(mean) > maxPlausibleBias {
		return mean
	}
	return mean * weight / (weight + biasPrior)
}

// learnFromGang learns from the common pace of several workers. Each of them is at least as fast as that. If the gang is
// slower than expected of every member, those that are not known to be fast share the blame.
func (known *Fleet) learnFromGang(seen Observation, value float64, now time.Duration) {
	var suspects []fleet.WorkerID
	explained := false
	for _, worker := range seen.Workers {
		estimate := known.workers[worker].estimate(now)
		_, sure := known.Factor(worker, now)
		switch {
		case estimate > value:
			known.learn(worker, value, seen.Weight, now)
		case sure && estimate > value-minExplained:
			explained = true
		case !sure:
			suspects = append(suspects, worker)
		}
	}
	if explained || len(suspects) == 0 || len(suspects) >= maxSuspects {
		return
	}
	for _, worker := range suspects {
		known.learn(worker, value, seen.Weight/float64(len(suspects)), now)
	}
}

func (known *Fleet) learn(worker fleet.WorkerID, value, weight float64, now time.Duration) {
	if known.workers == nil {
		known.workers = map[fleet.WorkerID]knowledge{}
	}
	if _, ok := known.workers[worker]; !ok {
		dropOldest(known.workers, maxWorkers)
	}
	known.workers[worker] = known.workers[worker].add(value, weight, now)
}

// dropOldest removes the entry that was observed least recently if there are already most entries.
func dropOldest[K comparable](entries map[K]knowledge, most int) {
	if len(entries) < most {
		return
	}
	var oldest K
	first := true
	for key, entry := range entries {
		if first || entry.at < entries[oldest].at {
			oldest, first = key, false
		}
	}
	delete(entries, oldest)
}
