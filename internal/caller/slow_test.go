package caller_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/caller"
	"github.com/quetzalstall/quetzalstall/internal/standin/network"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Guards against a caller that sends its message slowly and so occupies one of the MaxConcurrent calls: the read
// timeout of 10 s must end the call.
func TestSlowMessageIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configs := fixedConfig{&profile.Config{Organisations: map[fleet.OrganisationID]*profile.Organisation{
			"reed": {ID: "reed", TokenHashes: []string{hashOfToken(benchToken)}},
		}}}
		path, handler := (&caller.Server{Configs: configs}).Handler()
		memory := network.New()
		server := transport.NewServer(handler, nil)
		listener := memory.Listen("entry:80")
		go func() { _ = server.Serve(listener) }()
		client := transport.NewHTTPClientWithDial(nil, memory.Dial)
		defer func() { client.CloseIdleConnections(); _ = server.Close() }()
		body, sending := io.Pipe()
		defer func() { _ = sending.Close() }()
		go func() { _, _ = sending.Write([]byte(`{"profile": `)) }()
		request, err := http.NewRequestWithContext(
			context.Background(), http.MethodPost, "http://entry"+path+"Call", body)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Authorization", "Bearer "+benchToken)
		started := time.Now()
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if took := time.Since(started); response.StatusCode != http.StatusBadRequest || took > 11*time.Second {
			t.Errorf("got status %d after %v, want 400 within 11 s", response.StatusCode, took)
		}
	})
}
