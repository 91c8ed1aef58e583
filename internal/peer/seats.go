package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	seatsPrefix = "seats/"
	// DefaultSeats is the number of seats unless the settings give another.
	DefaultSeats = 7
	// claimDelay is the minimum time between the first complete read of the store after the watch has connected and a
	// claim of a seat. In that time the peers announce their seats by heartbeats. If the store has returned to older
	// contents, the peers also write back the records that the store has lost.
	claimDelay = 2 * time.Second
	// repairDelay is the minimum time for which the store must contain an older record than the known record before the
	// known record is written back. A shorter difference may only mean that the watch lags behind a write.
	repairDelay    = 200 * time.Millisecond
	maxClaimJitter = 500 * time.Millisecond
	stepInterval   = time.Second
)

// seatRecord is the value of a seat's key in the store. No two changes of a seat write the same record, since Term
// increases.
type seatRecord struct {
	// VM is empty if the seat is free.
	VM          fleet.VMID `json:"vm_id"`
	Address     string     `json:"address"`
	Incarnation int64      `json:"incarnation"`
	// Term increases by one with every change of the holder, including a release. A record with a lower term than the
	// known record is older. The store contains an older record after it has lost its newer contents.
	Term int64 `json:"term"`
	// ListRevision is the revision of a VM list that contains the holder's VM. A later list without this VM proves that
	// the VM has terminated.
	ListRevision int64 `json:"list_revision"`
}

// knownSeat holds the newest record of a seat that this process has seen.
type knownSeat struct {
	record seatRecord
	// revision is the store's revision of the seat's key, or 0 if the key is absent.
	revision platform.StoreRevision
	// regressedSince is the time since which the store has contained a record older than the known record. It is zero
	// if the store contains no older record.
	regressedSince time.Time
}

// Seats claims, maintains and releases the seat of this process, a numbered position that at most one process holds.
// Its exported fields must be set before Run.
type Seats struct {
	// Count is the number of seats that the processes can claim.
	Count int
	// VM is the VM of this process. Its address identifies the VM across restarts.
	VM          fleet.EntryVM
	Incarnation int64
	// Inventory returns the last reading of the VM list. It returns false before the first reading.
	Inventory func() (fleet.Inventory, bool)
	// Announced reports whether a live peer announces a seat as its own.
	Announced func(Seat) bool
	// Now returns the current time.
	Now func() time.Time
	// Random returns a number in [0, 1) for jitter.
	Random  func() float64
	Logger  hclog.Logger
	Metrics metrics.Registry

	store     platform.Store
	lifecycle lifecycle.Lifecycle
	// wake makes Run call Step without waiting for its interval.
	wake chan struct{}

	mu    sync.Mutex
	known map[Seat]knownSeat
	// shown holds the seats whose records the watch has delivered since it last connected.
	shown map[Seat]bool
	// earliestClaim is the earliest time for the next claim. It is zero until the store has been read completely.
	earliestClaim time.Time
	own           Seat
	ownSince      time.Time
	released      bool
}

// NewSeats returns the Seats of a process that has no seat.
func NewSeats(store platform.Store, vm fleet.EntryVM, incarnation int64) *Seats {
	return &Seats{
		Count:       DefaultSeats,
		VM:          vm,
		Incarnation: incarnation,
		Inventory:   func() (fleet.Inventory, bool) { return fleet.Inventory{}, false },
		Announced:   func(Seat) bool { return false },
		Now:         time.Now,
		Random:      rand.Float64,
		Logger:      hclog.NewNullLogger(),
		Metrics:     metrics.NewRegistry(),
		store:       store,
		wake:        make(chan struct{}, 1),
		known:       map[Seat]knownSeat{},
		shown:       map[Seat]bool{},
		own:         NoSeat,
	}
}

// Run watches the records of the seats in the store and calls Step after each change and once per stepInterval, until
// ctx is done or Close is called.
func (seats *Seats) Run(ctx context.Context) error {
	// The gauge is set from the start, so that alerts cover a process that never gets a seat.
	metrics.GetOrRegisterGauge("peer.seat", seats.Metrics).Update(int64(NoSeat))
	ctx, end := seats.lifecycle.Begin(ctx)
	defer end()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { seats.store.Watch(ctx, seatsPrefix, seats.onChange) })
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		if err := seats.Step(ctx); err != nil && ctx.Err() == nil {
			seats.Logger.Debug("failed to update a seat in the store", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-seats.wake:
		}
	}
}

