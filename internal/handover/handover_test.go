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

// fakeStore ends leases, or answers with an error.
type fakeStore struct {
	keyvalue.Store
	err   error
	ended []keyvalue.LeaseID
}

func (store *fakeStore) Revoke(_ context.Context, lease keyvalue.LeaseID) error {
	store.ended = append(store.ended, lease)
	return store.err
}

// start serves a process with the given store and returns its address.
func start(t *testing.T, store keyvalue.Store) string {
	t.Helper()
	other := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTeapot) })
	server := httptest.NewServer(&Handler{Next: other, Store: store, Logger: hclog.NewNullLogger()})
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a lease that stays although one process reaches the store, and against a success that is none.
func TestEnd(t *testing.T) {
	tests := []struct {
		name string
		errs []error
		ok   bool
	}{
		{"no process", nil, false},
		{"one that reaches the store", []error{nil}, true},
		{"lease has ended before", []error{keyvalue.ErrNotFound}, true},
		{"one is refused, the other is not", []error{keyvalue.ErrRejected, nil}, true},
		{"all are refused", []error{keyvalue.ErrRejected, keyvalue.ErrNoAnswer}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var peers []string
			for _, err := range test.errs {
				peers = append(peers, start(t, &fakeStore{err: err}))
			}
			client := &Client{Peers: func() []string { return peers }, HTTP: http.DefaultClient}
			if err := client.RevokeLease(t.Context(), 7); (err == nil) != test.ok {
				t.Errorf("End gives %v, want success %t", err, test.ok)
			}
		})
	}
}

// Guards against requests of callers that end leases, and against ones that are not served.
func TestHandler(t *testing.T) {
	tests := []struct {
		name, lease string
		clean       bool
		status      int
		ended       int
	}{
		{"request of a caller", "", false, http.StatusTeapot, 0},
		{"lease of a caller", "7", true, http.StatusTeapot, 0},
		{"malformed lease", "x", false, http.StatusBadRequest, 0},
		{"lease", "7", false, http.StatusNoContent, 1},
	}
	for _, test := range tests {
		store := &fakeStore{}
		request, err := http.NewRequest(http.MethodPost, "http://"+start(t, store)+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(leaseHeader, test.lease)
		if test.clean {
			RemoveLeaseHeader(request.Header)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != test.status || len(store.ended) != test.ended {
			t.Errorf("%s: status %d and %d leases ended, want %d and %d", test.name, response.StatusCode, len(store.ended),
				test.status, test.ended)
		}
	}
}
