// Package term elects the process that decides: it holds a key of the store under a lease.
package term

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

// Clock returns a steady time since some fixed moment that also counts the time for which the VM was suspended.
type Clock func() time.Duration

// Term is a period in which this process decides. Its exported fields do not change.
type Term struct {
	// Token is the revision at which the term's key was created; a later term has a higher one.
	Token keyvalue.Revision
	// Key is the term's key in the store, and Lease is what keeps it there.
	Key   string
	Lease keyvalue.LeaseID
	// TTL is the lease's time to live, and StoreOutageGrace how long beyond it the leases of workers may be extended.
	TTL, StoreOutageGrace time.Duration
	Clock                 Clock

	mu sync.Mutex
	// renewed is when the last renewal that succeeded was sent.
	renewed time.Duration
}

// Condition holds in the store as long as the term has not ended.
func (term *Term) Condition() keyvalue.Condition {
	return keyvalue.Condition{Key: term.Key, Revision: term.Token}
}

// MayExtendLeases reports whether the holder may still extend the leases of workers without contact to the store.
func (term *Term) MayExtendLeases() bool {
	return term.sinceRenewal() < term.TTL+term.StoreOutageGrace
}

// LeaseValid reports whether the store renewed the term within its time to live.
func (term *Term) LeaseValid() bool { return term.sinceRenewal() < term.TTL }

func (term *Term) sinceRenewal() time.Duration {
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.Clock() - term.renewed
}

func (term *Term) renew(sent time.Duration) {
	term.mu.Lock()
	defer term.mu.Unlock()
	term.renewed = sent
}

// Elector takes the term whenever it is free. Its exported fields are set before Run.
type Elector struct {
	Store keyvalue.Store
	// Key is the term's key, and Name what is written there.
	Key, Name string
	// TTL is the time to live of the term's lease.
	TTL time.Duration
	// StoreOutageGrace is how long beyond TTL a holder may extend workers' leases without the store.
	StoreOutageGrace time.Duration
	// Jitter bounds the random pause before a free term is taken.
	Jitter time.Duration
	// Delay returns what this process waits before it takes a free term; nil is no wait.
	Delay func() time.Duration
	// ShouldYield reports whether another process should have the term that this one has held for a time; nil is never.
	ShouldYield func(held time.Duration) bool
	// RevokeThroughPeer ends a lease through another process while the store refuses this one; nil means that nothing can.
	RevokeThroughPeer func(ctx context.Context, lease keyvalue.LeaseID) error
	Clock             Clock
	// Lead runs while this process holds the term, and returns when its context ends.
	Lead   func(ctx context.Context, term *Term)
	Logger hclog.Logger

	mu      sync.Mutex
	known   bool
	holder  keyvalue.Revision
	changed chan struct{}
}

const (
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// retryPause separates tries while the store refuses calls or does not answer.
	retryPause = 150 * time.Millisecond
)

// Observe notes the revision of the term's key; 0 means that the key does not exist.
func (elector *Elector) Observe(revision keyvalue.Revision) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	elector.known, elector.holder = true, revision
	if elector.changed != nil {
		close(elector.changed)
		elector.changed = nil
	}
}

func (elector *Elector) observed() (holder keyvalue.Revision, known bool, changed <-chan struct{}) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.changed == nil {
		elector.changed = make(chan struct{})
	}
	return elector.holder, elector.known, elector.changed
}

// Run takes part in elections until ctx ends, and then gives up the term that it may hold.
func (elector *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		holder, known, changed := elector.observed()
		if !known || holder != 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := lifecycle.Sleep(ctx, elector.pause()); err != nil {
			break
		}
		if holder, _, _ := elector.observed(); holder != 0 {
			continue
		}
		if term := elector.campaign(ctx); term != nil {
			if elector.lead(ctx, term) == givenUp {
				// The others take the term first: the store may refuse this process only some calls.
				_ = lifecycle.Sleep(ctx, term.TTL)
			}
			continue
		}
		_ = lifecycle.Sleep(ctx, retryPause)
	}
	return ctx.Err()
}

// pause returns how long this process waits before it takes a free term.
func (elector *Elector) pause() time.Duration {
	pause := time.Duration(rand.Int64N(int64(elector.Jitter) + 1))
	if elector.Delay != nil {
		pause += elector.Delay()
	}
	return pause
}