// Close ends Run and waits until it has returned. The seat stays assigned to this process unless Release was called.
func (seats *Seats) Close() { seats.lifecycle.Close() }

// Own returns the seat of this process and the time since which the process holds it. It returns false if this process
// has no seat.
func (seats *Seats) Own() (Seat, time.Time, bool) {
	seats.mu.Lock()
	defer seats.mu.Unlock()
	return seats.own, seats.ownSince, seats.own != NoSeat
}

// Release releases the seat at a planned stop. This process claims no seat afterwards. If the store does not respond,
// the seat is not released, and a process on another VM can claim it only when this VM is no longer listed.
func (seats *Seats) Release(ctx context.Context) error {
	seats.mu.Lock()
	held := seats.own
	seats.released = true
	seats.setOwn(NoSeat)
	known := seats.known[held]
	seats.mu.Unlock()
	if held == NoSeat || !seats.isOwn(known.record) {
		return nil
	}
	return seats.write(ctx, held, seatRecord{Term: known.record.Term + 1}, known.revision)
}

// onChange handles a change that the watch delivers.
func (seats *Seats) onChange(change platform.Change) {
	seats.mu.Lock()
	defer seats.mu.Unlock()
	if change.CaughtUp {
		seats.watchCaughtUp()
	} else if seat, ok := seats.parseKey(change.Entry.Key); ok {
		var record seatRecord
		revision := change.Entry.Revision
		if change.Deleted {
			revision = 0
		} else if err := json.Unmarshal(change.Entry.Value, &record); err != nil {
			seats.Logger.Error("record of a seat is malformed", "seat", seat, "error", err)
			return
		}
		seats.shown[seat] = true
		seats.observe(seat, record, revision)
	}
	seats.signal()
}

// watchCaughtUp is called when the watch has delivered the records of all seats in the store. Seats that the watch has
// not delivered have no record: they are observed as absent. watchCaughtUp also sets the time of the earliest claim.
func (seats *Seats) watchCaughtUp() {
	for seat := range seats.known {
		if !seats.shown[seat] {
			seats.observe(seat, seatRecord{}, 0)
		}
	}
	clear(seats.shown)
	seats.earliestClaim = seats.Now().Add(claimDelay + seats.jitter())
}

func (seats *Seats) parseKey(key string) (Seat, bool) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, seatsPrefix))
	return Seat(number), err == nil && number >= 0 && number < seats.Count
}

// observe updates the known record of a seat from a record that the store contains. A record with a lower term does not
// replace the known record, but marks the seat as regressed.
func (seats *Seats) observe(seat Seat, record seatRecord, revision platform.StoreRevision) {
	known := seats.known[seat]
	known.revision = revision
	switch {
	case record.Term >= known.record.Term:
		known.record, known.regressedSince = record, time.Time{}
	case known.regressedSince.IsZero():
		known.regressedSince = seats.Now()
	}
	seats.known[seat] = known
}

func (seats *Seats) isOwn(record seatRecord) bool {
	return record.VM == seats.VM.ID && record.Incarnation == seats.Incarnation
}

// setOwn sets the seat of this process. The caller holds the lock.
func (seats *Seats) setOwn(seat Seat) {
	if seat == seats.own {
		return
	}
	seats.Logger.Info("seat of this process changed", "from", int(seats.own), "to", int(seat))
	seats.own, seats.ownSince = seat, seats.Now()
	metrics.GetOrRegisterGauge("peer.seat", seats.Metrics).Update(int64(seat))
}

func (seats *Seats) jitter() time.Duration {
	return time.Duration(seats.Random() * float64(maxClaimJitter))
}

func (seats *Seats) signal() {
	select {
	case seats.wake <- struct{}{}:
	default:
	}
}

func (seats *Seats) write(ctx context.Context, seat Seat, record seatRecord, expected platform.StoreRevision) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode seat record")
	}
	revision, err := seats.store.Swap(ctx, seatsPrefix+strconv.Itoa(int(seat)), value, expected)
	if err != nil {
		return err
	}
	seats.mu.Lock()
	defer seats.mu.Unlock()
	seats.observe(seat, record, revision)
	return nil
}

// records returns the known records of the seats by seat number, for a dump.
func (seats *Seats) records() map[string]seatRecord {
	seats.mu.Lock()
	defer seats.mu.Unlock()
	records := make(map[string]seatRecord, len(seats.known))
	for seat, known := range seats.known {
		records[strconv.Itoa(int(seat))] = known.record
	}
	return records
}
