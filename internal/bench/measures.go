package bench

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

// shortestSlowdownRunTime is the least run time that a slowdown is computed with, so that the start delays of very
// short jobs do not dominate the mean.
const shortestSlowdownRunTime = 10 * time.Second

// Outcome is the result of one job.
type Outcome struct {
	Organisation fleet.OrganisationID
	Job          fleet.JobID
	Caller       fleet.CallerID
	// Flood and LargeCaller are copied from the Arrival.
	Flood        bool
	LargeCaller  bool
	Accelerators fleet.Accelerators
	RunTime      time.Duration
	// Completion is the time from submission to the verdict, the scheduler's final decision about the job.
	Completion time.Duration
	// FinishedAfter is the time from the start of the simulation to the verdict.
	FinishedAfter time.Duration
	Verdict       scheduler.Verdict
}

// Slowdown returns the completion time divided by the run time, or by shortestSlowdownRunTime if that is longer. It is
// at least 1 for a completed job of that length or longer.
func (outcome Outcome) Slowdown() float64 {
	return outcome.Completion.Seconds() / max(outcome.RunTime, shortestSlowdownRunTime).Seconds()
}

// Sample is the state of the free accelerators at one time.
type Sample struct {
	// After is the virtual time since the start.
	After time.Duration
	Free  fleet.Accelerators
	// Fragmentation is the share of the free accelerators that copies of the reference shape cannot use because of
	// where the accelerators are. The reference shape is the largest waiting or guaranteed shape whose total is not
	// more than the free accelerators.
	Fragmentation float64
	// MemberFragmentation is computed like Fragmentation, but for single members of the reference shape instead of
	// whole copies.
	MemberFragmentation float64
	// BlockedFragmentation is the share of the free accelerators on workers that could not hold one member of the
	// reference shape even if all preemptible work there ended.
	BlockedFragmentation float64
}

// Measures are the results of one simulation run.
type Measures struct {
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Refused   int `json:"refused"`
	// MeanCompletion, P95Completion, MeanSlowdown and P95Slowdown cover the completed jobs outside floods.
	MeanCompletion profile.Duration `json:"mean_completion"`
	P95Completion  profile.Duration `json:"p95_completion"`
	MeanSlowdown   float64          `json:"mean_slowdown"`
	P95Slowdown    float64          `json:"p95_slowdown"`
	// LowerBound is the PooledBound of the workload.
	LowerBound profile.Duration `json:"lower_bound"`
	// Fragmentation, MemberFragmentation and BlockedFragmentation are means over the window after the warm-up,
	// weighted by free accelerators.
	Fragmentation        float64 `json:"fragmentation"`
	MemberFragmentation  float64 `json:"member_fragmentation"`
	BlockedFragmentation float64 `json:"blocked_fragmentation"`
	// Utilisation is the mean share of accelerators that are not free, over the window after the warm-up.
	Utilisation float64 `json:"utilisation"`
	// OthersCompleted counts the jobs of all organisations but the flooding one that completed within the window.
	// OthersP95Completion is the 95th percentile of the completion times of these organisations' jobs, including jobs
	// that completed after the window.
	OthersCompleted     int              `json:"others_completed"`
	OthersP95Completion profile.Duration `json:"others_p95_completion"`
	// SmallSlowdown and LargeSlowdown are the mean slowdowns of the jobs of small and of large callers.
	SmallSlowdown float64 `json:"small_slowdown"`
	LargeSlowdown float64 `json:"large_slowdown"`
	// JainIndex is Jain's fairness index of one ratio for each caller: the total run time of the caller's completed
	// jobs divided by their total completion time.
	JainIndex float64 `json:"jain_index"`
	// LostShare is the share of the held accelerator time that was lost to preemption and compaction.
	LostShare float64 `json:"lost_share"`
	Evictions int     `json:"evictions"`
	// UrgentStarts counts the starts of urgent work inside guarantees.
	UrgentStarts    int              `json:"urgent_starts"`
	MaxUrgentStart  profile.Duration `json:"max_urgent_start"`
	MeanUrgentStart profile.Duration `json:"mean_urgent_start"`
	Decisions       int              `json:"decisions"`
}

