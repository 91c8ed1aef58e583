package formerterm

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
)

const (
	testLimit = 16 * time.Second
	testLease = 5 * time.Second
)

// observer is a history with a clock that the test sets.
type observer struct {
	*History
	now time.Duration
}

func newObserver() *observer {
	created := &observer{}
	created.History = &History{
		Clock: func() time.Duration { return created.now }, LeaseLimit: testLimit,
		LeaseEnd: func(ordered, lease time.Duration) time.Duration { return ordered + lease },
	}
	return created
}

func testHolder(token int64) Holder {
	return Holder{
		Name: fmt.Sprintf("vm%d", token), Address: fmt.Sprintf("10.0.0.%d:4", token), Instance: Instance(fmt.Sprint(token)),
		WorkerLeaseMS: testLease.Milliseconds(),
	}
}

// begin is the change that begins the term with a token; its lease is the token too.
func begin(token int64) keyvalue.Change {
	return keyvalue.Change{Item: keyvalue.Item{
		Key: ledger.TermKey, Value: []byte("vm"), Revision: keyvalue.Revision(token), Lease: keyvalue.LeaseID(token),
	}}
}

// identify is the change that identifies the holder of a term.
func identify(token int64) keyvalue.Change {
	return keyvalue.Change{Item: keyvalue.Item{
		Key: ledger.HolderKey, Value: ledger.Encode(testHolder(token)), Revision: keyvalue.Revision(token),
		Lease: keyvalue.LeaseID(token),
	}}
}

// end is the change that ends a term, at a revision.
func end(revision int64) keyvalue.Change {
	return keyvalue.Change{Item: keyvalue.Item{Key: ledger.TermKey, Revision: keyvalue.Revision(revision)}, Deleted: true}
}

// step is what an observer sees at a time.
type step struct {
	at      time.Duration
	changes []keyvalue.Change
	full    bool
	// proves is the token of the term whose holder proves to have sent its last order a second before; 0 if none does.
	proves keyvalue.Revision
}

