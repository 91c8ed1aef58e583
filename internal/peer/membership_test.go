package peer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

func ownerOf(t *testing.T, formed *group, region fleet.RegionID) string {
	t.Helper()
	owners := formed.ownersOf(region, "")
	for owner, votes := range owners {
		if votes == len(formed.processes) && owner != "" {
			return string(owner)
		}
	}
	t.Fatalf("processes disagree on the owner of %s: %v", region, owners)
	return ""
}

// Guards against owners outside their region, late or early takeovers, and owners that move without need.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newGroup(t, 7)
		time.Sleep(2 * time.Second)
		first, other := ownerOf(t, formed, "a"), ownerOf(t, formed, "b")
		if vmOf(first).Region != "a" || vmOf(other).Region != "b" {
			t.Errorf("owners are %s of region a and %s of region b", first, other)
		}
		formed.kill(first)
		killed := time.Now()
		var moved time.Duration
		sampleFor(5*time.Second, func() {
			if owners := formed.ownersOf("a", ""); moved == 0 && owners[fleet.VMID(first)] == 0 && len(owners) == 1 {
				moved = time.Since(killed)
			}
		})
		// Suspicion after 2.5 s from the last heartbeat, up to 0.5 s before, and 1 s of a stable view.
		if moved < 3*time.Second || moved > 3700*time.Millisecond {
			t.Errorf("owner moved after %v, want 3 s to 3.7 s", moved)
		}
		if next := ownerOf(t, formed, "a"); vmOf(next).Region != "a" || ownerOf(t, formed, "b") != other {
			t.Errorf("owners are %s and %s after the takeover", next, ownerOf(t, formed, "b"))
		}
		t.Logf("owner moved after %v", moved)
	})
}

// Guards against owners that move when heartbeats are lost for a short time or in one direction only.
func TestFalseSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newGroup(t, 7)
		time.Sleep(2 * time.Second)
		owner := ownerOf(t, formed, "a")
		unchanged := func() {
			if now := ownerOf(t, formed, "a"); now != owner {
				t.Errorf("owner moved from %s to %s", owner, now)
			}
		}
		for i := range 7 {
			formed.setCut(true, owner, fmt.Sprintf("vm%d", i))
		}
		sampleFor(10*time.Second, unchanged)
		for i := range 7 {
			formed.setCut(true, fmt.Sprintf("vm%d", i), owner)
		}
		sampleFor(2*time.Second, unchanged)
		formed.heal()
		sampleFor(5*time.Second, unchanged)
	})
}

// Guards against a process that acts on its old view after a pause, or suspects the others because of it.
func TestPausedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newGroup(t, 7)
		time.Sleep(5 * time.Second)
		name := ownerOf(t, formed, "a")
		paused := formed.processes[name]
		seat, since, _ := paused.OwnSeat()
		paused.pause()
		time.Sleep(10 * time.Second)
		if owners := formed.ownersOf("a", name); len(owners) != 1 || owners[fleet.VMID(name)] != 0 {
			t.Errorf("owners are %v while the former one is paused", owners)
		}
		if owner, ok := paused.Owner("a"); ok {
			t.Errorf("paused process says that %s is the owner", owner.VM.ID)
		}
		paused.resume()
		sampleFor(900*time.Millisecond, func() {
			if owner, ok := paused.Owner("a"); ok {
				t.Errorf("process says right after its pause that %s is the owner", owner.VM.ID)
			}
		})
		if live := len(paused.Live()); live != 6 {
			t.Errorf("process sees %d of 6 others after its pause", live)
		}
		time.Sleep(2 * time.Second)
		if owner := ownerOf(t, formed, "a"); owner != name {
			t.Errorf("owner is %s after the pause, want %s", owner, name)
		}
		if after, at, ok := paused.OwnSeat(); !ok || after != seat || !at.Equal(since) {
			t.Errorf("seat is %v since %v after the pause, want %v since %v", after, at, seat, since)
		}
	})
}

// Guards against seats with two holders or none, and against seats that change hands by an outage or a failure alone.
func TestSeatRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		formed := newGroup(t, 8)
		one := func(step string, want int) {
			t.Helper()
			holders := formed.holders()
			for seat, names := range holders {
				if len(names) != 1 {
					t.Errorf("%s: seat %d is held by %v", step, seat, names)
				}
			}
			if len(holders) != want {
				t.Errorf("%s: %d seats are held, want %d: %v", step, len(holders), want, holders)
			}
		}
		time.Sleep(15 * time.Second)
		one("start", 7)
		// A watch each, and a write for each seat; some lose a race and write again.
		if calls := formed.standin.Calls(); calls.Store() > 8+7*3 {
			t.Errorf("%d calls to the store, want at most %d", calls.Store(), 8+7*3)
		}
		holders := formed.holders()
		crashed, restarted, drained := holders[0][0], holders[1][0], holders[2][0]

		formed.standin.SetDown(true)
		time.Sleep(3 * time.Minute)
		one("outage", 7)
		formed.standin.SetDown(false)
		time.Sleep(5 * time.Second)

		formed.kill(crashed)
		time.Sleep(time.Minute)
		one("crash of a VM that is still listed", 6)
		formed.unlist(crashed)
		time.Sleep(5 * time.Second)
		one("VM gone from the list", 7)

		formed.kill(restarted)
		formed.start(restarted, 2)
		time.Sleep(5 * time.Second)
		one("restart on the same VM", 7)
		if seat, _, _ := formed.processes[restarted].OwnSeat(); seat != 1 {
			t.Errorf("restarted process has seat %d, want 1", seat)
		}

		formed.processes[drained].Leave(context.Background())
		one("planned stop", 6)
		formed.start("vm9", 1)
		time.Sleep(15 * time.Second)
		one("VM that is not listed yet", 6)
		formed.list("vm9")
		time.Sleep(5 * time.Second)
		one("new VM", 7)

		snapshot := formed.standin.Snapshot()
		late := formed.start("vm8", 1)
		formed.list("vm8")
		time.Sleep(5 * time.Second)
		before := formed.holders()
		formed.standin.Restore(snapshot)
		time.Sleep(5 * time.Second)
		if after := formed.holders(); fmt.Sprint(after) != fmt.Sprint(before) {
			t.Errorf("holders are %v after the store lost contents, want %v", after, before)
		}
		if holder, ok := late.SeatHolder(1); !ok || string(holder.VM.ID) != restarted {
			t.Errorf("holder of seat 1 is %v, want %s", holder.VM.ID, restarted)
		}
	})
}
