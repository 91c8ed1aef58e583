package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/catalog"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
)

// countingStore counts the transactions, each of which it applies.
type countingStore struct {
	keyvalue.Store
	commits int
}

func (store *countingStore) Commit(context.Context, keyvalue.Txn) (keyvalue.Revision, error) {
	store.commits++
	return keyvalue.Revision(10 + store.commits), nil
}

// noConfiguration has no configuration yet.
type noConfiguration struct{ ConfigurationSource }

func (noConfiguration) Current() (Configuration, bool) { return Configuration{}, false }

// copyOfAge is a copy of the statuses and tombstones with an age.
type copyOfAge struct {
	StatusSource
	age time.Duration
}

func (copied copyOfAge) Age() time.Duration { return copied.age }

// TestTombstoneFromAnOldCopy guards against a cancellation that is answered by an old copy of the tombstones. The tombstone may
// have been removed since, and the job could then be stored after its cancellation was answered.
func TestTombstoneFromAnOldCopy(t *testing.T) {
	tests := []struct {
		name    string
		known   bool
		age     time.Duration
		commits int
	}{
		{"not known", false, 0, 1},
		{"known", true, time.Second, 0},
		{"known from an old copy", true, time.Minute, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := &countingStore{}
			gateway := &Gateway{
				Store: store, Configuration: noConfiguration{}, Statuses: ledger.NewStatusCache(hclog.NewNullLogger()),
				Tombstones:   ledger.NewTombstoneCache(hclog.NewNullLogger()),
				StatusSource: copyOfAge{age: test.age},
			}
			admitted := admission{job: "j", organisation: "o", profile: catalog.Profile{Name: "p"}}
			if test.known {
				gateway.Tombstones.Add(tombstoneKey("o", "p", "j"), 1)
			}
			cancellation := cancellation{gateway: gateway, admitted: admitted}
			if err := cancellation.storeTombstone(t.Context()); fault.FromError(err) != errNoSuchJob {
				t.Errorf("the cancellation is answered with %v, want %v", err, errNoSuchJob)
			}
			if store.commits != test.commits {
				t.Errorf("%d tombstones are stored, want %d", store.commits, test.commits)
			}
		})
	}
}
