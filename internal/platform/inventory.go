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
	// A reading with a lower revision comes from a replica that lags. After this many in a row it is taken as the
	// list itself having returned with older contents.
	maxOlderReadings = 10
)

// Inventory polls the VM list and keeps the last reading while the list is unavailable.
type Inventory struct {
	// Interval is the time between two readings.
	Interval time.Duration
	Logger   hclog.Logger

	list VMList
	life lifecycle.Lifecycle

	mu      sync.Mutex
	current fleet.Inventory
	read    bool
	// older counts the readings in a row whose revision was below that of current.
	older       int
	failing     bool
	subscribers []func(fleet.Inventory)
}

// NewInventory returns a poller of list.
func NewInventory(list VMList) *Inventory {
	return &Inventory{Interval: defaultPollInterval, Logger: hclog.NewNullLogger(), list: list}
}

// Run polls until ctx ends or Close.
func (inventory *Inventory) Run(ctx context.Context) error {
	ctx, end := inventory.life.Begin(ctx)
	defer end()
	for ctx.Err() == nil {
		reading, err := inventory.list.ListVMs(ctx)
		if ctx.Err() != nil {
			break
		}
		inventory.take(reading, err)
		_ = lifecycle.Sleep(ctx, inventory.Interval)
	}
	return nil
}

// Close ends Run and waits for it.
func (inventory *Inventory) Close() { inventory.life.Close() }

// Current returns the last reading, which must not be changed. It reports false before the first one.
func (inventory *Inventory) Current() (fleet.Inventory, bool) {
	inventory.mu.Lock()
	defer inventory.mu.Unlock()
	return inventory.current, inventory.read
}

// Subscribe registers a function that gets each changed reading, from the goroutine of Run. It is called before Run.
func (inventory *Inventory) Subscribe(subscriber func(fleet.Inventory)) {
	inventory.mu.Lock()
	defer inventory.mu.Unlock()
	inventory.subscribers = append(inventory.subscribers, subscriber)
}

func (inventory *Inventory) take(reading fleet.Inventory, err error) {
	if !inventory.accept(reading, err) {
		return
	}
	for _, subscriber := range inventory.subscribers {
		subscriber(reading)
	}
}

// accept stores a reading and reports whether it changed anything.
func (inventory *Inventory) accept(reading fleet.Inventory, err error) bool {
	inventory.mu.Lock()
	defer inventory.mu.Unlock()
	if err != nil {
		if !inventory.failing {
			inventory.Logger.Warn("VM list is unavailable, the last reading stays", "error", err)
		}
		inventory.failing = true
		return false
	}
	inventory.failing = false
	if inventory.read && reading.Revision < inventory.current.Revision && inventory.older < maxOlderReadings {
		inventory.older++
		return false
	}
	inventory.older = 0
	changed := !inventory.read || reading.Revision != inventory.current.Revision
	inventory.current, inventory.read = reading, true
	return changed
}
