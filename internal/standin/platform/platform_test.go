package platform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	client "github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/standin/network"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
)

// Guards against a stand-in that keeps a key after its lease has expired, or removes a key when the lease of an earlier
// write expires although a later write has renewed it.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, memory := standin.New(), network.New()
		server := transport.NewServer(platform.Handler(), nil)
		listener := memory.Listen("platform:80")
		go func() { _ = server.Serve(listener) }()
		http := transport.NewHTTPClientWithDial(nil, memory.Dial)
		t.Cleanup(func() {
			http.CloseIdleConnections()
			_ = server.Close()
		})
		store := platformv1connect.NewStoreServiceClient(http, "http://platform")
		swap := func(expected int64) int64 {
			response, err := store.Swap(context.Background(), connect.NewRequest(&platformv1.SwapRequest{
				Key: "k", Value: []byte("v"), ExpectedRevision: expected, LeaseMs: 1000}))
			if err != nil || !response.Msg.GetSwapped() {
				t.Fatalf("Swap: %v, %v", response, err)
			}
			return response.Msg.GetRevision()
		}
		exists := func() bool {
			response, err := store.Get(context.Background(), connect.NewRequest(&platformv1.GetRequest{Key: "k"}))
			return err == nil && response.Msg.GetEntry() != nil
		}
		revision := swap(0)
		time.Sleep(600 * time.Millisecond)
		swap(revision)
		time.Sleep(600 * time.Millisecond)
		if !exists() {
			t.Error("key does not exist although its lease was renewed")
		}
		time.Sleep(600 * time.Millisecond)
		if exists() {
			t.Error("key still exists after its lease expired")
		}
	})
}

// Guards against a stand-in that admits more calls in a second than its rate limit, or does not admit calls again in
// the next second.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.New()
		platform.ReadsPerSecond = 10
		store := standin.NewDirect(platform)
		for second := range 3 {
			refused := 0
			for range 15 {
				if _, err := store.Get(context.Background(), "k"); errors.Is(err, client.ErrUnavailable) {
					refused++
				}
			}
			if refused != 5 || platform.Calls().Refused != 5*(second+1) {
				t.Errorf("%d of 15 reads refused, %v; want 5 a second", refused, platform.Calls())
			}
			time.Sleep(time.Second)
		}
	})
}
