// Package formerterm tells a new controller when the leases that former controllers have granted are over. Each process
// observes in the store which processes have held the term. A process that takes the term asks the former holders, over the
// peer interface, whether they have ceased to send orders.
package formerterm

import (
	"cmp"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/term"
)

// Instance identifies one life of a process. It is random.
type Instance string

// Holder is the document in which the holder of a term identifies itself. It is written with the term's key, under the same
// lease.
type Holder struct {
	// Name is the name of the VM, and Address the peer address of the process.
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Instance Instance `json:"instance"`
	// WorkerLeaseMS is the longest lease that the holder's orders grant, in milliseconds on the worker's clock.
	WorkerLeaseMS int64 `json:"worker_lease_ms"`
}

// maxWorkerLease limits the lease in a document.
const maxWorkerLease = time.Minute

func (holder Holder) check() error {
	if holder.Name == "" || holder.Instance == "" {
		return errors.New("name or instance is missing")
	}
	if _, _, err := net.SplitHostPort(holder.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	if holder.WorkerLeaseMS <= 0 || holder.WorkerLeaseMS > maxWorkerLease.Milliseconds() {
		return errors.Errorf("worker_lease_ms: %d is not above 0 and at most %d", holder.WorkerLeaseMS,
			maxWorkerLease.Milliseconds())
	}
	return nil
}

func (holder Holder) workerLease() time.Duration {
	return time.Duration(holder.WorkerLeaseMS) * time.Millisecond
}

// History is what this process has observed of the terms. Its exported fields are set before the first call.
type History struct {
	Clock term.Clock
	// LeaseLimit is the longest time for which leases that the holder of a term granted can last after the end of the term,
	// whatever became of the holder.
	LeaseLimit time.Duration
	// LeaseEnd returns the time by which a lease has ended that was granted by an order of the given time.
	LeaseEnd func(ordered, lease time.Duration) time.Duration

	mu sync.Mutex
	// terms are the observed terms whose leases may still last, and the latest one, in ascending order of their tokens.
	terms []observedTerm
	// observedFrom is the lowest token from which on all terms have been observed; 0 if it is not known yet. Terms with lower
	// tokens that are not among terms have ended by unobservedUntil. Both are valid if synced is set.
	observedFrom    keyvalue.Revision
	unobservedUntil time.Duration
	synced          bool
	// joined is set if a process held the term in the listing before which terms may be unobserved.
	joined bool
	// unpaired is the latest document of a holder whose term has not been observed yet.
	unpaired pairing
}

// pairing is the document of a holder with the lease under which it was written. The holder is not known if the document is
// missing or invalid.
type pairing struct {
	lease  keyvalue.LeaseID
	holder Holder
	known  bool
}

type observedTerm struct {
	token keyvalue.Revision
	pairing
	// endedBy is a time at which the term had certainly ended. It is valid if ended is set.
	endedBy time.Duration
	ended   bool
	// leasesEnd is the time by which the holder's leases have ended, as it has been proven. It is valid if proven is set.
	leasesEnd time.Duration
	proven    bool
}

// maxTerms limits the observed terms.
const maxTerms = 64

// Apply applies changes from a mirror that covers the term's keys, and skips other keys. If full is set, the changes have
// every existing key.
func (history *History) Apply(changes []keyvalue.Change, full bool) {
	history.mu.Lock()
	defer history.mu.Unlock()
	if full {
		history.observeListing(changes)
	}
	for _, change := range changes {
		switch change.Key {
		case ledger.HolderKey:
			if !change.Deleted {
				history.identify(change.Item)
			}
		case ledger.TermKey:
			history.observe(change)
		}
	}
}

// observeListing handles what a listing shows that the changes before it have not shown. Terms may have begun and ended
// unobserved before a listing, unless it has the same term as was last observed.
func (history *History) observeListing(changes []keyvalue.Change) {
	listed := keyvalue.Revision(0)
	for _, change := range changes {
		if change.Key == ledger.TermKey {
			listed = change.Revision
		}
	}
	latest := len(history.terms) - 1
	if history.synced && latest >= 0 && !history.terms[latest].ended && history.terms[latest].token == listed {
		return
	}
	history.synced, history.unobservedUntil, history.observedFrom = true, history.Clock(), listed
	history.joined = listed != 0
	for i := range history.terms {
		if history.terms[i].token != listed {
			history.end(i)
		}
	}
}

// observe handles the beginning or the end of a term.
func (history *History) observe(change keyvalue.Change) {
	if !change.Deleted {
		history.insert(change.Item)
	}
	for i, known := range history.terms {
		if known.token < change.Revision {
			history.end(i)
		}
	}
	if count := len(history.terms); count > 0 && !change.Deleted {
		// A change may be delivered again after later ones.
		for i := range count - 1 {
			history.end(i)
		}
	}
}

func (history *History) insert(item keyvalue.Item) {
	at, found := slices.BinarySearchFunc(history.terms, item.Revision, func(known observedTerm, token keyvalue.Revision) int {
		return cmp.Compare(known.token, token)
	})
	if found {
		return
	}
	begun := observedTerm{token: item.Revision, pairing: pairing{lease: item.Lease}}
	if item.Lease != 0 && history.unpaired.lease == item.Lease {
		begun.pairing = history.unpaired
	}
	history.terms = slices.Insert(history.terms, at, begun)
	if history.observedFrom == 0 {
		history.observedFrom = item.Revision
	}
	history.prune()
}

// prune forgets terms whose leases are over, and the oldest terms if there are too many.
func (history *History) prune() {
	now := history.Clock()
	history.terms = slices.DeleteFunc(history.terms, func(known observedTerm) bool {
		return known.ended && now > known.endedBy+history.LeaseLimit
	})
	for len(history.terms) > maxTerms {
		history.end(0)
		history.unobservedUntil = max(history.unobservedUntil, history.terms[0].endedBy)
		history.terms = slices.Delete(history.terms, 0, 1)
		history.observedFrom = max(history.observedFrom, history.terms[0].token)
	}
}

func (history *History) end(i int) {
	if known := &history.terms[i]; !known.ended {
		known.ended, known.endedBy = true, history.Clock()
	}
}

// identify takes note of who holds a term. The document and the term's key have the same lease.
func (history *History) identify(item keyvalue.Item) {
	holder, err := ledger.Decode[Holder](item)
	if err == nil {
		err = holder.check()
	}
	found := pairing{lease: item.Lease, holder: holder, known: err == nil && item.Lease != 0}
	for i := range history.terms {
		if history.terms[i].lease == item.Lease && item.Lease != 0 {
			history.terms[i].pairing = found
			return
		}
	}
	history.unpaired = found
}

// LeasesEnd returns the time by which all leases have ended that were granted in the terms from one token up to, but not
// including, a later one. It returns false if this process has not observed the latter term yet.
func (history *History) LeasesEnd(from, to keyvalue.Revision) (time.Duration, bool) {
	history.mu.Lock()
	defer history.mu.Unlock()
	if from >= to || !history.observed(to) {
		return 0, false
	}
	latest := time.Duration(math.MinInt64)
	if history.observedFrom == 0 || from < history.observedFrom {
		latest = history.unobservedUntil + history.LeaseLimit
	}
	for _, known := range history.terms {
		if known.token >= from && known.token < to {
			latest = max(latest, history.leasesEnd(known))
		}
	}
	return latest, true
}

// KnowsLess reports whether other processes probably know more of the former terms: this process has begun to observe them
// within LeaseLimit, while a process held the term.
func (history *History) KnowsLess() bool {
	history.mu.Lock()
	defer history.mu.Unlock()
	return history.joined && history.Clock() < history.unobservedUntil+history.LeaseLimit
}

func (history *History) observed(token keyvalue.Revision) bool {
	return history.synced && slices.ContainsFunc(history.terms, func(known observedTerm) bool { return known.token == token })
}

func (history *History) leasesEnd(known observedTerm) time.Duration {
	end := known.endedBy + history.LeaseLimit
	if known.proven {
		end = min(end, known.leasesEnd)
	}
	return end
}

// former is the holder of a former term.
type former struct {
	token  keyvalue.Revision
	holder Holder
}

// unproven returns the holders of the terms before the one with the token that are not known to have ceased to send orders,
// while their leases may last. It reports false if this process has not observed the term yet.
func (history *History) unproven(token keyvalue.Revision) ([]former, bool) {
	history.mu.Lock()
	defer history.mu.Unlock()
	if !history.observed(token) {
		return nil, false
	}
	now := history.Clock()
	var holders []former
	for _, known := range history.terms {
		if known.token < token && known.known && !known.proven && now < history.leasesEnd(known) {
			holders = append(holders, former{token: known.token, holder: known.holder})
		}
	}
	return holders, true
}

// prove records that the holder of a former term has computed no deadline of an order later than at the given time.
func (history *History) prove(proven former, lastOrder time.Duration) {
	history.mu.Lock()
	defer history.mu.Unlock()
	for i := range history.terms {
		if known := &history.terms[i]; known.token == proven.token {
			known.proven, known.leasesEnd = true, history.LeaseEnd(lastOrder, proven.holder.workerLease())
		}
	}
}
