package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// candidate is a live process as the choice of owners sees it.
type candidate struct {
	id          fleet.VMID
	incarnation int64
	region      fleet.RegionID
	// eligible is false for a process that is not ready or whose VM is leaving.
	eligible bool
}

// Owner returns the owner of a domain: of the eligible processes of the region, or of all if there are none there,
// the first by rendezvous hashing. It reports false while this process has no stable view.
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

// owners returns the owners of all regions of the list of VMs.
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
	best, found := highest(membership.stable, domain, true)
	if !found {
		best, found = highest(membership.stable, domain, false)
	}
	return best.id, found
}

func highest(candidates []candidate, domain fleet.RegionID, sameRegion bool) (candidate, bool) {
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

// wasPaused reports whether the view was not evaluated for so long that others may suspect this process.
func (membership *Membership) wasPaused(now time.Time) bool {
	return now.Sub(membership.evaluated) > membership.SuspectAfter-membership.Interval
}

// evaluate judges which processes are live and whether the view is stable.
func (membership *Membership) evaluate() {
	inventory, _ := membership.Inventory()
	self := membership.Self()
	membership.mu.Lock()
	defer membership.mu.Unlock()
	now := time.Now()
	if !membership.evaluated.IsZero() && membership.wasPaused(now) {
		membership.resume(now)
	}
	membership.evaluated = now
	candidates := membership.liveCandidates(self, inventory, now)
	if !slices.Equal(candidates, membership.candidates) {
		membership.candidates, membership.changed = candidates, now
	}
	if now.Sub(membership.changed) >= membership.StableFor {
		membership.stable = membership.candidates
	}
}

// resume starts a new view after a pause of this process. The pause says nothing about the others, so it does not
// count against them, and the old view names owners that others have replaced.
func (membership *Membership) resume(now time.Time) {
	gap := now.Sub(membership.evaluated)
	membership.Logger.Warn("this process was paused", "seconds", gap.Seconds())
	for _, known := range membership.members {
		known.heardAt = known.heardAt.Add(gap)
	}
	membership.stable, membership.changed = nil, now
}

// liveCandidates returns the live processes in the order of their ids, and forgets those that are gone.
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
		if _, listed := states[id]; !listed && now.Sub(known.heardAt) > forgetAfter {
			delete(membership.members, id)
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.id, b.id) })
	return candidates
}
