package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// moveInterval is the time between two searches for gangs to move.
	moveInterval = time.Second
	// maxMoving limits the gangs that are moved at the same time. Each move takes about three seconds and three writes
	// to the store, so that 32 moves cause some 30 writes per second.
	maxMoving = 32
	// minMoveRemaining is the declared remaining run time below which a gang is left to end by itself, since a move
	// costs about as much.
	minMoveRemaining = 30 * time.Second
	// maxEvacuatedGangs limits the gangs that EvacuatedWork lists for each data centre.
	maxEvacuatedGangs = 200
)

// EvacuatedWork is the work that still runs on the workers of an evacuated data centre.
type EvacuatedWork struct {
	DataCentre   fleet.DataCentreID
	Jobs         int
	Accelerators fleet.Accelerators
	// Gangs lists at most maxEvacuatedGangs of the gangs, by job.
	Gangs []EvacuatedGang
}

// EvacuatedGang is a gang in an evacuated data centre.
type EvacuatedGang struct {
	Key          fleet.JobKey
	Workers      int
	Accelerators fleet.Accelerators
	// Reason says why the gang still runs there.
	Reason string
}

// moveEvacuated evicts gangs from evacuated data centres when there is room for them elsewhere. Waiting jobs have had
// their turn before, so that none of them could use the room. A moved job queues again and may find the room taken by a
// job that was submitted meanwhile. The movable gangs all save checkpoints and lose the same work per accelerator. The
// largest go first, before small ones fragment the room.
func (core *Core) moveEvacuated(now time.Time) {
	state := &core.evacuation
	state.nextMove = time.Time{}
	zones := core.evacuatedZones()
	if len(zones) == 0 {
		return
	}
	if now.Before(state.lastMove.Add(moveInterval)) {
		state.nextMove = state.lastMove.Add(moveInterval)
		return
	}
	state.lastMove = now
	moving, movable := core.evacuees(now, zones)
	if len(moving)+len(movable) > 0 {
		state.nextMove = now.Add(moveInterval)
	}
	slices.SortStableFunc(movable, func(left, right *jobState) int {
		return cmp.Compare(right.total, left.total)
	})
	room := newRoom(core)
	defer room.release()
	for _, gang := range moving {
		room.take(gang)
	}
	for _, gang := range movable {
		if len(moving) >= maxMoving {
			return
		}
		if !room.take(gang) {
			continue
		}
		moving = append(moving, gang)
		core.evict(now, gang, false, fmt.Sprintf("data centre %s is evacuated, and there is room elsewhere",
			gang.holdings[0].worker.DataCentre))
		gang.moving = true
	}
}

// evacuees lists the gangs in evacuated data centres that are being moved and, of each shape, at most maxMoving of
// those that may be moved.
func (core *Core) evacuees(now time.Time, zones []*zone) (moving, movable []*jobState) {
	listed := map[fleet.Shape]int{}
	for _, zone := range zones {
		for _, machine := range zone.workers {
			if machine == nil {
				continue
			}
			for _, gang := range machine.gangs {
				core.steps++
				switch {
				case gang.holdings[0].worker != machine:
					// The gang is handled with its first worker.
				case gang.moving && gang.eviction != evictionStuck:
					moving = append(moving, gang)
				case listed[gang.shape()] < maxMoving && core.staysBecause(now, gang) == "":
					listed[gang.shape()]++
					movable = append(movable, gang)
				}
			}
		}
	}
	return moving, movable
}

// staysBecause returns the reason for which a gang in an evacuated data centre is not moved even if there is room
// elsewhere. It is empty if the gang may be moved.
func (core *Core) staysBecause(now time.Time, gang *jobState) string {
	jobProfile := &gang.spec.Profile
	switch {
	case gang.cancelled:
		return "it was cancelled and waits for its members to confirm the stop"
	case gang.phase == phasePlacing:
		return "it is being started; it was placed before the evacuation reached the owner"
	case gang.eviction != evictionNone:
		return "it is being stopped"
	case slices.ContainsFunc(gang.holdings, func(held holding) bool { return held.worker.lost }):
		return "one of its workers does not respond; it ends when the lease there has expired"
	case !gang.preemptible:
		return "it cannot be preempted and runs until it ends"
	case !jobProfile.Checkpoint:
		return "it saves no checkpoints, so that a move would lose its work; it runs until it ends"
	case !jobProfile.Idempotent:
		return "it may not run twice, so that a checkpoint that comes too late would end it; it runs until it ends"
	case core.endsSoon(now, gang):
		return fmt.Sprintf("it ends within %s by its declared run time", minMoveRemaining)
	case !gang.organisation.fitsQuota(0):
		return "its organisation exceeds its quota, so that it could not start elsewhere"
	default:
		return ""
	}
}

// endsSoon reports whether the declared run time of a gang's job ends within minMoveRemaining. A job that has exceeded
// its declared run time may run for any time.
func (core *Core) endsSoon(now time.Time, gang *jobState) bool {
	declared := gang.spec.DeclaredRunTime
	if declared <= 0 {
		return false
	}
	remaining := declared - time.Duration(gang.attainedService(now))/time.Duration(max(gang.total, 1))
	return remaining > 0 && remaining <= minMoveRemaining
}

// room reserves free accelerators for the gangs to be moved during one search, so that each gang counts on others.
type room struct {
	core  *Core
	taken []takenRoom
	// full holds the shapes for which no room is left.
	full map[fleet.Shape]struct{}
}

