package control

import (
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/placement"
	"github.com/quetzalstall/quetzalstall/pkg/workerspeed"
)

// maxFastWait is how long an urgent unit waits at most for workers that are fast enough. It leaves half of the time within
// which urgent work has to start within a guarantee.
const maxFastWait = 1200 * time.Millisecond

// startInTime starts an urgent unit on workers on which it meets its objective. If none are free, the unit waits for them
// while it can still meet its objective there. It reports whether the unit was started, and whether it waits. Otherwise the
// unit may take any worker: it is late anyway, and three times its objective leaves time for a slow one. No run is preempted
// for speed alone, which would lose more work than it gains.
func (planner *planner) startInTime(
	pool *servicePool, wanted placement.Demand, candidate candidate, rank int,
) (started, waits bool) {
	wanted.Speed.Strict = true
	if places, ok := planner.choosePlaces(pool, wanted, candidate); ok {
		pool.allocate(places, wanted.Each)
		planner.loop.place(candidate, places)
		return true, false
	}
	if rank >= lastRank || !pool.suffices(wanted.Speed) {
		return false, false
	}
	return false, time.Since(candidate.waitingSince) < maxFastWait &&
		planner.endingSoonOnFast(pool) >= wanted.Each.Accelerators*fleet.Accelerators(wanted.Tasks)
}

// suffices reports whether a unit can still meet its objective on some worker.
func (pool *servicePool) suffices(need workerspeed.Need) bool {
	return slices.ContainsFunc(pool.all, func(worker *placement.Worker) bool { return worker.Factor <= need.Longest })
}

// endingSoonOnFast returns the accelerators of runs that are expected to end within maxFastWait on workers that are fast
// enough for urgent work.
func (planner *planner) endingSoonOnFast(pool *servicePool) fleet.Accelerators {
	if pool.endingSoon >= 0 {
		return pool.endingSoon
	}
	pool.endingSoon = 0
	for _, worker := range pool.all {
		if worker.TooSlow {
			continue
		}
		for _, run := range planner.loop.workers[worker.ID].runs {
			if run.stopping || !run.step().LongRunning && run.remainingTime(planner.now) <= maxFastWait {
				pool.endingSoon += run.need.Accelerators
			}
		}
	}
	return pool.endingSoon
}

// fastEnough returns the workers on which urgent work may meet its objective.
func (pool *servicePool) fastEnough() []*placement.Worker {
	if !pool.uneven {
		return pool.all
	}
	return slices.DeleteFunc(slices.Clone(pool.all), func(worker *placement.Worker) bool { return worker.TooSlow })
}
