package target

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, adjust func(*Target)) (*Target, *http.Client) {
	t.Helper()
	target, err := New("target-1", 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	adjust(target)
	target.Start()
	t.Cleanup(target.Close)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: 20 * time.Millisecond, PingTimeout: 20 * time.Millisecond},
	}
	t.Cleanup(transport.CloseIdleConnections)
	return target, &http.Client{Transport: transport}
}

func post(client *http.Client, target *Target, id, body string) (*http.Response, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+target.Address()+"/run", strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set("Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return response, responseBody, err
}

// Guards against a stand-in that does not inject the configured fault into the HTTP response. Every test of that fault
// would then pass without testing anything.
func TestFaultsReachTheWire(t *testing.T) {
	tests := map[string]struct {
		fault     Fault
		status    int
		id        string
		body      string
		readFails bool
		begun     int
	}{
		"none":      {fault: FaultNone, status: 200, id: "a/1", body: "hello", begun: 1},
		"crossed":   {fault: FaultCrossed, status: 200, id: "a/1-other", body: "answer of another request", begun: 1},
		"truncated": {fault: FaultTruncated, status: 200, id: "a/1", body: "he", readFails: true, begun: 1},
		"refused":   {fault: FaultRefused, status: 503, id: "a/1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target, client := start(t, func(target *Target) {
				target.Fault = func(string) Fault { return test.fault }
			})
			response, body, err := post(client, target, "a/1", "hello")
			if (err != nil) != test.readFails {
				t.Fatalf("error = %v", err)
			}
			if response.StatusCode != test.status || response.Header.Get("Request-Id") != test.id {
				t.Errorf("status %d, id %s", response.StatusCode, response.Header.Get("Request-Id"))
			}
			if string(body) != test.body {
				t.Errorf("body = %q, want %q", body, test.body)
			}
			if got := target.Record.Runs("a/1").Begun; got != test.begun {
				t.Errorf("begun = %d, want %d", got, test.begun)
			}
		})
	}
}

// Guards against a silent connection on which requests still get a response, and against a silent connection that makes
// new connections fail.
func TestSilentConnectionLeavesNewOnesWorking(t *testing.T) {
	target, client := start(t, func(*Target) {})
	if _, _, err := post(client, target, "a/1", "x"); err != nil {
		t.Fatal(err)
	}
	if got := target.Silence(1); got != 1 {
		t.Fatalf("silenced %d connections, want 1", got)
	}
	if _, _, err := post(client, target, "a/2", "x"); err == nil {
		t.Error("a request on a silent connection got a response")
	}
	if _, _, err := post(client, target, "a/3", "x"); err != nil {
		t.Errorf("request on a new connection: %v", err)
	}
	if got := target.Record.Runs("a/2").Begun; got != 0 {
		t.Errorf("a request on a silent connection began %d times", got)
	}
}

// Guards against a stand-in that does not count attempts beyond its limits: a router that exceeds them would then pass
// its tests.
func TestLimitsAreCounted(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	target, client := start(t, func(target *Target) {
		target.Behave = func(string, []byte) Behaviour {
			close(begun)
			<-release
			return Behaviour{}
		}
	})
	done := make(chan error, 1)
	go func() { _, _, err := post(client, target, "a/1", "x"); done <- err }()
	<-begun
	response, _, err := post(client, target, "a/2", "x")
	if err != nil || response.Header.Get("Not-Begun") != "true" {
		t.Errorf("second request: %v, %v", response, err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
	if usage := target.Record.Usage("target-1"); usage.HighestSlots != 2 || usage.RefusedSlots != 1 {
		t.Errorf("usage = %+v", usage)
	}
}