// TestLeasesEnd guards against leases that are taken for over while they may last, and against waiting for the holders of
// terms that do not matter.
func TestLeasesEnd(t *testing.T) {
	listing := step{at: time.Second, full: true}
	tests := []struct {
		name     string
		steps    []step
		from, to keyvalue.Revision
		want     time.Duration
		known    bool
	}{
		{name: "no listing", steps: []step{{at: time.Second, changes: []keyvalue.Change{begin(10)}}}, to: 10},
		{name: "own term not observed", steps: []step{listing}, to: 10},
		{
			name: "all terms before the listing count", to: 10, known: true, want: time.Second + testLimit,
			steps: []step{listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10)}}},
		},
		{
			name: "term that ended", from: 10, to: 20, known: true, want: 7*time.Second + testLimit,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{identify(10), begin(10)}},
				{at: 7 * time.Second, changes: []keyvalue.Change{end(15)}}, {at: 8 * time.Second, changes: []keyvalue.Change{begin(20)}},
			},
		},
		{
			name: "term whose end was not delivered", from: 10, to: 20, known: true, want: 8*time.Second + testLimit,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10)}},
				{at: 8 * time.Second, changes: []keyvalue.Change{begin(20)}},
			},
		},
		{
			name: "term of a holder that proves its last order", from: 10, to: 20, known: true, want: 8*time.Second + testLease,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10), identify(10)}},
				{at: 7 * time.Second, changes: []keyvalue.Change{end(15), begin(20), identify(20)}},
				{at: 9 * time.Second, proves: 10},
			},
		},
		{
			name: "one of two holders proves its last order", from: 10, to: 30, known: true, want: 4*time.Second + testLimit,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10), identify(10)}},
				{at: 4 * time.Second, changes: []keyvalue.Change{end(15), begin(20), identify(20)}},
				{at: 6 * time.Second, changes: []keyvalue.Change{end(25), begin(30), identify(30)}}, {at: 7 * time.Second, proves: 20},
			},
		},
		{
			name: "term before that of the runs", from: 20, to: 30, known: true, want: 6*time.Second + testLease,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10), identify(10)}},
				{at: 4 * time.Second, changes: []keyvalue.Change{end(15), begin(20), identify(20)}},
				{at: 6 * time.Second, changes: []keyvalue.Change{end(25), begin(30), identify(30)}}, {at: 7 * time.Second, proves: 20},
			},
		},
		{
			name: "listing that has the term", from: 10, to: 20, known: true, want: 4*time.Second + testLease,
			steps: []step{
				{at: time.Second, full: true, changes: []keyvalue.Change{identify(10), begin(10)}},
				{at: 4 * time.Second, changes: []keyvalue.Change{end(15), begin(20)}}, {at: 5 * time.Second, proves: 10},
			},
		},
		{
			name: "term before the one in the listing", from: 9, to: 20, known: true, want: time.Second + testLimit,
			steps: []step{
				{at: time.Second, full: true, changes: []keyvalue.Change{identify(10), begin(10)}},
				{at: 4 * time.Second, changes: []keyvalue.Change{end(15), begin(20)}}, {at: 5 * time.Second, proves: 10},
			},
		},
		{
			name: "second listing with the same term", from: 10, to: 20, known: true, want: 4*time.Second + testLease,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10), identify(10)}},
				{at: 3 * time.Second, full: true, changes: []keyvalue.Change{identify(10), begin(10)}},
				{at: 4 * time.Second, changes: []keyvalue.Change{end(15), begin(20)}}, {at: 5 * time.Second, proves: 10},
			},
		},
		{
			name: "second listing without a term", from: 10, to: 20, known: true, want: 3*time.Second + testLimit,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10), identify(10)}},
				{at: 3 * time.Second, full: true}, {at: 4 * time.Second, changes: []keyvalue.Change{begin(20)}},
				{at: 5 * time.Second, proves: 10},
			},
		},
		{
			name: "change that is delivered again after a listing", from: 10, to: 20, known: true, want: 5*time.Second + testLimit,
			steps: []step{
				{at: 4 * time.Second, full: true, changes: []keyvalue.Change{begin(20)}},
				{at: 5 * time.Second, changes: []keyvalue.Change{begin(10), end(15), begin(20)}},
			},
		},
		{
			name: "holder of an earlier version", from: 10, to: 20, known: true, want: 4*time.Second + testLimit,
			steps: []step{
				listing, {at: 2 * time.Second, changes: []keyvalue.Change{begin(10)}},
				{at: 4 * time.Second, changes: []keyvalue.Change{end(15), begin(20)}},
			},
		},
		{name: "order of terms reversed", from: 20, to: 10, steps: []step{listing, {changes: []keyvalue.Change{begin(10), begin(20)}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			observer := newObserver()
			for _, step := range test.steps {
				observer.now = step.at
				observer.Apply(step.changes, step.full)
				holders, _ := observer.unproven(math.MaxInt64)
				if len(holders) > 0 {
					t.Fatal("holders are asked before the own term is observed")
				}
				if step.proves != 0 {
					holders, _ := observer.unproven(test.to)
					for _, former := range holders {
						if former.token == step.proves {
							observer.prove(former, step.at-time.Second)
						}
					}
				}
			}
			if got, known := observer.LeasesEnd(test.from, test.to); known != test.known || known && got != test.want {
				t.Errorf("leases end at %s, %t, want %s, %t", got, known, test.want, test.known)
			}
		})
	}
}