// campaign returns the new term, or nil if it was not won.
func (elector *Elector) campaign(ctx context.Context) *Term {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := elector.Clock()
	lease, ttl, err := elector.Store.Grant(ctx, elector.TTL)
	if err != nil {
		elector.Logger.Warn("no lease for the term", "error", err.Error())
		return nil
	}
	revision, err := elector.Store.Commit(ctx, keyvalue.Txn{
		Conditions: []keyvalue.Condition{{Key: elector.Key}},
		Writes:     []keyvalue.Write{{Key: elector.Key, Value: []byte(elector.Name), Lease: lease}},
	})
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		if item, ok := conflict.Current(elector.Key); ok {
			elector.Observe(item.Revision)
		}
	}
	if err != nil {
		// A write without an answer may have taken the term; ending the lease frees it again.
		elector.Logger.Info("term not taken", "error", err.Error())
		elector.revoke(lease)
		return nil
	}
	elector.Observe(revision)
	return &Term{
		Token: revision, Key: elector.Key, Lease: lease, TTL: ttl, StoreOutageGrace: elector.StoreOutageGrace,
		Clock: elector.Clock, renewed: sent,
	}
}

// lead holds a term until it ends and returns the reason.
func (elector *Elector) lead(ctx context.Context, term *Term) string {
	elector.Logger.Info("term taken", "token", int64(term.Token), "ttl", term.TTL.String())
	bounded, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		// A holder that finds itself succeeded returns early, which ends the term.
		defer cancel()
		elector.Lead(bounded, term)
	}()
	reason := elector.keep(bounded, term)
	cancel()
	<-done
	elector.Logger.Info("term ended", "token", int64(term.Token), "reason", reason)
	if reason != givenUp {
		elector.revoke(term.Lease)
	}
	return reason
}

// givenUp is the reason for the end of a term whose lease another process has ended.
const givenUp = "given up through another process"

// keep renews the term until it ends and returns the reason.
func (elector *Elector) keep(ctx context.Context, term *Term) string {
	began := elector.Clock()
	refusals := 0
	for {
		_ = lifecycle.Sleep(ctx, elector.renewalPause(term, refusals))
		if ctx.Err() != nil {
			return "stopped"
		}
		if holder, _, _ := elector.observed(); holder != term.Token {
			return "the key changed"
		}
		if elector.ShouldYield != nil && elector.ShouldYield(elector.Clock()-began) {
			return "left to another process"
		}
		err := elector.renew(ctx, term)
		switch {
		case err == nil:
			refusals = 0
		case errors.Is(err, keyvalue.ErrNotFound):
			return "the lease ended"
		case errors.Is(err, keyvalue.ErrRejected):
			refusals++
		}
		switch {
		case refusals >= mostRefusals && elector.giveUp(ctx, term):
			return givenUp
		case !term.MayExtendLeases():
			return "no contact to the store"
		}
	}
}

func (elector *Elector) renew(ctx context.Context, term *Term) error {
	sent := elector.Clock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := elector.Store.KeepAlive(ctx, term.Lease)
	if err == nil {
		term.renew(sent)
	}
	return err
}

// mostRefusals is how many renewals in a row the store refuses before the term is given up. A store that is refusing
// everyone at its limits also refuses one now and then.
const mostRefusals = 2

// giveUp reports whether another process has ended the term.
func (elector *Elector) giveUp(ctx context.Context, term *Term) bool {
	if elector.RevokeThroughPeer == nil {
		return false
	}
	err := elector.RevokeThroughPeer(ctx, term.Lease)
	if err != nil {
		elector.Logger.Warn("term not given up", "token", int64(term.Token), "error", err.Error())
	}
	return err == nil
}

// renewalParts is how many renewals fit into the time to live.
const renewalParts = 3

func (elector *Elector) renewalPause(term *Term, refusals int) time.Duration {
	if refusals > 0 || term.sinceRenewal() > term.TTL/2 {
		return retryPause
	}
	return term.TTL / renewalParts
}

// revoke frees the key early; without it the lease ends by itself.
func (elector *Elector) revoke(lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := elector.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		elector.Logger.Info("lease of the term not ended early", "error", err.Error())
	}
}
