package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// pooledJob is a job in the model of PooledBound, in which all accelerators of the fleet form one pool.
type pooledJob struct {
	// arrives is in seconds after the start. width is the number of accelerators, and work the remaining work in
	// accelerator seconds.
	arrives, width, work float64
}

// PooledBound estimates the least possible mean completion time of a workload's jobs, without jobs that cannot succeed
// and jobs of a flood. It assumes that all accelerators of the fleet form one pool, shapes do not matter, run times are
// known, preemption costs nothing, and a job may run with part of its accelerators. It computes the mean for two orders
// in which jobs get accelerators, shortest remaining time first and smallest remaining work first, and returns the
// smaller one.
func PooledBound(workload Workload) profile.Duration {
	var jobs []pooledJob
	for i := range workload.Arrivals {
		arrival := &workload.Arrivals[i]
		if arrival.Flood || arrival.FailsAlways || arrival.Job.Profile.Name == profileImpossible {
			continue
		}
		jobs = append(jobs, pooledJob{
			arrives: arrival.Job.Submitted.Sub(epoch).Seconds(),
			width:   float64(arrival.Job.Profile.Shape.Total()),
			work:    arrival.acceleratorSeconds(),
		})
	}
	capacity := float64(len(workload.Deployment.Workers)) * float64(workerAccelerators)
	byTime := pooledMean(jobs, capacity, func(job *pooledJob) float64 { return job.work / job.width })
	byWork := pooledMean(jobs, capacity, func(job *pooledJob) float64 { return job.work })
	return profile.Duration(min(byTime, byWork) * float64(time.Second))
}

// pooledMean returns the mean completion time in seconds if the job with the smallest key gets accelerators first.
// Jobs are sorted only at events, that is, arrivals and completions. This is sufficient because between events keys
// change only by work done, which never raises a key.
func pooledMean(jobs []pooledJob, capacity float64, key func(*pooledJob) float64) float64 {
	// A job is complete once its remaining work is at most negligibleWork, since floating-point work may not reach
	// zero.
	const negligibleWork = 1e-6
	waiting := make([]*pooledJob, 0, len(jobs))
	now, sum, next := 0.0, 0.0, 0
	for next < len(jobs) || len(waiting) > 0 {
		slices.SortStableFunc(waiting, func(a, b *pooledJob) int { return cmp.Compare(key(a), key(b)) })
		rates := make([]float64, len(waiting))
		unassigned, nextEvent := capacity, -1.0
		for i, job := range waiting {
			rates[i] = min(job.width, unassigned)
			unassigned -= rates[i]
			if rates[i] > 0 && (nextEvent < 0 || now+job.work/rates[i] < nextEvent) {
				nextEvent = now + job.work/rates[i]
			}
		}
		if next < len(jobs) && (nextEvent < 0 || jobs[next].arrives <= nextEvent) {
			nextEvent = jobs[next].arrives
		}
		for i, job := range waiting {
			job.work -= rates[i] * (nextEvent - now)
		}
		now = nextEvent
		waiting = slices.DeleteFunc(waiting, func(job *pooledJob) bool {
			if job.work <= negligibleWork {
				sum += now - job.arrives
				return true
			}
			return false
		})
		for next < len(jobs) && jobs[next].arrives <= now {
			job := jobs[next]
			waiting = append(waiting, &job)
			next++
		}
	}
	if len(jobs) == 0 {
		return 0
	}
	return sum / float64(len(jobs))
}
