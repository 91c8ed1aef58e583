package peer

import (
	"context"
	"slices"

	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Step updates the seat of this process from the known records of the store and then makes the writes that are due. It
// writes back records that the store has lost, releases seats that are recorded for this process in addition to its
// own, and claims a seat if this process has none and a seat is available.
func (seats *Seats) Step(ctx context.Context) error {
	seats.mu.Lock()
	seats.updateOwn()
	lost := seats.regressedSeats()
	extra := seats.extraSeats()
	seats.mu.Unlock()
	for _, seat := range lost {
		if err := seats.writeBack(ctx, seat); err != nil {
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

// updateOwn removes the seat of this process if another process has claimed it. If this process has no seat, updateOwn
// sets the seat that the store records for it. Such a record exists if the response to the write of a claim was lost.
// The caller holds the lock.
func (seats *Seats) updateOwn() {
	if seats.own != NoSeat && !seats.isOwn(seats.known[seats.own].record) {
		seats.Logger.Error("another process took the seat", "seat", int(seats.own),
			"holder", seats.known[seats.own].record.VM)
		seats.setOwn(NoSeat)
	}
	if seats.own != NoSeat || seats.released {
		return
	}
	for seat, known := range seats.known {
		if seats.isOwn(known.record) && known.regressedSince.IsZero() {
			seats.setOwn(seat)
			return
		}
	}
}

// regressedSeats returns the seats for which the store has contained an older record than the known one for repairDelay
// or longer.
func (seats *Seats) regressedSeats() []Seat {
	var lost []Seat
	for seat, known := range seats.known {
		if !known.regressedSince.IsZero() && seats.Now().Sub(known.regressedSince) >= repairDelay {
			lost = append(lost, seat)
		}
	}
	return lost
}

// extraSeats returns the seats that are recorded for this process in addition to its own seat.
func (seats *Seats) extraSeats() []Seat {
	var extra []Seat
	for seat, known := range seats.known {
		if seat != seats.own && seats.isOwn(known.record) && known.regressedSince.IsZero() {
			extra = append(extra, seat)
		}
	}
	return extra
}

// writeBack stores the newest known record of a seat after the store has returned to an older record. All processes
// write records back, not only the holder of the seat, since the holder may be paused.
func (seats *Seats) writeBack(ctx context.Context, seat Seat) error {
	known := seats.knownSeat(seat)
	if err := seats.write(ctx, seat, known.record, known.revision); err != nil {
		return err
	}
	metrics.GetOrRegisterCounter("peer.seat_repaired", seats.Metrics).Inc(1)
	seats.Logger.Warn("seat_store_regressed: record of a seat is written back", "seat", int(seat))
	return nil
}

// claim claims a seat if this process has none and chooseSeat finds one.
func (seats *Seats) claim(ctx context.Context) error {
	inventory, ok := seats.Inventory()
	if !ok || !listed(inventory, seats.VM.ID) {
		return nil
	}
	announced := seats.announcedSeats()
	seats.mu.Lock()
	chosen, ok := seats.chooseSeat(inventory, announced)
	if ok {
		// This delays the next claim, so that the watch can deliver the result of this claim first. The jitter spreads
		// the claims of different processes.
		seats.earliestClaim = seats.Now().Add(stepInterval + seats.jitter())
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
	seats.updateOwn()
	return nil
}

func (seats *Seats) announcedSeats() map[Seat]bool {
	announced := make(map[Seat]bool, seats.Count)
	for seat := range Seat(seats.Count) {
		announced[seat] = seats.Announced(seat)
	}
	return announced
}

// chooseSeat returns the seat to claim: the seat of an earlier process on this VM, otherwise a free seat, otherwise a
// seat whose VM is no longer listed. A seat that a live peer announces as its own, or whose record in the store has
// regressed, is not chosen. chooseSeat returns false if no seat can be chosen, if this process already has a seat or
// has called Release, or before earliestClaim. The caller holds the lock.
func (seats *Seats) chooseSeat(inventory fleet.Inventory, announced map[Seat]bool) (Seat, bool) {
	if seats.own != NoSeat || seats.released || seats.earliestClaim.IsZero() ||
		seats.Now().Before(seats.earliestClaim) {
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
			if known.regressedSince.IsZero() && rule(known.record) && !announced[seat] {
				return seat, true
			}
		}
	}
	return NoSeat, false
}

func listed(inventory fleet.Inventory, id fleet.VMID) bool {
	return slices.ContainsFunc(inventory.Entries, func(entry fleet.EntryVM) bool { return entry.ID == id })
}
