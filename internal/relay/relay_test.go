package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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
	// revision is that of the configuration of the processes.
	revision int64
	answers  map[string]peer
	tries    int
	bodies   []string
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
		recorded.Header().Set(revisionHeader, strconv.FormatInt(peers.revision, 10))
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
		StoreLost: func() bool { return lost },
		Peers: func() []string {
			var addresses []string
			for address := range peers.answers {
				addresses = append(addresses, address)
			}
			return addresses
		},
		ConfigRevision: func() int64 { return 0 },
		BodyLimit:      func() int64 { return 10 }, Client: &http.Client{Transport: peers},
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

// TestConfigurationNeverGoesBack guards callers against a configuration that goes back: once a relayed request was
// handled by a newer one, this process does not serve by its own older one, whether it reaches the store again or nobody
// else serves.
func TestConfigurationNeverGoesBack(t *testing.T) {
	peers := &peers{answers: map[string]peer{"a": 200}, revision: 37}
	lost, own := true, int64(20)
	relay := newTestRelay(peers, true)
	relay.StoreLost, relay.ConfigRevision = func() bool { return lost }, func() int64 { return own }
	steps := []struct {
		name   string
		change func()
		status int
	}{
		{"served elsewhere by 37", func() {}, 200},
		{"the store is back, the configuration is not", func() { lost = false }, 200},
		{"nobody else serves", func() { peers.answers["a"] = -1 }, http.StatusServiceUnavailable},
		{"the store is lost again", func() { lost = true }, http.StatusServiceUnavailable},
		{"the configuration is back", func() { lost, own = false, 37 }, http.StatusTeapot},
	}
	for _, step := range steps {
		step.change()
		if status, _ := ask(relay, "job"); status != step.status {
			t.Errorf("%s: status %d, want %d", step.name, status, step.status)
		}
	}
}

// TestPeerHandler guards against requests that go round among processes none of which reaches the store, and against
// answers by an older configuration than the caller has seen.
func TestPeerHandler(t *testing.T) {
	tests := []struct {
		name   string
		lost   bool
		least  string
		status int
		// refreshed is the revision that the process reads while it handles the request.
		refreshed int64
		told      string
	}{
		{"serves", false, "20", http.StatusTeapot, 20, "20"},
		{"tells what it read meanwhile", false, "20", http.StatusTeapot, 37, "37"},
		{"has lost the store", true, "20", http.StatusServiceUnavailable, 20, "20"},
		{"has an older configuration", false, "21", http.StatusServiceUnavailable, 20, "20"},
		{"a request of somebody else", false, "", http.StatusServiceUnavailable, 20, "20"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			revision := int64(20)
			handler := PeerHandler{
				StoreLost: func() bool { return test.lost }, ConfigRevision: func() int64 { return revision },
				Local: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					revision = test.refreshed
					writer.WriteHeader(http.StatusTeapot)
				}),
			}
			call := httptest.NewRequest(http.MethodGet, "/", nil)
			call.Header.Set(revisionHeader, test.least)
			recorded := httptest.NewRecorder()
			handler.ServeHTTP(recorded, call)
			if told := recorded.Header().Get(revisionHeader); recorded.Code != test.status || told != test.told {
				t.Errorf("status %d with revision %s, want %d with %s", recorded.Code, told, test.status, test.told)
			}
		})
	}
}
