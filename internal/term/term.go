// Package term elects the process that makes scheduling decisions. The elected process holds the term: it has written
// the term's key in the store under a lease and renews the lease. The term ends with the lease.
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

// Clock returns the monotonic time since a fixed moment. It includes the time for which the VM was suspended.
type Clock func() time.Duration

// Term is a period in which this process makes the scheduling decisions. Its exported fields do not change.
type Term struct {
	// Token is the fencing token of the term: the store revision at which the term's key was created. A later term has
	// a higher token.
	Token keyvalue.Revision
	// Key is the key of the term in the store. It is deleted when Lease ends.
	Key   string
	Lease keyvalue.LeaseID
	// TTL is the time to live of the lease. StoreOutageGrace is how long after the TTL the holder may still extend the
	// leases of workers without contact with the store.
	TTL, StoreOutageGrace time.Duration
	Clock                 Clock

	mu sync.Mutex
	// lastRenewal is the time at which the latest successful renewal was sent. The grant of the lease counts as one.
	lastRenewal time.Duration
}

// Condition returns a condition that is true in the store until the term ends.
func (term *Term) Condition() keyvalue.Condition {
	return keyvalue.Condition{Key: term.Key, Revision: term.Token}
}

// MayExtendLeases reports whether the holder may still extend the leases of workers. Without contact with the store it
// may do so until StoreOutageGrace after the TTL.
func (term *Term) MayExtendLeases() bool {
	return term.sinceRenewal() < term.TTL+term.StoreOutageGrace
}

// LeaseValid reports whether the latest successful renewal was sent less than the TTL ago.
func (term *Term) LeaseValid() bool { return term.sinceRenewal() < term.TTL }

func (term *Term) sinceRenewal() time.Duration {
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.Clock() - term.lastRenewal
}

func (term *Term) recordRenewal(sent time.Duration) {
	term.mu.Lock()
	defer term.mu.Unlock()
	term.lastRenewal = sent
}

// Elector takes the term when no process holds it. Its exported fields are set before Run.
type Elector struct {
	Store keyvalue.Store
	// Key is the key of the term in the store, and Name is the value that is written to it.
	Key, Name string
	// HolderKey is a second key that is written with the term and ends with it, with the value Holder; empty if there is
	// none.
	HolderKey string
	Holder    []byte
	// TTL is the time to live of the term's lease.
	TTL time.Duration
	// StoreOutageGrace is how long after the TTL the holder may still extend the leases of workers without contact with
	// the store.
	StoreOutageGrace time.Duration
	// Jitter is the maximum of the random delay before this process takes a free term.
	Jitter time.Duration
	// Delay returns a delay that is added to the random one before this process takes a free term; nil means none.
	Delay func() time.Duration
	// ShouldYield reports whether this process, which has held the term for the given time, should end the term so that
	// another process can take it; nil means never.
	ShouldYield func(held time.Duration) bool
	// RevokeThroughPeer revokes a lease through another process. It is used while the store refuses the calls of this
	// process. If it is nil, leases are not revoked in this way.
	RevokeThroughPeer func(ctx context.Context, lease keyvalue.LeaseID) error
	Clock             Clock
	// RecordPhase is called when this process begins a campaign, before Lead, and after both. It may be nil.
	RecordPhase func(phase Phase, token keyvalue.Revision)
	// Lead runs while this process holds the term. It must return when its context ends. If it returns earlier, the
	// term ends.
	Lead   func(ctx context.Context, term *Term)
	Logger hclog.Logger

	mu sync.Mutex
	// known is true once Observe has been called, so that holder is valid.
	known bool
	// holder is the latest observed revision of the key; 0 means that no process holds the term.
	holder keyvalue.Revision
	// changed is closed at the next call of Observe.
	changed chan struct{}
}

// Phase is what a process does in the election.
type Phase string

// The phases of a process.
const (
	// Idle means that the process neither leads a term nor tries to take one.
	Idle Phase = "idle"
	// Campaigning means that the process tries to take the term.
	Campaigning Phase = "campaigning"
	// Leading means that Lead runs.
	Leading Phase = "leading"
)

const (
	// callTimeout limits one call to the store.
	callTimeout = 600 * time.Millisecond
	// retryInterval is the delay between attempts while the store refuses calls or does not respond.
	retryInterval = 150 * time.Millisecond
)

// Observe records the revision of the term's key; 0 means that the key does not exist.
func (elector *Elector) Observe(revision keyvalue.Revision) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	elector.known, elector.holder = true, revision
	if elector.changed != nil {
		close(elector.changed)
		elector.changed = nil
	}
}

// observed returns the revision of the term's key from the latest call of Observe, whether there was a call, and a
// channel that is closed at the next call.
func (elector *Elector) observed() (holder keyvalue.Revision, known bool, changed <-chan struct{}) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	if elector.changed == nil {
		elector.changed = make(chan struct{})
	}
	return elector.holder, elector.known, elector.changed
}

// Run takes part in elections until ctx ends. If this process holds the term when ctx ends, Run ends the term before it
// returns.
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
		if err := lifecycle.Sleep(ctx, elector.candidacyDelay()); err != nil {
			break
		}
		if holder, _, _ := elector.observed(); holder != 0 {
			continue
		}
		if term := elector.campaign(ctx); term != nil {
			if elector.holdTerm(ctx, term) == reasonPeerRevoked {
				// The store may still accept other calls of this process, so that it could take the term again. The
				// delay lets another process take the term first.
				_ = lifecycle.Sleep(ctx, term.TTL)
			}
			continue
		}
		_ = lifecycle.Sleep(ctx, retryInterval)
	}
	return ctx.Err()
}

