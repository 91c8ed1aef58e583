package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// candidate holds the properties of a live process that determine whether it can own a domain.
type candidate struct {
	id          fleet.VMID
	incarnation int64
	region      fleet.RegionID
	// eligible is false for a process that reports that it is not ready, or whose VM is marked as leaving in the list
	// of VMs.
	eligible bool
}

// Owner returns the owner of a scheduling domain, which is identified by its region. The owner is the process with the
// highest rendezvous score among the eligible processes of the region, or among all eligible processes if the region
// has none. It returns false if no process is eligible. It also returns false until the set of live processes has been
// stable for StableFor, at the start and after a pause of this process.
func (membership *Membership) Owner(domain fleet.RegionID) (Peer, bool) {
	membership.mu.Lock()
	chosen, ok := membership.chooseOwner(domain, time.Now())
	var owner Peer
	if known, isOther := membership.members[chosen]; ok && isOther {
		owner = known.peer
	}
	membership.mu.Unlock()
	if ok && chosen == membership.VM.ID {
		return membership.Self(), true
	}
	return owner, ok && owner.VM.ID != ""
}

// owners returns the owners of all regions that have workers in the list of VMs.
func (membership *Membership) owners() map[fleet.RegionID]fleet.VMID {
	inventory, _ := membership.Inventory()
	owners := map[fleet.RegionID]fleet.VMID{}
	for _, worker := range inventory.Workers {
		if _, done := owners[worker.Region]; !done {
			owner, _ := membership.Owner(worker.Region)
			owners[worker.Region] = owner.VM.ID
		}
	}
	return owners
}

func (membership *Membership) chooseOwner(domain fleet.RegionID, now time.Time) (fleet.VMID, bool) {
	if membership.wasPaused(now) {
		return "", false
	}
	best, found := highestScore(membership.stableCandidates, domain, true)
	if !found {
		best, found = highestScore(membership.stableCandidates, domain, false)
	}
	return best.id, found
}

func highestScore(candidates []candidate, domain fleet.RegionID, sameRegion bool) (candidate, bool) {
	var best candidate
	found := false
	for _, current := range candidates {
		if !current.eligible || (sameRegion && current.region != domain) {
			continue
		}
		if !found || score(string(domain), string(current.id)) > score(string(domain), string(best.id)) {
			best, found = current, true
		}
	}
	return best, found
}

// wasPaused reports whether the last call of evaluate is so long ago that other processes may suspect this process to
// have failed.
func (membership *Membership) wasPaused(now time.Time) bool {
	return now.Sub(membership.evaluatedAt) > membership.SuspectAfter-membership.Interval
}

// evaluate determines which processes are live. If this set has not changed for StableFor, owners are chosen from it.
func (membership *Membership) evaluate() {
	inventory, _ := membership.Inventory()
	self := membership.Self()
	membership.mu.Lock()
	defer membership.mu.Unlock()
	now := time.Now()
	if !membership.evaluatedAt.IsZero() && membership.wasPaused(now) {
		membership.resetAfterPause(now)
	}
	membership.evaluatedAt = now
	candidates := membership.liveCandidates(self, inventory, now)
	if !slices.Equal(candidates, membership.candidates) {
		membership.candidates, membership.changedAt = candidates, now
	}
	if now.Sub(membership.changedAt) >= membership.StableFor {
		membership.stableCandidates = membership.candidates
	}
}

// resetAfterPause discards the set of processes from which owners are chosen after a pause of this process, since the
// owners may have changed in the meantime. It adds the pause to the times of the last heartbeats of the other
// processes, because heartbeats that this process missed while it was paused do not indicate a failure of their
// senders.
func (membership *Membership) resetAfterPause(now time.Time) {
	gap := now.Sub(membership.evaluatedAt)
	membership.Logger.Warn("this process was paused", "seconds", gap.Seconds())
	for _, known := range membership.members {
		known.lastHeartbeat = known.lastHeartbeat.Add(gap)
	}
	membership.stableCandidates, membership.changedAt = nil, now
}

// liveCandidates returns the live processes, sorted by VM id. It removes the members whose VMs are not in the list of
// VMs and that have sent no heartbeat for forgetAfter.
func (membership *Membership) liveCandidates(self Peer, inventory fleet.Inventory, now time.Time) []candidate {
	states := make(map[fleet.VMID]fleet.EntryVM, len(inventory.Entries))
	for _, entry := range inventory.Entries {
		states[entry.ID] = entry
	}
	add := func(to []candidate, live Peer) []candidate {
		return append(to, candidate{
			id:          live.VM.ID,
			incarnation: live.Incarnation,
			region:      live.VM.Region,
			eligible:    live.Ready && !states[live.VM.ID].Leaving,
		})
	}
	candidates := add(nil, self)
	for id, known := range membership.members {
		if membership.isLive(known, now) {
			candidates = add(candidates, known.peer)
			continue
		}
		if _, listed := states[id]; !listed && now.Sub(known.lastHeartbeat) > forgetAfter {
			delete(membership.members, id)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.id, b.id) })
	return candidates
}
