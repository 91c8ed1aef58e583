package transport_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/standin/network"
	"github.com/quetzalstall/quetzalstall/internal/transport"
)

// Guards against requests that hang on a connection that no longer delivers data but was not closed: pings must detect
// such a connection within 5 s, and later requests must use a new connection.
func TestSilentConnectionIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := network.New()
		release := make(chan struct{})
		server := transport.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/wait" {
				select {
				case <-release:
				case <-request.Context().Done():
				}
			}
			writer.WriteHeader(http.StatusNoContent)
		}), nil)
		listener := memory.Listen("peer:80")
		go func() { _ = server.Serve(listener) }()
		client := transport.NewHTTPClientWithDial(nil, memory.Dial)
		defer client.CloseIdleConnections()
		defer func() { _ = server.Close() }()
		defer close(release)

		get(t, client, "/")
		get(t, client, "/")
		if memory.Dials() != 1 {
			t.Fatalf("%d connections for two requests, want 1", memory.Dials())
		}
		failed := make(chan time.Duration)
		started := time.Now()
		go func() {
			response, err := client.Get("http://peer/wait")
			if err == nil {
				_ = response.Body.Close()
				t.Error("request on a silent connection got a response")
			}
			failed <- time.Since(started)
		}()
		synctest.Wait()
		memory.Silence()
		if took := <-failed; took > 5*time.Second {
			t.Errorf("silent connection detected after %v, want at most 5 s", took)
		}
		get(t, client, "/")
		if memory.Dials() != 2 {
			t.Errorf("%d connections opened, want 2: the silent one and its replacement", memory.Dials())
		}
	})
}

func get(t *testing.T, client *http.Client, path string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://peer"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.ProtoMajor != 2 {
		t.Errorf("response over %s, want HTTP/2", response.Proto)
	}
}
