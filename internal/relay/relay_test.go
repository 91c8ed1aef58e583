package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"
)

// peerStatus is the status with which another process responds; 0 stands for a lost response and -1 for a failure to
// connect.
type peerStatus int

// fakePeers is an HTTP transport that responds in place of other processes and counts the attempts. The status of a
// response depends on the address of the process.
type fakePeers struct {
	// revision is the configuration revision of all processes.
	revision int64
	statuses map[string]peerStatus

	mu       sync.Mutex
	attempts int
	bodies   []string
}

func (peers *fakePeers) RoundTrip(request *http.Request) (*http.Response, error) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.attempts++
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	peers.bodies = append(peers.bodies, string(body))
	switch status := peers.statuses[request.URL.Host]; status {
	case -1:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case 0:
		return nil, errors.New("the connection ended")
	default:
		recorded := httptest.NewRecorder()
		recorded.Header().Set(revisionHeader, strconv.FormatInt(peers.revision, 10))
		recorded.WriteHeader(int(status))
		return recorded.Result(), nil
	}
}

func newTestRelay(peers *fakePeers, lost bool) *Relay {
	return &Relay{
		Local: http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
			body, _ := io.ReadAll(call.Body)
			writer.WriteHeader(http.StatusTeapot)
			_, _ = writer.Write(body)
		}),
		CutOff: func() bool { return lost },
		Peers: func() []string {
			var addresses []string
			for address := range peers.statuses {
				addresses = append(addresses, address)
			}
			return addresses
		},
		ConfigRevision: func() int64 { return 0 },
		BodyLimit:      func() int64 { return 10 }, Client: &http.Client{Transport: peers},
		Logger: hclog.NewNullLogger(), Metrics: gometrics.NewRegistry(),
	}
}

func send(relay *Relay, body string) (int, string) {
	recorded := httptest.NewRecorder()
	relay.ServeHTTP(recorded, httptest.NewRequest(http.MethodPost, "/p/1", strings.NewReader(body)))
	return recorded.Code, recorded.Body.String()
}

// TestRelay guards against wrong responses while this process cannot reach the store. The caller must get the response
// of a process that can reach it. It may get the response of this process only if no other process can have executed
// the request. The test also guards against changes to a forwarded body.
func TestRelay(t *testing.T) {
	const local = http.StatusTeapot
	tests := []struct {
		name     string
		lost     bool
		statuses map[string]peerStatus
		body     string
		status   int
		attempts int
	}{
		{"the store can be reached", false, map[string]peerStatus{"a": 200}, "job", local, 0},
		{"another process serves", true, map[string]peerStatus{"a": 200}, "job", 200, 1},
		{"a final response is forwarded", true, map[string]peerStatus{"a": 401}, "job", 401, 1},
		{"no other process is known", true, nil, "job", local, 0},
		{"all processes refuse", true, map[string]peerStatus{"a": 503, "b": 429}, "job", local, 2},
		{"no process can be reached", true, map[string]peerStatus{"a": -1, "b": -1}, "job", local, 2},
		{"a response is lost", true, map[string]peerStatus{"a": 0}, "job", http.StatusGatewayTimeout, 1},
		{
			"a response is lost and another process refuses", true, map[string]peerStatus{"a": 0, "b": 503}, "job",
			http.StatusGatewayTimeout, 2,
		},
		{
			"no more than maxAttempts processes are tried", true,
			map[string]peerStatus{"a": -1, "b": -1, "c": -1, "d": -1, "e": -1}, "job", local, maxAttempts,
		},
		{"a body over the limit is not forwarded", true, map[string]peerStatus{"a": 200}, "longer than ten", local, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := &fakePeers{statuses: test.statuses}
			status, body := send(newTestRelay(peers, test.lost), test.body)
			if status != test.status || peers.attempts != test.attempts {
				t.Errorf("status %d after %d attempts, want %d after %d",
					status, peers.attempts, test.status, test.attempts)
			}
			if status == local && body != test.body {
				t.Errorf("this process received body %q", body)
			}
			for _, forwarded := range peers.bodies {
				if forwarded != test.body {
					t.Errorf("another process received body %q", forwarded)
				}
			}
		})
	}
}

