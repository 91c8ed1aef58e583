package formerterm

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/internal/term"
)

func revision(token int64) keyvalue.Revision { return keyvalue.Revision(token) }

// TestProver guards against a proof that is not found, and against one by a process that proves nothing.
func TestProver(t *testing.T) {
	answer := func(status Status) http.Handler {
		next := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTeapot) })
		return &Handler{Next: next, Status: func() Status { return status }}
	}
	tests := []struct {
		name    string
		handler http.Handler
		own     Instance
		proven  bool
	}{
		{"restarted process", answer(Status{Name: "vm10", Instance: "new", Phase: term.Idle}), "me", true},
		{"other VM", answer(Status{Name: "vm11", Instance: "new", Phase: term.Idle}), "me", false},
		{"process of an earlier version", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("{}"))
		}), "me", false},
		{"refusal", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}), "me", false},
		{"no answer", http.HandlerFunc(func(_ http.ResponseWriter, call *http.Request) { <-call.Context().Done() }), "me", false},
		{"this process itself", http.NotFoundHandler(), "10", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			observer := newObserver()
			holder := testHolder(10)
			holder.Address = strings.TrimPrefix(server.URL, "http://")
			document := identify(10)
			document.Value = ledger.Encode(holder)
			observer.Apply(nil, true)
			observer.Apply([]keyvalue.Change{begin(10), document, end(15), begin(20), identify(20)}, false)
			prover := &Prover{
				History: observer.History, HTTP: server.Client(), Logger: hclog.NewNullLogger(),
				Status: func() Status { return Status{Name: "vm10", Instance: test.own, Phase: term.Leading, Token: 20} },
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*askTimeout)
			defer cancel()
			prover.Run(ctx, 20)
			until, known := observer.LeasesEnd(10, 20)
			if proven := until == testLease; !known || proven != test.proven {
				t.Errorf("leases end at %s, %t, want proven %t", until, known, test.proven)
			}
		})
	}
}

// TestProverEnds guards against a prover that asks for longer than leases may last.
func TestProverEnds(t *testing.T) {
	observer := newObserver()
	observer.Apply(nil, true)
	observer.Apply([]keyvalue.Change{begin(10), identify(10), end(15), begin(20)}, false)
	observer.now = testLimit
	prover := &Prover{History: observer.History, Status: func() Status { return Status{} }, Logger: hclog.NewNullLogger()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		prover.Run(t.Context(), 20)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("the prover asks although all leases are over")
	}
}

// TestHandlerPassesOtherRequests guards against requests of callers that are answered with the status.
func TestHandlerPassesOtherRequests(t *testing.T) {
	next := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusTeapot) })
	handler := &Handler{Next: next, Status: func() Status { return Status{} }}
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set(statusHeader, "1")
	RemoveStatusHeader(request.Header)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if recorder.Code != http.StatusTeapot {
		t.Errorf("status %d, want %d", recorder.Code, http.StatusTeapot)
	}
}