// collector collects the data of one run from which the measures are computed.
type collector struct {
	record   *record
	workload Workload
	samples  []Sample
	outcomes []Outcome
	// heldTime and lostTime are in accelerator seconds.
	heldTime  float64
	lostTime  float64
	evicted   int
	refused   int
	decisions int
}

func newCollector(record *record, workload Workload) *collector {
	return &collector{record: record, workload: workload}
}

func (collector *collector) addHeldTime(accelerators fleet.Accelerators, held time.Duration) {
	collector.heldTime += float64(accelerators) * held.Seconds()
}

func (collector *collector) addLostTime(accelerators fleet.Accelerators, lost time.Duration) {
	collector.lostTime += float64(accelerators) * lost.Seconds()
}

func (collector *collector) addOutcome(task *task, verdict scheduler.Verdict) {
	job := task.arrival.Job
	now := task.simulation.now
	collector.outcomes = append(collector.outcomes, Outcome{
		Organisation:  job.Key.Organisation,
		Job:           job.Key.Job,
		Caller:        job.Caller,
		Flood:         task.arrival.Flood,
		LargeCaller:   task.arrival.LargeCaller,
		Accelerators:  task.accelerators(),
		RunTime:       task.arrival.RunTime,
		Completion:    now.Sub(job.Submitted),
		FinishedAfter: now.Sub(epoch),
		Verdict:       verdict,
	})
}

// sample records the free accelerators and their fragmentation at the current time.
func (collector *collector) sample(after time.Duration) {
	var free fleet.Accelerators
	for _, worker := range collector.record.order {
		free += worker.free()
	}
	sample := Sample{After: after, Free: free}
	if shape, ok := collector.largestShape(free); ok {
		member := shape
		member.Members, member.Adjacency = 1, fleet.AdjacencyWorker
		sample.Fragmentation = collector.unusableShare(shape, free)
		sample.MemberFragmentation = collector.unusableShare(member, free)
		sample.BlockedFragmentation = collector.blockedShare(shape.Accelerators, free)
	}
	collector.samples = append(collector.samples, sample)
}

// largestShape returns the largest waiting or guaranteed shape that the free accelerators could hold.
func (collector *collector) largestShape(free fleet.Accelerators) (fleet.Shape, bool) {
	var shapes []fleet.Shape
	for _, state := range collector.record.active {
		if state.phase == phaseWaiting {
			shapes = append(shapes, *state.job.Profile.Shape)
		}
	}
	for _, organisation := range collector.record.config.Organisations {
		for _, guarantee := range organisation.Guarantees {
			shapes = append(shapes, guarantee.Shape)
		}
	}
	shapes = slices.DeleteFunc(shapes, func(shape fleet.Shape) bool { return shape.Total() > free })
	if len(shapes) == 0 {
		return fleet.Shape{}, false
	}
	return slices.MinFunc(shapes, largestFirst), true
}

// unusableShare returns the share of the free accelerators that copies of the shape could use if the accelerators were
// adjacent, but cannot use where they are. The remainder of a division into whole copies is not counted.
func (collector *collector) unusableShare(shape fleet.Shape, free fleet.Accelerators) float64 {
	ideal := int(free / shape.Total())
	copies := collector.record.copies(shape, (*workerRecord).free)
	return float64(ideal-copies) * float64(shape.Total()) / float64(free)
}

// blockedShare returns the share of the free accelerators on workers whose non-preemptible work leaves too few
// accelerators for a member of the given size.
func (collector *collector) blockedShare(member, free fleet.Accelerators) float64 {
	fixed := map[fleet.WorkerID]fleet.Accelerators{}
	for _, state := range collector.record.active {
		for _, part := range state.members {
			if !state.job.Profile.Preemptible() {
				fixed[part.Worker] += part.Accelerators
			}
		}
	}
	var blocked fleet.Accelerators
	for _, worker := range collector.record.order {
		if worker.worker.Accelerators-worker.foreign-fixed[worker.worker.ID] < member {
			blocked += worker.free()
		}
	}
	return float64(blocked) / float64(max(1, free))
}