// takenRoom is the room of one gang.
type takenRoom struct {
	gang     *jobState
	holdings []holding
}

func newRoom(core *Core) *room { return &room{core: core, full: map[fleet.Shape]struct{}{}} }

// take reserves room for a preemptible gang outside the evacuated data centres. It reports whether there is any.
func (room *room) take(gang *jobState) bool {
	core := room.core
	if _, full := room.full[gang.shape()]; full {
		return false
	}
	if version, failed := core.failedSearches[searchKey{viewFree, gang.shape()}]; failed &&
		version == core.capacityVersion {
		return false
	}
	search := search{core, viewFree, gang.shape(), gang.freeSlots}
	holdings := search.find()
	if holdings == nil {
		if len(gang.failedOn) == 0 {
			room.full[gang.shape()] = struct{}{}
		}
		return false
	}
	for _, holding := range holdings {
		share := holding.worker.editShare(gang.organisation.index)
		share.used = share.used.plus(gang.perMember.times(holding.members))
		core.refresh(holding.worker)
	}
	room.taken = append(room.taken, takenRoom{gang, holdings})
	return true
}

// release returns all room. The number of free accelerators is then the same as before, so that searches that failed
// need not be repeated.
func (room *room) release() {
	for _, taken := range room.taken {
		for _, holding := range taken.holdings {
			share := holding.worker.editShare(taken.gang.organisation.index)
			share.used = share.used.minus(taken.gang.perMember.times(holding.members))
			holding.worker.dropEmptyShares()
			room.core.refresh(holding.worker)
		}
	}
}

// EvacuatedWork returns the work that still runs in evacuated data centres, with the reasons.
func (core *Core) EvacuatedWork(now time.Time) []EvacuatedWork {
	var listed []EvacuatedWork
	for _, zone := range core.evacuatedZones() {
		found := EvacuatedWork{DataCentre: zone.id, Accelerators: zone.inUse()}
		workers := map[*jobState]int{}
		for _, machine := range zone.workers {
			if machine == nil {
				continue
			}
			for _, gang := range machine.gangs {
				workers[gang]++
			}
		}
		found.Jobs = len(workers)
		for gang, count := range workers {
			found.Gangs = append(found.Gangs, EvacuatedGang{gang.spec.Key, count, gang.total, ""})
		}
		slices.SortFunc(found.Gangs, func(left, right EvacuatedGang) int {
			return cmp.Or(cmp.Compare(left.Key.Organisation, right.Key.Organisation),
				cmp.Compare(left.Key.Job, right.Key.Job))
		})
		found.Gangs = found.Gangs[:min(len(found.Gangs), maxEvacuatedGangs)]
		for i := range found.Gangs {
			found.Gangs[i].Reason = core.evacuationReason(now, core.jobs[found.Gangs[i].Key])
		}
		listed = append(listed, found)
	}
	return listed
}

// evacuationReason returns why a gang still runs in an evacuated data centre.
func (core *Core) evacuationReason(now time.Time, gang *jobState) string {
	if gang.moving && gang.eviction == evictionCheckpoint {
		return "it is being moved: it saves a checkpoint"
	}
	if reason := core.staysBecause(now, gang); reason != "" {
		return reason
	}
	return fmt.Sprintf("it waits for room elsewhere: %s", gang.shape())
}

// explainEvacuations describes, for a job that waits, the part that evacuated data centres have in it.
func (core *Core) explainEvacuations(job *jobState) []string {
	var lines []string
	for _, zone := range core.evacuatedZones() {
		query := feasibilityQuery{job.organisation.index, job.shape(), job.preemptible}
		if core.assemble(job.shape(), core.emptyCandidates(zone, query)) == nil {
			continue
		}
		text := fmt.Sprintf("data centre %s is evacuated", zone.id)
		switch {
		case !core.fitsOutsideEvacuations(query):
			text += ", and the job fits nowhere else"
		case core.assemble(job.shape(), core.evacuatedCandidates(zone, job)) != nil:
			text += "; the job would find room there now"
		default:
			text += "; the job could run there once other work has ended"
		}
		lines = append(lines, text)
	}
	for _, zone := range core.evacuation.returning {
		lines = append(lines, fmt.Sprintf("data centre %s was taken back; %d of its %d workers return within %s",
			zone.id, len(zone.workers), zone.total, returnTime))
	}
	return lines
}

// fitsOutsideEvacuations reports whether a gang could run outside the evacuated data centres if nothing else ran.
func (core *Core) fitsOutsideEvacuations(query feasibilityQuery) bool {
	for _, zone := range core.zones {
		if !core.isEvacuated(zone.id) && core.assemble(query.shape, core.emptyCandidates(zone, query)) != nil {
			return true
		}
	}
	return false
}

// evacuatedCandidates lists the workers of an evacuated data centre on which members of a job could start now if the
// data centre were not evacuated.
func (core *Core) evacuatedCandidates(zone *zone, job *jobState) []candidate {
	var candidates []candidate
	for _, machine := range zone.workers {
		if machine == nil || machine.lost || machine.Leaving || machine.health.quarantined || machine.refused {
			continue
		}
		if slots := job.freeSlots(machine); slots > 0 {
			candidates = append(candidates, candidate{worker: machine, members: slots})
		}
	}
	return candidates
}
