// Package roster keeps the list of running entry processes in the platform's store. Each process registers itself with
// a member record under a lease that it renews.
package roster

import (
	"context"
	"net"
	"strconv"
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

// Member is the member record of an entry process.
type Member struct {
	Name       string             `json:"name"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	// Address is the address at which the process serves requests that other processes relay.
	Address string `json:"address"`
	// ProcessorCores is the number of processor cores that the process may use; it may be a fraction.
	ProcessorCores float64 `json:"processor"`
}

// maxProcessorCores limits the processor cores of a member.
const maxProcessorCores = 1 << 16

// check returns an error unless the record is one that the process with a name can have written.
func (member Member) check(name string) error {
	if member.Name != name {
		return errors.Errorf("the record is that of member %.64q", member.Name)
	}
	if !(member.ProcessorCores > 0 && member.ProcessorCores <= maxProcessorCores) {
		return errors.Errorf("processor: %v is not above 0 and at most %d", member.ProcessorCores, maxProcessorCores)
	}
	if member.Address == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(member.Address)
	if _, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil ||
		strings.ContainsAny(host, " /?#@") {
		return errors.Errorf("address: %.60q is not a host with a port", member.Address)
	}
	return nil
}

// Roster registers this process in the store and lists all registered processes. Its exported fields are set before
// Run.
type Roster struct {
	Store keyvalue.Store
	Self  Member
	// TTL is the time to live of the member record's lease. After a crash of the process, the record remains for at
	// most this time.
	TTL    time.Duration
	Clock  func() time.Duration
	Logger hclog.Logger

	mu      sync.Mutex
	members map[string]entry
	// invalid are the member records that cannot be used; nil before the first changes are applied.
	invalid *keyvalue.InvalidItems
}

// entry is a member with the local time at which it was first listed.
type entry struct {
	Member
	firstListed time.Duration
}

const (
	// callTimeout limits one call to the store.
	callTimeout = 600 * time.Millisecond
	// retryPause is the delay between attempts while the store does not respond.
	retryPause = 500 * time.Millisecond
	// renewalsPerTTL is the number of lease renewals within the time to live.
	renewalsPerTTL = 3
)

// Run keeps the process registered until ctx ends, and then deregisters it.
func (roster *Roster) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := roster.register(ctx)
		if err != nil {
			roster.Logger.Info("process could not be registered; retrying", "error", err.Error())
			_ = lifecycle.Sleep(ctx, retryPause)
			continue
		}
		roster.renew(ctx, lease)
		if ctx.Err() != nil {
			roster.deregister(ctx, lease)
		}
	}
	return ctx.Err()
}

func (roster *Roster) register(ctx context.Context) (keyvalue.LeaseID, error) {
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

// renew renews the lease of the member record until the lease has expired or ctx ends.
func (roster *Roster) renew(ctx context.Context, lease keyvalue.LeaseID) {
	pause := roster.TTL / renewalsPerTTL
	for lifecycle.Sleep(ctx, pause) == nil {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		err := roster.Store.KeepAlive(bounded, lease)
		cancel()
		if errors.Is(err, keyvalue.ErrNotFound) {
			roster.Logger.Info("lease of the member record expired; registering again")
			return
		}
		pause = roster.TTL / renewalsPerTTL
		if err != nil {
			pause = retryPause
		}
	}
}

func (roster *Roster) deregister(ctx context.Context, lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := roster.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		roster.Logger.Info("member record could not be deleted; its lease will expire", "error", err.Error())
	}
}

// Apply applies changes from a mirror that covers the member records and skips other keys. If full is set, the changes
// contain all existing keys, and members that are missing from them are removed.
func (roster *Roster) Apply(changes []keyvalue.Change, full bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.invalid == nil {
		roster.invalid = keyvalue.NewInvalidItems(
			roster.Logger, hclog.Error, "unreadable member record", "member record is valid again")
	}
	if full {
		roster.invalid.RemoveOthers(changes)
	}
	previous := roster.members
	if roster.members == nil || full {
		roster.members = map[string]entry{}
	}
	for _, change := range changes {
		name, ok := strings.CutPrefix(change.Key, ledger.MemberPrefix)
		if !ok {
			continue
		}
		if change.Deleted {
			roster.invalid.Remove(change.Key)
			delete(roster.members, name)
			continue
		}
		member, err := ledger.Decode[Member](change.Item)
		if err == nil {
			err = member.check(name)
		}
		if err != nil {
			delete(roster.members, name)
			roster.invalid.Reject(change.Key, err)
			continue
		}
		roster.invalid.Accept(change.Key)
		firstListed := roster.Clock()
		if known, ok := previous[name]; ok {
			firstListed = known.firstListed
		}
		roster.members[name] = entry{Member: member, firstListed: firstListed}
	}
}

// HasLargerMember reports whether another member has more than largerFactor times the processor cores of this process
// and has been listed for at least minAge.
func (roster *Roster) HasLargerMember(minAge time.Duration) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	now := roster.Clock()
	for _, member := range roster.members {
		if member.ProcessorCores > largerFactor*roster.Self.ProcessorCores && now-member.firstListed >= minAge {
			return true
		}
	}
	return false
}

// Member returns the member with a name, or false if it is not listed.
func (roster *Roster) Member(name string) (Member, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	member, ok := roster.members[name]
	return member.Member, ok
}

// PeerAddresses returns the addresses of all other members, except members without an address.
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

// largerFactor is the ratio that the processor cores of another member to those of this process must exceed for the
// member to count as larger.
const largerFactor = 1.25