// measures computes the measures at the end of a run.
func (collector *collector) measures() Measures {
	measures := Measures{Refused: collector.refused, Evictions: collector.evicted, Decisions: collector.decisions}
	var completed []Outcome
	for _, outcome := range collector.outcomes {
		switch outcome.Verdict {
		case scheduler.VerdictCompleted:
			measures.Completed++
			if !outcome.Flood {
				completed = append(completed, outcome)
			}
		case scheduler.VerdictFailed, scheduler.VerdictUnknown:
			measures.Failed++
		}
	}
	collector.measureCompletion(&measures, completed)
	collector.measureCallers(&measures, completed)
	collector.measureFleet(&measures)
	if collector.heldTime > 0 {
		measures.LostShare = collector.lostTime / collector.heldTime
	}
	waits := collector.record.guarantees.urgentWaits()
	measures.UrgentStarts = len(waits)
	if len(waits) > 0 {
		measures.MaxUrgentStart = profile.Duration(slices.Max(waits))
		measures.MeanUrgentStart = profile.Duration(mean(waits))
	}
	return measures
}

func (collector *collector) measureCompletion(measures *Measures, completed []Outcome) {
	var times []time.Duration
	var others []time.Duration
	var slowdowns []float64
	flooder := collector.workload.Deployment.flooder()
	for _, outcome := range completed {
		times = append(times, outcome.Completion)
		slowdowns = append(slowdowns, outcome.Slowdown())
		if outcome.Organisation == flooder {
			continue
		}
		others = append(others, outcome.Completion)
		if outcome.FinishedAfter <= collector.workload.Window {
			measures.OthersCompleted++
		}
	}
	measures.MeanCompletion = profile.Duration(mean(times))
	measures.P95Completion = profile.Duration(quantile(times, 0.95))
	measures.OthersP95Completion = profile.Duration(quantile(others, 0.95))
	measures.MeanSlowdown = mean(slowdowns)
	measures.P95Slowdown = quantile(slowdowns, 0.95)
}

func (collector *collector) measureCallers(measures *Measures, completed []Outcome) {
	var small, large []float64
	run := map[fleet.CallerKey]time.Duration{}
	spent := map[fleet.CallerKey]time.Duration{}
	var callers []fleet.CallerKey
	for _, outcome := range completed {
		key := fleet.CallerKey{Organisation: outcome.Organisation, Caller: outcome.Caller}
		if _, ok := run[key]; !ok {
			callers = append(callers, key)
		}
		run[key] += outcome.RunTime
		spent[key] += outcome.Completion
		if outcome.LargeCaller {
			large = append(large, outcome.Slowdown())
		} else {
			small = append(small, outcome.Slowdown())
		}
	}
	measures.SmallSlowdown, measures.LargeSlowdown = mean(small), mean(large)
	var rates []float64
	for _, caller := range callers {
		rates = append(rates, run[caller].Seconds()/spent[caller].Seconds())
	}
	measures.JainIndex = jain(rates)
}

func (collector *collector) measureFleet(measures *Measures) {
	capacity := float64(len(collector.workload.Deployment.Workers)) * float64(workerAccelerators)
	var free, unusable, unusableByMember, blocked float64
	count := 0
	for _, sample := range collector.samples {
		if sample.After < collector.workload.WarmUp || sample.After > collector.workload.Window {
			continue
		}
		count++
		free += float64(sample.Free)
		unusable += sample.Fragmentation * float64(sample.Free)
		unusableByMember += sample.MemberFragmentation * float64(sample.Free)
		blocked += sample.BlockedFragmentation * float64(sample.Free)
	}
	if count == 0 {
		return
	}
	measures.Utilisation = 1 - free/(capacity*float64(count))
	if free > 0 {
		measures.Fragmentation = unusable / free
		measures.MemberFragmentation = unusableByMember / free
		measures.BlockedFragmentation = blocked / free
	}
}

// mean returns 0 for no values.
func mean[T ~int64 | ~float64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	var sum T
	for _, value := range values {
		sum += value
	}
	return sum / T(len(values))
}

// quantile returns the value that the given share of the values does not exceed, or 0 for no values.
func quantile[T ~int64 | ~float64 | ~uint64](values []T, share float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// jain returns Jain's fairness index of n values: 1 if all are equal, 1/n if all but one are zero.
func jain(values []float64) float64 {
	var sum, squares float64
	for _, value := range values {
		sum += value
		squares += value * value
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}