// TestUnprovableHolders guards against asking for the holder of a term at an address that another term's document names, or
// that no valid document names.
func TestUnprovableHolders(t *testing.T) {
	broken := func(change func(*Holder)) keyvalue.Change {
		holder := testHolder(10)
		change(&holder)
		document := identify(10)
		document.Value = ledger.Encode(holder)
		return document
	}
	unreadable := identify(10)
	unreadable.Value = []byte("vm0")
	withoutLease := identify(10)
	withoutLease.Lease = 0
	tests := map[string][]keyvalue.Change{
		"no document": {begin(10)}, "document of another term": {begin(10), identify(9)}, "unreadable": {unreadable, begin(10)},
		"without a lease": {withoutLease, begin(10)},
		"no instance":     {begin(10), broken(func(holder *Holder) { holder.Instance = "" })},
		"no address":      {begin(10), broken(func(holder *Holder) { holder.Address = "" })},
		"no lease time":   {begin(10), broken(func(holder *Holder) { holder.WorkerLeaseMS = 0 })},
		"odd lease time":  {begin(10), broken(func(holder *Holder) { holder.WorkerLeaseMS = math.MaxInt64 })},
	}
	for name, changes := range tests {
		t.Run(name, func(t *testing.T) {
			observer := newObserver()
			observer.Apply(nil, true)
			observer.Apply(changes, false)
			observer.Apply([]keyvalue.Change{end(15), begin(20), identify(20)}, false)
			if holders, observed := observer.unproven(20); !observed || len(holders) > 0 {
				t.Errorf("holders %v, %t, want none of a term that was observed", holders, observed)
			}
		})
	}
}

// TestManyTerms guards against memory that grows with the changes of the term, and against terms that are forgotten while
// their leases may last.
func TestManyTerms(t *testing.T) {
	observer := newObserver()
	observer.Apply(nil, true)
	last := int64(0)
	for token := int64(10); token < 10+10*maxTerms; token++ {
		observer.now += time.Millisecond
		observer.Apply([]keyvalue.Change{begin(token)}, false)
		last = token
	}
	if len(observer.terms) > maxTerms {
		t.Errorf("%d terms are kept, want at most %d", len(observer.terms), maxTerms)
	}
	if until, _ := observer.LeasesEnd(10, keyvalue.Revision(last)); until < observer.now-time.Millisecond+testLimit {
		t.Errorf("leases end at %s, want %s", until, observer.now-time.Millisecond+testLimit)
	}
	observer.now += time.Hour
	observer.Apply([]keyvalue.Change{begin(last + 1)}, false)
	if len(observer.terms) > 2 {
		t.Errorf("%d terms are kept after an hour, want the latest one and the one before", len(observer.terms))
	}
}

// TestNoTermIsMissed guards against leases that are taken for over although the holder of a term that the process has not
// seen, or not seen in order, may still extend them. Terms begin and end at random, and the process sees them late and with
// gaps.
func TestNoTermIsMissed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observer := newObserver()
		type realTerm struct{ began, ended time.Duration }
		actual := map[int64]*realTerm{}
		var changes []keyvalue.Change
		revision, current, delivered := int64(0), int64(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			observer.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
			revision++
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action <= 1 && current == 0:
				current = revision
				actual[current] = &realTerm{began: observer.now, ended: -1}
				changes = append(changes, begin(current), identify(current))
			case action <= 1:
				actual[current].ended = observer.now
				current = 0
				changes = append(changes, end(revision))
			case action == 2:
				count := rapid.IntRange(delivered, len(changes)).Draw(t, "delivered")
				observer.Apply(changes[delivered:count], false)
				delivered = count
			default:
				// The watch after a listing may begin at an earlier revision.
				var listed []keyvalue.Change
				if current != 0 {
					listed = []keyvalue.Change{identify(current), begin(current)}
				}
				observer.Apply(listed, true)
				delivered = max(delivered, len(changes)-rapid.IntRange(0, 3).Draw(t, "repeated"))
			}
			for to := range actual {
				from := rapid.Int64Range(0, to).Draw(t, "from")
				until, known := observer.LeasesEnd(keyvalue.Revision(from), keyvalue.Revision(to))
				for token, term := range actual {
					if !known || token < from || token >= to {
						continue
					}
					if last := term.ended + testLimit; last > observer.now && until < last {
						t.Fatalf("leases of terms %d to %d end at %s, but those of term %d last until %s", from, to, until, token, last)
					}
				}
			}
		}
	})
}
