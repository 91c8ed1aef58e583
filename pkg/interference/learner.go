// Package interference learns which kinds of task slow each other down on the same worker. It compares only runs of the
// same step of the same job, with and without a neighbour of another kind, so that a slow job is not taken for
// interference, and asks for several jobs and workers, so that a slow worker or a noisy run is not either. It performs no
// input or output; times are readings of the caller's monotonic clock. A Learner is not safe for concurrent use.
package interference

import (
	"math"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// MaxKinds is the number of kinds that are followed at the same time; it is the number of bits of a Set.
	MaxKinds = 64
	// HalfLife is the time after which a comparison counts half.
	HalfLife = 4 * time.Minute
	// MinSlowdown is the least slowdown with which a pair begins to count as interfering.
	MinSlowdown = 1.1
	// keepSlowdown is the slowdown below which a pair ceases to count. The distance to MinSlowdown keeps a pair near the
	// limit from changing back and forth.
	keepSlowdown = 1.05
	// kindResidence is the time for which a kind that was seen keeps its slot. Without it, more than MaxKinds kinds in use
	// would replace one another before anything is learnt of them.
	kindResidence = 10 * time.Second
	// evaluateInterval is the least time between two evaluations of new observations, and sweepInterval that between two
	// evaluations of pairs without new observations, which only age.
	evaluateInterval = 2 * time.Second
	sweepInterval    = 20 * time.Second
)

// Observation is what a window has shown of a run.
type Observation struct {
	At   time.Duration
	Kind Slot
	// Job, Step and Worker tell whose run it is and where it ran.
	Job    fleet.JobID
	Step   int
	Worker fleet.WorkerID
	Beside Exposure
	// Time is the time that a unit of work took or, for a serving run, its tail latency, on any scale that is the same for
	// all runs of the step.
	Time float64
	// TimeFactor is the lasting time factor of the worker, which is taken out of Time; 1 if it is not known.
	TimeFactor float64
	// Serving is set for a serving run. It is compared with itself at other times, because the replicas of a service may
	// receive unequal load.
	Serving bool
}

// Change is a pair of kinds that began or ceased to count as interfering.
type Change struct {
	Pair
	Began bool
}

// Pair is what is known of two kinds. The slowdown is that of the kind which suffers more: 1.5 is a run time half as long
// again.
type Pair struct {
	Kinds [2]Kind
	Estimate
	Interfering bool
}

// Learner learns from observations which pairs of kinds interfere.
type Learner struct {
	slots  [MaxKinds]followed
	byKind map[Kind]Slot
	// interfering has, for each kind, those that interfere with it, and excess the slowdowns of these pairs minus 1. Both
	// are symmetric.
	interfering [MaxKinds]Set
	excess      [MaxKinds][MaxKinds]float64
	pairCount   int
	changes     []Change
	evaluatedAt time.Duration
	sweptAt     time.Duration
}

// followed is a kind with what is known of its runs. The zero value is a free slot.
type followed struct {
	used bool
	kind Kind
	// since is the time from which the slot has been that of the kind, and seen the time at which the kind was last seen.
	since, seen time.Duration
	steps       []*stepRuns
	// beside has the evidence for a slowdown of the kind by each other kind, or nil.
	beside [MaxKinds]*evidence
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{byKind: map[Kind]Slot{}} }

// Seen records that a kind runs, and returns its slot. It returns false if MaxKinds other kinds were seen lately.
// Otherwise a new kind takes the place of the one that was seen least recently.
func (learner *Learner) Seen(kind Kind, now time.Duration) (Slot, bool) {
	slot, ok := learner.byKind[kind]
	if !ok {
		if slot, ok = learner.freeSlot(now); !ok {
			return 0, false
		}
		learner.assign(slot, kind, now)
	}
	learner.slots[slot].seen = now
	return slot, true
}

// Find returns the slot of a kind that is followed.
func (learner *Learner) Find(kind Kind) (Slot, bool) {
	slot, ok := learner.byKind[kind]
	return slot, ok
}

func (learner *Learner) freeSlot(now time.Duration) (Slot, bool) {
	oldest := Slot(0)
	for i := range learner.slots {
		if !learner.slots[i].used {
			return Slot(i), true
		}
		if learner.slots[i].seen < learner.slots[oldest].seen {
			oldest = Slot(i)
		}
	}
	return oldest, now-learner.slots[oldest].seen >= kindResidence
}

// assign gives a slot to a kind and forgets the former one. It is not known beside which of the earlier runs the new kind
// was, because it was not followed then.
func (learner *Learner) assign(slot Slot, kind Kind, now time.Duration) {
	if former := &learner.slots[slot]; former.used {
		for other := range learner.interfering[slot].all() {
			learner.setInterfering(slot, other, Estimate{}, false)
		}
		delete(learner.byKind, former.kind)
	}
	for i := range learner.slots {
		learner.slots[i].beside[slot] = nil
		for _, step := range learner.slots[i].steps {
			step.markUnclear(slot)
		}
	}
	learner.slots[slot] = followed{used: true, kind: kind, since: now}
	learner.byKind[kind] = slot
}

