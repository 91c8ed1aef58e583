package platform

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	defaultPollInterval = time.Second
	// maxOlderReadings is the number of consecutive readings of the VM list that are ignored because their revision is
	// lower than that of the current reading. They are assumed to come from a replica that lags. If the next reading is
	// older too, the list itself is assumed to have lost its newer contents, and the reading is accepted.
	maxOlderReadings = 10
)

// Inventory polls the VM list of the platform. A reading is the contents of the list at one poll. While the list is
// unavailable, the inventory keeps the last reading.
type Inventory struct {
	// Interval is the pause between two readings.
	Interval time.Duration
	Logger   hclog.Logger

	list      VMList
	lifecycle lifecycle.Lifecycle

	mu         sync.Mutex
	current    fleet.Inventory
	hasReading bool
	// consecutiveOlder is the number of consecutive readings with a lower revision than that of current.
	consecutiveOlder int
	failing          bool
	subscribers      []func(fleet.Inventory)
}

// NewInventory returns an inventory that polls list.
func NewInventory(list VMList) *Inventory {
	return &Inventory{Interval: defaultPollInterval, Logger: hclog.NewNullLogger(), list: list}
}

// Run polls the list until ctx ends or Close is called.
func (inventory *Inventory) Run(ctx context.Context) error {
	ctx, end := inventory.lifecycle.Begin(ctx)
	defer end()
	for ctx.Err() == nil {
		reading, err := inventory.list.ListVMs(ctx)
		if ctx.Err() != nil {
			break
		}
		inventory.update(reading, err)
		_ = lifecycle.Sleep(ctx, inventory.Interval)
	}
	return nil
}

// Close stops Run and waits until it has returned.
func (inventory *Inventory) Close() { inventory.lifecycle.Close() }

// Current returns the last reading, which must not be modified, and false if there is none yet.
func (inventory *Inventory) Current() (fleet.Inventory, bool) {
	inventory.mu.Lock()
	defer inventory.mu.Unlock()
	return inventory.current, inventory.hasReading
}

// Subscribe registers a function that is called with each reading that differs from the one before it, from the
// goroutine of Run. Subscribe must not be called after Run.
func (inventory *Inventory) Subscribe(subscriber func(fleet.Inventory)) {
	inventory.mu.Lock()
	defer inventory.mu.Unlock()
	inventory.subscribers = append(inventory.subscribers, subscriber)
}

func (inventory *Inventory) update(reading fleet.Inventory, err error) {
	if !inventory.accept(reading, err) {
		return
	}
	for _, subscriber := range inventory.subscribers {
		subscriber(reading)
	}
}

// accept stores a reading as the current one and reports whether it differs from the one before it. It ignores a failed
// reading and, up to maxOlderReadings times in a row, a reading that is older than the current one.
func (inventory *Inventory) accept(reading fleet.Inventory, err error) bool {
	inventory.mu.Lock()
	defer inventory.mu.Unlock()
	if err != nil {
		if !inventory.failing {
			inventory.Logger.Warn("VM list is unavailable; keeping the last reading", "error", err)
		}
		inventory.failing = true
		return false
	}
	inventory.failing = false
	if inventory.hasReading && reading.Revision < inventory.current.Revision &&
		inventory.consecutiveOlder < maxOlderReadings {
		inventory.consecutiveOlder++
		return false
	}
	inventory.consecutiveOlder = 0
	changed := !inventory.hasReading || reading.Revision != inventory.current.Revision
	inventory.current, inventory.hasReading = reading, true
	return changed
}
