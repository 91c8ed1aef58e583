package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/workerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// TestClientOverHTTP2 guards against a client and a worker handler that encode requests and responses differently, and
// against requests that fall back from unencrypted HTTP/2 to HTTP/1.
func TestClientOverHTTP2(t *testing.T) {
	machine := fleet.Worker{ID: "w", Cores: 4, Memory: 1 << 30, Accelerators: 8}
	worker := standin.New(machine, standin.NewRecord(), standin.Settings{ClockOffset: time.Hour})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	versions := make(chan int, 8)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		versions <- request.ProtoMajor
		worker.Handler().ServeHTTP(writer, request)
	}))
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	client := transport.NewHTTPClient(nil)
	defer client.CloseIdleConnections()
	remote := NewClient(client, server.URL)
	ctx := context.Background()

	granted, err := remote.Reserve(ctx, &workerv1.ReserveRequest{
		LeaseId: "a", Accelerators: 6, TtlMs: 60_000, Label: &workerv1.LeaseLabel{JobId: "j"},
	})
	if err != nil || !granted.Granted {
		t.Fatalf("reserve: %v, %v", granted, err)
	}
	refused, err := remote.Reserve(ctx, &workerv1.ReserveRequest{LeaseId: "b", Accelerators: 3, TtlMs: 60_000})
	if err != nil || refused.Refusal != "busy" {
		t.Errorf("reserve with too few free accelerators: %v, %v, want refusal busy", refused, err)
	}
	late, err := remote.Start(ctx, &workerv1.StartRequest{LeaseId: "a", ExpiresWorkerMs: 1})
	if err != nil || late.Refusal != "expired" {
		t.Errorf("start after its expiry: %v, %v, want refusal expired", late, err)
	}
	state, err := remote.Sync(ctx, &workerv1.SyncRequest{})
	if err != nil || state.FreeAccelerators != 2 || len(state.Leases) != 1 || state.Leases[0].Label.JobId != "j" {
		t.Errorf("sync: %v, %v, want one labelled lease and 2 free accelerators", state, err)
	}
	for range 4 {
		if version := <-versions; version != 2 {
			t.Errorf("request over HTTP/%d, want 2", version)
		}
	}
}