// TestRelayAfterStoreFailure guards against a caller that is refused, or told that nothing is known, although another
// process could have served it. It also guards against a refusal by another process that hides that the request may
// have taken effect in this one.
func TestRelayAfterStoreFailure(t *testing.T) {
	const unknown, refused = http.StatusGatewayTimeout, http.StatusServiceUnavailable
	tests := []struct {
		name     string
		local    int
		statuses map[string]peerStatus
		status   int
		attempts int
	}{
		{"served here", http.StatusOK, map[string]peerStatus{"a": 410}, http.StatusOK, 0},
		{"refused here, served there", refused, map[string]peerStatus{"a": 200}, http.StatusOK, 1},
		{"refused here, final response there", refused, map[string]peerStatus{"a": 401}, http.StatusUnauthorized, 1},
		{"refused by both", refused, map[string]peerStatus{"a": 503}, refused, 1},
		{"refused here, lost there", refused, map[string]peerStatus{"a": 0}, unknown, 1},
		{"refused here, not reached there", refused, map[string]peerStatus{"a": -1}, refused, 1},
		{"unknown here, served there", unknown, map[string]peerStatus{"a": 200}, http.StatusOK, 1},
		{"unknown here, refused there", unknown, map[string]peerStatus{"a": 503}, unknown, 1},
		{"unknown here, other error there", unknown, map[string]peerStatus{"a": 401}, unknown, 1},
		{"unknown here, lost there", unknown, map[string]peerStatus{"a": 0}, unknown, 1},
		{"unknown here, nobody else", unknown, nil, unknown, 0},
		{"refused here, two others tried", refused, map[string]peerStatus{"a": 503, "b": -1, "c": 503}, refused, maxHedges},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := &fakePeers{statuses: test.statuses}
			relay := newTestRelay(peers, false)
			relay.Local = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Retry-After", "1")
				writer.WriteHeader(test.local)
			})
			recorded := httptest.NewRecorder()
			relay.ServeHTTP(recorded, httptest.NewRequest(http.MethodPost, "/p/1", strings.NewReader("job")))
			if recorded.Code != test.status || peers.attempts != test.attempts {
				t.Errorf("status %d after %d attempts, want %d after %d",
					recorded.Code, peers.attempts, test.status, test.attempts)
			}
			fromHere := test.status == test.local
			if hasDelay := recorded.Header().Get("Retry-After") != ""; test.attempts > 0 && !fromHere && hasDelay {
				t.Error("the response of another process has the Retry-After of this one")
			}
		})
	}
}

// TestSubmissionWhileTheStoreIsSilent guards against a caller that waits for the whole time-out of a store that responds
// to other processes, and against a submission that is forwarded although the store only is slow.
func TestSubmissionWhileTheStoreIsSilent(t *testing.T) {
	tests := []struct {
		name     string
		local    time.Duration
		status   int
		within   time.Duration
		attempts int
	}{
		{"the store responds", time.Millisecond, http.StatusTeapot, 2 * time.Millisecond, 0},
		{"the store is slow", 250 * time.Millisecond, http.StatusTeapot, 260 * time.Millisecond, 0},
		{"the store is silent", 1500 * time.Millisecond, http.StatusOK, hedgeDelay + 10*time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &fakePeers{statuses: map[string]peerStatus{"a": 200}}
				relay := newTestRelay(peers, false)
				relay.Local = http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					time.Sleep(test.local)
					writer.WriteHeader(http.StatusTeapot)
				})
				began := time.Now()
				status, _ := send(relay, "job")
				taken := time.Since(began)
				time.Sleep(test.local)
				if status != test.status || taken > test.within || peers.attempts != test.attempts {
					t.Errorf("status %d after %s and %d attempts, want %d within %s after %d",
						status, taken, peers.attempts, test.status, test.within, test.attempts)
				}
			})
		})
	}
}

