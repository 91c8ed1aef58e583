package peer

import (
	"context"
	"slices"

	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Step does one step of Run: it notes what became of the seat of this process, writes back records that the store
// has lost, and takes a seat when there is one to take.
func (seats *Seats) Step(ctx context.Context) error {
	seats.mu.Lock()
	seats.noteOwn()
	lost := seats.lostRecords()
	extra := seats.extraSeats()
	seats.mu.Unlock()
	for _, seat := range lost {
		if err := seats.repair(ctx, seat); err != nil {
			return err
		}
	}
	for _, seat := range extra {
		known := seats.knownSeat(seat)
		if err := seats.write(ctx, seat, seatRecord{Term: known.record.Term + 1}, known.revision); err != nil {
			return err
		}
	}
	return seats.claim(ctx)
}

func (seats *Seats) knownSeat(seat Seat) knownSeat {
	seats.mu.Lock()
	defer seats.mu.Unlock()
	return seats.known[seat]
}

// noteOwn drops a seat that another process took, and adopts one that a write with a lost answer has taken.
func (seats *Seats) noteOwn() {
	if seats.own != NoSeat && !seats.isOwn(seats.known[seats.own].record) {
		seats.Logger.Error("another process took the seat", "seat", int(seats.own),
			"holder", seats.known[seats.own].record.VM)
		seats.setOwn(NoSeat)
	}
	if seats.own != NoSeat || seats.released {
		return
	}
	for seat, known := range seats.known {
		if seats.isOwn(known.record) && known.olderSince.IsZero() {
			seats.setOwn(seat)
			return
		}
	}
}

// lostRecords returns the seats of which the store has shown an older record for longer than a watch lags.
func (seats *Seats) lostRecords() []Seat {
	var lost []Seat
	for seat, known := range seats.known {
		if !known.olderSince.IsZero() && seats.Now().Sub(known.olderSince) >= repairDelay {
			lost = append(lost, seat)
		}
	}
	return lost
}

// extraSeats returns the seats that the store gives this process besides its own.
func (seats *Seats) extraSeats() []Seat {
	var extra []Seat
	for seat, known := range seats.known {
		if seat != seats.own && seats.isOwn(known.record) && known.olderSince.IsZero() {
			extra = append(extra, seat)
		}
	}
	return extra
}

// repair writes the newest known record of a seat back to a store that came back with an older one. Every process
// does so, since the holder may be paused.
func (seats *Seats) repair(ctx context.Context, seat Seat) error {
	known := seats.knownSeat(seat)
	if err := seats.write(ctx, seat, known.record, known.revision); err != nil {
		return err
	}
	metrics.GetOrRegisterCounter("peer.seat_repaired", seats.Metrics).Inc(1)
	seats.Logger.Warn("seat_store_regressed: record of a seat is written back", "seat", int(seat))
	return nil
}

// claim takes a seat if this process has none and the rules allow it.
func (seats *Seats) claim(ctx context.Context) error {
	inventory, ok := seats.Inventory()
	if !ok || !listed(inventory, seats.VM.ID) {
		return nil
	}
	announced := seats.announcedSeats()
	seats.mu.Lock()
	chosen, ok := seats.choose(inventory, announced)
	if ok {
		// One try until the watch shows what came of it, or until the next spread-out moment.
		seats.claimFrom = seats.Now().Add(seatInterval + seats.spread())
	}
	known := seats.known[chosen]
	seats.mu.Unlock()
	if !ok {
		return nil
	}
	record := seatRecord{
		VM:           seats.VM.ID,
		Address:      seats.VM.Address,
		Incarnation:  seats.Incarnation,
		Term:         known.record.Term + 1,
		ListRevision: inventory.Revision,
	}
	if err := seats.write(ctx, chosen, record, known.revision); err != nil {
		return err
	}
	seats.mu.Lock()
	defer seats.mu.Unlock()
	seats.noteOwn()
	return nil
}

func (seats *Seats) announcedSeats() map[Seat]bool {
	announced := make(map[Seat]bool, seats.Count)
	for seat := range Seat(seats.Count) {
		announced[seat] = seats.Announced(seat)
	}
	return announced
}

// choose returns the seat to take: that of an earlier process of this VM, else a free one, else one whose VM is gone.
func (seats *Seats) choose(inventory fleet.Inventory, announced map[Seat]bool) (Seat, bool) {
	if seats.own != NoSeat || seats.released || seats.claimFrom.IsZero() || seats.Now().Before(seats.claimFrom) {
		return NoSeat, false
	}
	order := RankSeats(string(seats.VM.ID), seats.Count)
	rules := []func(seatRecord) bool{
		func(record seatRecord) bool {
			return record.VM != "" && record.Address == seats.VM.Address && record.Incarnation < seats.Incarnation
		},
		func(record seatRecord) bool { return record.VM == "" },
		func(record seatRecord) bool {
			return inventory.Revision > record.ListRevision && !listed(inventory, record.VM)
		},
	}
	for _, rule := range rules {
		for _, seat := range order {
			known := seats.known[seat]
			if known.olderSince.IsZero() && rule(known.record) && !announced[seat] {
				return seat, true
			}
		}
	}
	return NoSeat, false
}

func listed(inventory fleet.Inventory, id fleet.VMID) bool {
	return slices.ContainsFunc(inventory.Entries, func(entry fleet.EntryVM) bool { return entry.ID == id })
}