// Observe records an observation. Its effect on the pairs shows after the next Evaluate.
func (learner *Learner) Observe(observed Observation) {
	kind := &learner.slots[observed.Kind]
	length := math.Log(observed.Time / observed.TimeFactor)
	if !kind.used || kind.since > observed.Beside.began || math.IsNaN(length) || math.IsInf(length, 0) {
		return
	}
	for i := range learner.slots {
		if learner.slots[i].since > observed.Beside.began {
			observed.Beside.always = observed.Beside.always.Without(Slot(i))
			observed.Beside.ever = observed.Beside.ever.With(Slot(i))
		}
	}
	if step := kind.stepOf(observed); step != nil {
		step.add(observed, length)
	}
}

// Evaluate updates the pairs from the observations, at most every evaluateInterval, and returns those that began or
// ceased to count as interfering since the last call.
func (learner *Learner) Evaluate(now time.Duration) []Change {
	if now-learner.evaluatedAt < evaluateInterval {
		return nil
	}
	learner.evaluatedAt = now
	for i := range learner.slots {
		learner.compare(Slot(i), now)
	}
	sweep := now-learner.sweptAt >= sweepInterval
	if sweep {
		learner.sweptAt = now
	}
	for i := range MaxKinds {
		for j := range i + 1 {
			learner.judge(Slot(i), Slot(j), now, sweep)
		}
	}
	changes := learner.changes
	learner.changes = nil
	return changes
}

// judge decides whether a pair counts as interfering, from the evidence for both directions.
func (learner *Learner) judge(a, b Slot, now time.Duration, sweep bool) {
	one, other := learner.slots[a].beside[b], learner.slots[b].beside[a]
	if one == nil && other == nil || !sweep && !one.hasNews() && !other.hasNews() {
		return
	}
	one.judge(now)
	other.judge(now)
	learner.setInterfering(a, b, learner.estimate(a, b, now), one.interferes() || other.interferes())
	if one.forgotten() {
		learner.slots[a].beside[b] = nil
	}
	if other.forgotten() {
		learner.slots[b].beside[a] = nil
	}
}

// estimate returns the estimate for one direction of a pair: that which counts as a slowdown or, if both or none do, that
// with the larger one.
func (learner *Learner) estimate(a, b Slot, now time.Duration) Estimate {
	one, other := learner.slots[a].beside[b], learner.slots[b].beside[a]
	found, alternative := one.estimate(now), other.estimate(now)
	if one.interferes() != other.interferes() {
		if other.interferes() {
			return alternative
		}
		return found
	}
	if alternative.Slowdown > found.Slowdown {
		return alternative
	}
	return found
}

func (learner *Learner) setInterfering(a, b Slot, found Estimate, interfering bool) {
	before := learner.interfering[a].Has(b)
	if interfering {
		learner.interfering[a], learner.interfering[b] = learner.interfering[a].With(b), learner.interfering[b].With(a)
		learner.excess[a][b], learner.excess[b][a] = found.Slowdown-1, found.Slowdown-1
	} else {
		learner.interfering[a] = learner.interfering[a].Without(b)
		learner.interfering[b] = learner.interfering[b].Without(a)
		learner.excess[a][b], learner.excess[b][a] = 0, 0
	}
	if before == interfering {
		return
	}
	learner.pairCount++
	if before {
		learner.pairCount -= 2
	}
	learner.changes = append(learner.changes, Change{Pair: learner.pair(a, b, found), Began: interfering})
}

func (learner *Learner) pair(a, b Slot, found Estimate) Pair {
	return Pair{
		Kinds:    [2]Kind{learner.slots[a].kind, learner.slots[b].kind},
		Estimate: found, Interfering: learner.interfering[a].Has(b),
	}
}

// PairCount returns the number of pairs that count as interfering.
func (learner *Learner) PairCount() int { return learner.pairCount }

// Interfering returns the kinds that interfere with a kind.
func (learner *Learner) Interfering(slot Slot) Set { return learner.interfering[slot] }

// Excess returns the sum of the slowdowns minus 1 of the interfering pairs of a kind with kinds on a worker; 0 if none
// of them interferes.
func (learner *Learner) Excess(slot Slot, present Set) float64 {
	total := 0.0
	for other := range (learner.interfering[slot] & present).all() {
		total += learner.excess[slot][other]
	}
	return total
}

// Pairs returns the pairs of which anything is known.
func (learner *Learner) Pairs(now time.Duration) []Pair {
	var pairs []Pair
	for i := range MaxKinds {
		for j := range i + 1 {
			if found := learner.estimate(Slot(i), Slot(j), now); found.weight > 0 {
				pairs = append(pairs, learner.pair(Slot(i), Slot(j), found))
			}
		}
	}
	return pairs
}