// candidacyDelay returns how long this process waits before it takes a free term.
func (elector *Elector) candidacyDelay() time.Duration {
	delay := time.Duration(rand.Int64N(int64(elector.Jitter) + 1))
	if elector.Delay != nil {
		delay += elector.Delay()
	}
	return delay
}

// campaign tries to take the term. It returns nil if this process did not get the term.
func (elector *Elector) campaign(ctx context.Context) *Term {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	elector.recordPhase(Campaigning, 0)
	// The campaign ends with Lead or without effect: a term whose transaction is carried out later is never led.
	taken := false
	defer func() {
		if !taken {
			elector.recordPhase(Idle, 0)
		}
	}()
	sent := elector.Clock()
	lease, ttl, err := elector.Store.Grant(ctx, elector.TTL)
	if err != nil {
		elector.Logger.Warn("failed to grant a lease for the term", "error", err.Error())
		return nil
	}
	writes := []keyvalue.Write{{Key: elector.Key, Value: []byte(elector.Name), Lease: lease}}
	if elector.HolderKey != "" {
		writes = append(writes, keyvalue.Write{Key: elector.HolderKey, Value: elector.Holder, Lease: lease})
	}
	revision, err := elector.Store.Commit(ctx, keyvalue.Txn{
		Conditions: []keyvalue.Condition{{Key: elector.Key}}, Writes: writes,
	})
	if conflict := (*keyvalue.ConflictError)(nil); errors.As(err, &conflict) {
		if item, ok := conflict.Current(elector.Key); ok {
			elector.Observe(item.Revision)
		}
	}
	if err != nil {
		// A write whose response was lost may have taken the term. Revoking the lease releases the term again.
		elector.Logger.Info("failed to take the term", "error", err.Error())
		elector.revoke(lease)
		return nil
	}
	elector.Observe(revision)
	taken = true
	return &Term{
		Token: revision, Key: elector.Key, Lease: lease, TTL: ttl, StoreOutageGrace: elector.StoreOutageGrace,
		Clock: elector.Clock, lastRenewal: sent,
	}
}

func (elector *Elector) recordPhase(phase Phase, token keyvalue.Revision) {
	if elector.RecordPhase != nil {
		elector.RecordPhase(phase, token)
	}
}

// holdTerm runs Lead and renews the lease of the term until the term ends. It returns the reason for the end.
func (elector *Elector) holdTerm(ctx context.Context, term *Term) string {
	elector.Logger.Info("term taken", "token", int64(term.Token), "ttl", term.TTL.String())
	elector.recordPhase(Leading, term.Token)
	bounded, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		// If Lead returns early because another process has taken the term, cancel ends the renewals.
		defer cancel()
		elector.Lead(bounded, term)
	}()
	reason := elector.renewUntilEnd(bounded, term)
	cancel()
	<-done
	elector.recordPhase(Idle, 0)
	elector.Logger.Info("term ended", "token", int64(term.Token), "reason", reason)
	if reason != reasonPeerRevoked {
		elector.revoke(term.Lease)
	}
	return reason
}

// reasonPeerRevoked is the reason for the end of a term whose lease was revoked through another process.
const reasonPeerRevoked = "revoked through another process"

// renewUntilEnd renews the lease of the term until the term ends. It returns the reason for the end.
func (elector *Elector) renewUntilEnd(ctx context.Context, term *Term) string {
	began := elector.Clock()
	refusals := 0
	for {
		_ = lifecycle.Sleep(ctx, elector.renewalInterval(term, refusals))
		if ctx.Err() != nil {
			return "stopped"
		}
		if holder, _, _ := elector.observed(); holder != term.Token {
			return "the key of the term changed"
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
		case refusals >= maxRefusals && elector.revokedThroughPeer(ctx, term):
			return reasonPeerRevoked
		case !term.MayExtendLeases():
			return "no contact with the store"
		}
	}
}

func (elector *Elector) renew(ctx context.Context, term *Term) error {
	sent := elector.Clock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := elector.Store.KeepAlive(ctx, term.Lease)
	if err == nil {
		term.recordRenewal(sent)
	}
	return err
}

// maxRefusals is the number of consecutive refused renewals after which the holder tries to end the term through a
// peer. A single refusal does not suffice: a store at its limits refuses occasional calls of every process.
const maxRefusals = 2

// revokedThroughPeer tries to revoke the lease of the term through another process and reports whether the lease was
// revoked.
func (elector *Elector) revokedThroughPeer(ctx context.Context, term *Term) bool {
	if elector.RevokeThroughPeer == nil {
		return false
	}
	err := elector.RevokeThroughPeer(ctx, term.Lease)
	if err != nil {
		elector.Logger.Warn("failed to revoke the term through another process",
			"token", int64(term.Token), "error", err.Error())
	}
	return err == nil
}

// renewalsPerTTL is the number of renewals within the time to live of the lease.
const renewalsPerTTL = 3

// renewalInterval returns the delay before the next renewal. It is shorter after a refusal, or if the latest successful
// renewal is older than half the TTL.
func (elector *Elector) renewalInterval(term *Term, refusals int) time.Duration {
	if refusals > 0 || term.sinceRenewal() > term.TTL/2 {
		return retryInterval
	}
	return term.TTL / renewalsPerTTL
}

// revoke revokes the lease so that the store deletes the key of the term immediately. If the call fails, the lease
// expires after its TTL.
func (elector *Elector) revoke(lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := elector.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		elector.Logger.Info("failed to revoke the lease of the term; it expires after its time to live",
			"error", err.Error())
	}
}