// TestRelayKeepsOneProcess guards against successive requests that are forwarded to different processes, whose data may
// differ in age. It also guards against a new attempt for each request at a process that cannot be reached.
func TestRelayKeepsOneProcess(t *testing.T) {
	peers := &fakePeers{statuses: map[string]peerStatus{"a": 200, "b": -1, "c": -1, "d": -1}}
	relay := newTestRelay(peers, true)
	for range 20 {
		if status, _ := send(relay, "job"); status == 200 {
			break
		}
	}
	peers.attempts = 0
	for range 10 {
		if status, _ := send(relay, "job"); status != 200 {
			t.Errorf("status %d although a process serves requests", status)
		}
	}
	if peers.attempts != 10 {
		t.Errorf("%d attempts for 10 requests", peers.attempts)
	}
}

// TestConfigurationNeverGoesBack guards against responses that return to an older configuration. After a forwarded
// request was handled with a newer configuration, this process must not use its own older one, neither when it reaches
// the store again nor when no other process serves requests.
func TestConfigurationNeverGoesBack(t *testing.T) {
	peers := &fakePeers{statuses: map[string]peerStatus{"a": 200}, revision: 37}
	lost, own := true, int64(20)
	relay := newTestRelay(peers, true)
	relay.CutOff, relay.ConfigRevision = func() bool { return lost }, func() int64 { return own }
	steps := []struct {
		name   string
		change func()
		status int
	}{
		{"another process serves with revision 37", func() {}, 200},
		{"the store can be reached again but the configuration is outdated", func() { lost = false }, 200},
		{"no other process serves", func() { peers.statuses["a"] = -1 }, http.StatusServiceUnavailable},
		{"the store is lost again", func() { lost = true }, http.StatusServiceUnavailable},
		{"the configuration is up to date again", func() { lost, own = false, 37 }, http.StatusTeapot},
	}
	for _, step := range steps {
		step.change()
		if status, _ := send(relay, "job"); status != step.status {
			t.Errorf("%s: status %d, want %d", step.name, status, step.status)
		}
	}
}

// TestPeerHandler guards against forwarded requests that a process accepts although it cannot reach the store, which
// allows forwarding loops among such processes, and against responses from an older configuration than the caller has
// seen already.
func TestPeerHandler(t *testing.T) {
	tests := []struct {
		name        string
		lost        bool
		minRevision string
		status      int
		// refreshed is the revision that the process has after it has handled the request.
		refreshed    int64
		wantRevision string
	}{
		{"serves", false, "20", http.StatusTeapot, 20, "20"},
		{"reports a revision read during the request", false, "20", http.StatusTeapot, 37, "37"},
		{"cannot reach the store", true, "20", http.StatusServiceUnavailable, 20, "20"},
		{"has an older configuration", false, "21", http.StatusServiceUnavailable, 20, "20"},
		{"request without a revision", false, "", http.StatusServiceUnavailable, 20, "20"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			revision := int64(20)
			handler := PeerHandler{
				CutOff: func() bool { return test.lost }, ConfigRevision: func() int64 { return revision },
				Local: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					revision = test.refreshed
					writer.WriteHeader(http.StatusTeapot)
				}),
			}
			call := httptest.NewRequest(http.MethodGet, "/", nil)
			call.Header.Set(revisionHeader, test.minRevision)
			recorded := httptest.NewRecorder()
			handler.ServeHTTP(recorded, call)
			if got := recorded.Header().Get(revisionHeader); recorded.Code != test.status || got != test.wantRevision {
				t.Errorf("status %d with revision %s, want %d with %s",
					recorded.Code, got, test.status, test.wantRevision)
			}
		})
	}
}
