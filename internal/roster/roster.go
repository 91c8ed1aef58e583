// Package roster keeps the list of entry processes in the platform's store: each one announces itself under a lease.
package roster

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Member is an entry process as it announces itself.
type Member struct {
	Name       string             `json:"name"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	// Address is where the process serves the requests that other processes pass on.
	Address string `json:"address"`
	// ProcessorCores is the processor time that the process may use, in cores.
	ProcessorCores float64 `json:"processor"`
}

// Roster announces one process and knows the others. Its exported fields are set before Run.
type Roster struct {
	Store keyvalue.Store
	Self  Member
	// TTL is how long the announcement outlives the process.
	TTL    time.Duration
	Clock  func() time.Duration
	Logger hclog.Logger

	mu      sync.Mutex
	members map[string]entry
}

// entry is a member with the local time at which it was first seen.
type entry struct {
	Member
	since time.Duration
}

const (
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// retryPause separates tries while the store does not answer.
	retryPause = 500 * time.Millisecond
	// renewalParts is how many renewals fit into the time to live.
	renewalParts = 3
)

// Run keeps the process announced until ctx ends, and then withdraws it.
func (roster *Roster) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := roster.announce(ctx)
		if err != nil {
			roster.Logger.Info("process not announced yet", "error", err.Error())
			_ = lifecycle.Sleep(ctx, retryPause)
			continue
		}
		roster.keep(ctx, lease)
		if ctx.Err() != nil {
			roster.withdraw(ctx, lease)
		}
	}
	return ctx.Err()
}

func (roster *Roster) announce(ctx context.Context) (keyvalue.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, _, err := roster.Store.Grant(ctx, roster.TTL)
	if err != nil {
		return 0, err
	}
	_, err = roster.Store.Commit(ctx, keyvalue.Txn{Writes: []keyvalue.Write{{
		Key: ledger.MemberKey(roster.Self.Name), Value: ledger.Encode(roster.Self), Lease: lease,
	}}})
	return lease, err
}

// keep renews the announcement until its lease or ctx ends.
func (roster *Roster) keep(ctx context.Context, lease keyvalue.LeaseID) {
	pause := roster.TTL / renewalParts
	for lifecycle.Sleep(ctx, pause) == nil {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := roster.Store.KeepAlive(bounded, lease)
		cancel()
		if errors.Is(err, keyvalue.ErrNotFound) {
			roster.Logger.Info("announcement ended, announcing again")
			return
		}
		pause = roster.TTL / renewalParts
		if err != nil {
			pause = retryPause
		}
	}
}

func (roster *Roster) withdraw(ctx context.Context, lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := roster.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		roster.Logger.Info("announcement not withdrawn, its lease ends by itself", "error", err.Error())
	}
}

// Apply takes changes of a mirror that covers the announcements; other keys are skipped.
func (roster *Roster) Apply(changes []keyvalue.Change, whole bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	former := roster.members
	if roster.members == nil || whole {
		roster.members = map[string]entry{}
	}
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.Key, ledger.MemberPrefix)
		if !ok {
			continue
		}
		if change.Deleted {
			delete(roster.members, name)
			continue
		}
		member, err := ledger.Decode[Member](change.Item)
		if err != nil {
			roster.Logger.Error("unreadable announcement", "key", change.Key, "error", err.Error())
			continue
		}
		since := roster.Clock()
		if known, ok := former[name]; ok {
			since = known.since
		}
		roster.members[name] = entry{Member: member, since: since}
	}
}

// HasLargerMember reports whether a member that has been listed for a time may use more of a processor than this process. A
// difference that is too small to matter does not count.
func (roster *Roster) HasLargerMember(listed time.Duration) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	now := roster.Clock()
	for _, member := range roster.members {
		if member.ProcessorCores > largerFactor*roster.Self.ProcessorCores && now-member.since >= listed {
			return true
		}
	}
	return false
}

// PeerAddresses returns the addresses of the other members.
func (roster *Roster) PeerAddresses() []string {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var addresses []string
	for name, member := range roster.members {
		if name != roster.Self.Name && member.Address != "" {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// largerFactor is how much more of a processor a member must have to count as larger.
const largerFactor = 1.25
