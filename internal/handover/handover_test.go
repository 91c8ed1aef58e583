package handover

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
)

// fakeStore records the leases that it is asked to revoke and returns err.
type fakeStore struct {
	keyvalue.Store
	err     error
	revoked []keyvalue.LeaseID
}

func (store *fakeStore) Revoke(_ context.Context, lease keyvalue.LeaseID) error {
	store.revoked = append(store.revoked, lease)
	return store.err
}

// serve starts a process with the given store and returns its address.
func serve(t *testing.T, store keyvalue.Store) string {
	t.Helper()
	other := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusTeapot)
	})
	server := httptest.NewServer(&Handler{Next: other, Store: store, Logger: hclog.NewNullLogger()})
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestRevokeLease guards against keeping a lease although one of the peers can revoke it, and against reporting success
// although no peer revoked it.
func TestRevokeLease(t *testing.T) {
	tests := []struct {
		name string
		errs []error
		ok   bool
	}{
		{"no peer", nil, false},
		{"peer reaches the store", []error{nil}, true},
		{"lease has already ended", []error{keyvalue.ErrNotFound}, true},
		{"store refuses one of two peers", []error{keyvalue.ErrRejected, nil}, true},
		{"store refuses all peers", []error{keyvalue.ErrRejected, keyvalue.ErrNoAnswer}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var peers []string
			for _, err := range test.errs {
				peers = append(peers, serve(t, &fakeStore{err: err}))
			}
			client := &Client{Peers: func() []string { return peers }, HTTP: http.DefaultClient}
			if err := client.RevokeLease(t.Context(), 7); (err == nil) != test.ok {
				t.Errorf("RevokeLease returns %v, want success %t", err, test.ok)
			}
		})
	}
}

// TestHandler guards against a caller that revokes a lease by sending the lease header, and against requests of callers
// that the handler does not pass to the next handler.
func TestHandler(t *testing.T) {
	tests := []struct {
		name, lease   string
		headerRemoved bool
		status        int
		revoked       int
	}{
		{"request of a caller without the header", "", false, http.StatusTeapot, 0},
		{"request of a caller with the header", "7", true, http.StatusTeapot, 0},
		{"malformed lease", "x", false, http.StatusBadRequest, 0},
		{"request of a process", "7", false, http.StatusNoContent, 1},
	}
	for _, test := range tests {
		store := &fakeStore{}
		request, err := http.NewRequest(http.MethodPost, "http://"+serve(t, store)+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(leaseHeader, test.lease)
		if test.headerRemoved {
			RemoveLeaseHeader(request.Header)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != test.status || len(store.revoked) != test.revoked {
			t.Errorf("%s: status %d and %d leases revoked, want %d and %d", test.name,
				response.StatusCode, len(store.revoked), test.status, test.revoked)
		}
	}
}
