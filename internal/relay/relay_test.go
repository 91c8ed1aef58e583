package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
)

// peer is how another process answers; status 0 is no answer, and -1 is no connection.
type peer int

// peers stands in for the network: it answers by the address of each process and counts the tries.
type peers struct {
	answers map[string]peer
	tries   int
	bodies  []string
}

func (peers *peers) RoundTrip(request *http.Request) (*http.Response, error) {
	peers.tries++
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	peers.bodies = append(peers.bodies, string(body))
	switch answer := peers.answers[request.URL.Host]; answer {
	case -1:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case 0:
		return nil, errors.New("the connection ended")
	default:
		recorded := httptest.NewRecorder()
		recorded.WriteHeader(int(answer))
		return recorded.Result(), nil
	}
}

func newTestRelay(peers *peers, lost bool) *Relay {
	return &Relay{
		Local: http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
			body, _ := io.ReadAll(call.Body)
			writer.WriteHeader(http.StatusTeapot)
			_, _ = writer.Write(body)
		}),
		Lost: func() bool { return lost },
		Peers: func() []string {
			var addresses []string
			for address := range peers.answers {
				addresses = append(addresses, address)
			}
			return addresses
		},
		BodyLimit: func() int64 { return 10 }, Client: &http.Client{Transport: peers},
		Logger: hclog.NewNullLogger(), Metrics: gometrics.NewRegistry(),
	}
}

func ask(relay *Relay, body string) (int, string) {
	recorded := httptest.NewRecorder()
	relay.ServeHTTP(recorded, httptest.NewRequest(http.MethodPost, "/p/1", strings.NewReader(body)))
	return recorded.Code, recorded.Body.String()
}

// TestRelay guards what a caller is told while the process does not reach the store: an answer of a process that does,
// this process's own only if nobody else can have carried the request out. The request is passed on unchanged.
func TestRelay(t *testing.T) {
	const here = http.StatusTeapot
	tests := []struct {
		name   string
		lost   bool
		peers  map[string]peer
		body   string
		status int
		tries  int
	}{
		{"the store is reached", false, map[string]peer{"a": 200}, "job", here, 0},
		{"another process serves", true, map[string]peer{"a": 200}, "job", 200, 1},
		{"an answer that settles is passed on", true, map[string]peer{"a": 401}, "job", 401, 1},
		{"nobody else is known", true, nil, "job", here, 0},
		{"all refuse", true, map[string]peer{"a": 503, "b": 429}, "job", here, 2},
		{"nobody can be reached", true, map[string]peer{"a": -1, "b": -1}, "job", here, 2},
		{"an answer is lost", true, map[string]peer{"a": 0}, "job", http.StatusGatewayTimeout, 1},
		{"an answer is lost, another refuses", true, map[string]peer{"a": 0, "b": 503}, "job", http.StatusGatewayTimeout, 2},
		{"not more than a few are tried", true, map[string]peer{"a": -1, "b": -1, "c": -1, "d": -1, "e": -1}, "job", here, mostTries},
		{"a long body stays here", true, map[string]peer{"a": 200}, "longer than ten", here, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := &peers{answers: test.peers}
			status, body := ask(newTestRelay(peers, test.lost), test.body)
			if status != test.status || peers.tries != test.tries {
				t.Errorf("status %d after %d tries, want %d after %d", status, peers.tries, test.status, test.tries)
			}
			if status == here && body != test.body {
				t.Errorf("this process got %q", body)
			}
			for _, passed := range peers.bodies {
				if passed != test.body {
					t.Errorf("another process got %q", passed)
				}
			}
		})
	}
}

// TestRelayKeepsOneProcess guards callers against views that alternate between processes, and a process that does not
// serve against being tried for every request.
func TestRelayKeepsOneProcess(t *testing.T) {
	peers := &peers{answers: map[string]peer{"a": 200, "b": -1, "c": -1, "d": -1}}
	relay := newTestRelay(peers, true)
	for range 20 {
		if status, _ := ask(relay, "job"); status == 200 {
			break
		}
	}
	peers.tries = 0
	for range 10 {
		if status, _ := ask(relay, "job"); status != 200 {
			t.Errorf("status %d though a process serves", status)
		}
	}
	if peers.tries != 10 {
		t.Errorf("%d tries for 10 requests", peers.tries)
	}
}

// TestPeerHandler guards against requests that go round among processes none of which reaches the store.
func TestPeerHandler(t *testing.T) {
	for _, lost := range []bool{false, true} {
		served := false
		local := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true })
		recorded := httptest.NewRecorder()
		NewPeerHandler(local, func() bool { return lost }).ServeHTTP(recorded, httptest.NewRequest(http.MethodGet, "/", nil))
		if served == lost || (recorded.Code == http.StatusServiceUnavailable) != lost {
			t.Errorf("lost %t: served %t with %d", lost, served, recorded.Code)
		}
	}
}
