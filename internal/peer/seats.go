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
	// DefaultSeats is the number of seats without a setting.
	DefaultSeats = 7
	// A seat is taken only this long after the store was read, in which peers announce their seats and write back
	// records that a store lost which came back with older contents.
	claimDelay = 2 * time.Second
	// A record that looks older than the remembered one may only be a watch that lags behind a write.
	repairDelay  = 200 * time.Millisecond
	seatSpread   = 500 * time.Millisecond
	seatInterval = time.Second
)

// seatRecord is the value of a seat's key. Every change of a seat writes a record of its own, since Term grows.
type seatRecord struct {
	// VM is empty when the seat is free.
	VM          fleet.VMID `json:"vm_id"`
	Address     string     `json:"address"`
	Incarnation int64      `json:"incarnation"`
	// Term grows by one with every change of the holder. It tells a newer record from an older one that a store
	// returned with.
	Term int64 `json:"term"`
	// ListRevision is that of a reading of the VM list which shows the holder. A later reading without the holder
	// proves that its VM is gone.
	ListRevision int64 `json:"list_revision"`
}

// knownSeat is the newest record that this process has seen of a seat.
type knownSeat struct {
	record seatRecord
	// revision is that of the key in the store, 0 for absent.
	revision platform.StoreRevision
	// olderSince is when the store began to show an older record; zero if it does not.
	olderSince time.Time
}

// Seats takes, keeps and releases the seat of this process. Its exported fields are set before Run.
type Seats struct {
	// Count is the number of seats.
	Count int
	// VM is this process's own; its address identifies the VM across restarts.
	VM          fleet.EntryVM
	Incarnation int64
	// Inventory returns the last reading of the VM list; it reports false before the first one.
	Inventory func() (fleet.Inventory, bool)
	// Announced reports whether a live peer says that it holds a seat.
	Announced func(Seat) bool
	// Now is the clock.
	Now func() time.Time
	// Random returns a number in [0, 1) for jitter.
	Random  func() float64
	Logger  hclog.Logger
	Metrics metrics.Registry

	store platform.Store
	life  lifecycle.Lifecycle
	wake  chan struct{}

	mu    sync.Mutex
	known map[Seat]knownSeat
	// present are the seats that the watch has shown since it connected.
	present map[Seat]bool
	// claimFrom is when a seat may be taken; zero until the store was read.
	claimFrom time.Time
	own       Seat
	ownSince  time.Time
	released  bool
}

// NewSeats returns the seats of a process without one.
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
		present:     map[Seat]bool{},
		own:         NoSeat,
	}
}

// Run follows the seats in the store and takes one when the rules allow it, until ctx ends or Close.
func (seats *Seats) Run(ctx context.Context) error {
	// The gauge stands from the start, so that an alarm on a process without a seat sees it.
	metrics.GetOrRegisterGauge("peer.seat", seats.Metrics).Update(int64(NoSeat))
	ctx, end := seats.life.Begin(ctx)
	defer end()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { seats.store.Watch(ctx, seatsPrefix, seats.onChange) })
	ticker := time.NewTicker(seatInterval)
	defer ticker.Stop()
	for {
		if err := seats.Step(ctx); err != nil && ctx.Err() == nil {
			seats.Logger.Debug("seat could not be taken or kept", "error", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-seats.wake:
		}
	}
}

// Close ends Run and waits for it. The seat stays with this process unless Release was called.
func (seats *Seats) Close() { seats.life.Close() }

// Own returns the seat of this process and when it took it. It reports false without one.
func (seats *Seats) Own() (Seat, time.Time, bool) {
	seats.mu.Lock()
	defer seats.mu.Unlock()
	return seats.own, seats.ownSince, seats.own != NoSeat
}

// Release gives the seat up at a planned stop. This process takes none afterwards. A seat that cannot be released,
// because the store does not answer, changes hands when the VM is gone from the list.
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

// onChange takes a change from the watch.
func (seats *Seats) onChange(change platform.Change) {
	seats.mu.Lock()
	defer seats.mu.Unlock()
	if change.CaughtUp {
		seats.caughtUp()
	} else if seat, ok := seats.parseKey(change.Entry.Key); ok {
		var record seatRecord
		revision := change.Entry.Revision
		if change.Deleted {
			revision = 0
		} else if err := json.Unmarshal(change.Entry.Value, &record); err != nil {
			seats.Logger.Error("record of a seat is malformed", "seat", seat, "error", err)
			return
		}
		seats.present[seat] = true
		seats.observe(seat, record, revision)
	}
	seats.signal()
}

// caughtUp takes the seats that the watch has not shown as absent.
func (seats *Seats) caughtUp() {
	for seat := range seats.known {
		if !seats.present[seat] {
			seats.observe(seat, seatRecord{}, 0)
		}
	}
	clear(seats.present)
	seats.claimFrom = seats.Now().Add(claimDelay + seats.spread())
}

func (seats *Seats) parseKey(key string) (Seat, bool) {
	number, err := strconv.Atoi(strings.TrimPrefix(key, seatsPrefix))
	return Seat(number), err == nil && number >= 0 && number < seats.Count
}

// observe takes a record that the store shows. A record with a lower term than the known one does not replace it.
func (seats *Seats) observe(seat Seat, record seatRecord, revision platform.StoreRevision) {
	known := seats.known[seat]
	known.revision = revision
	switch {
	case record.Term >= known.record.Term:
		known.record, known.olderSince = record, time.Time{}
	case known.olderSince.IsZero():
		known.olderSince = seats.Now()
	}
	seats.known[seat] = known
}

func (seats *Seats) isOwn(record seatRecord) bool {
	return record.VM == seats.VM.ID && record.Incarnation == seats.Incarnation
}

// setOwn changes the seat of this process; it is called with the lock.
func (seats *Seats) setOwn(seat Seat) {
	if seat == seats.own {
		return
	}
	seats.Logger.Info("seat of this process changes", "from", int(seats.own), "to", int(seat))
	seats.own, seats.ownSince = seat, seats.Now()
	metrics.GetOrRegisterGauge("peer.seat", seats.Metrics).Update(int64(seat))
}

func (seats *Seats) spread() time.Duration {
	return time.Duration(seats.Random() * float64(seatSpread))
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
		return errors.Wrap(err, "encode seat")
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

// records returns the known records of all seats for a dump.
func (seats *Seats) records() map[string]seatRecord {
	seats.mu.Lock()
	defer seats.mu.Unlock()
	records := make(map[string]seatRecord, len(seats.known))
	for seat, known := range seats.known {
		records[strconv.Itoa(int(seat))] = known.record
	}
	return records
}
