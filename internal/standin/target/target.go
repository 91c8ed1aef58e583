// Package target is a stand-in of a service's target. It runs requests over HTTP/2 without TLS on a limited number of
// slots, injects faults and records the runs.
package target

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// maxBody is the size limit of the body of a request in bytes.
	maxBody = 1 << 20
	// The target closes a silent connection after a ping without a response, as its callers do, so that the connection
	// no longer counts towards the limit.
	sendPingTimeout = time.Second
	pingTimeout     = 2 * time.Second
)

// Behaviour is the service time and the response of one run.
type Behaviour struct {
	SleepMs int `json:"sleep_ms"`
	// Status is the HTTP status of the response; 0 means 200.
	Status int `json:"status"`
	// Answer is the body of the response; if it is empty, the response repeats the body of the request.
	Answer string `json:"answer"`
}

// Fault is a fault that the target injects into one request.
type Fault int

const (
	// FaultNone sends the response that the behaviour defines.
	FaultNone Fault = iota
	// FaultLate delays the response by Target.LateBy after the end of the run.
	FaultLate
	// FaultCrossed responds with the id and the body of another request.
	FaultCrossed
	// FaultTruncated sends only half of the number of bytes in Content-Length.
	FaultTruncated
	// FaultRefused refuses the request without running it.
	FaultRefused
	// FaultReset runs the request and then resets the stream instead of responding.
	FaultReset
)

// Target is a stand-in of a service's target. It serves POST /run. Its exported fields must be set before Start.
type Target struct {
	ID          fleet.TargetID
	Slots       int
	Connections int
	// Record receives the runs; several targets may share one.
	Record *Record
	// Behave returns the behaviour of a run. If it is nil, the behaviour is decoded from the JSON body of the request.
	Behave func(id string, body []byte) Behaviour
	// Fault returns the fault of a request; nil means no faults.
	Fault func(id string) Fault
	// LateBy is the delay of FaultLate.
	LateBy time.Duration
	// Announce adds the header Leaving: true to every response while the target is leaving.
	Announce bool
	// RefuseLeaving makes the target refuse new requests while it is leaving; otherwise they run and are recorded.
	RefuseLeaving bool
	// Listener accepts the connections.
	Listener net.Listener

	limitedListener *listener
	server          *http.Server
	serving         sync.WaitGroup

	mu      sync.Mutex
	leaving time.Time
	// previous is the response to the previous request. FaultCrossed sends it in reply to another request.
	previous response
}

// response is the request id and the body of a response that the target has sent.
type response struct {
	id   string
	body []byte
}

// New returns a Target that listens on a free loopback port and has its own Record.
func New(id fleet.TargetID, slots, connections int) (*Target, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stand-in of a target")
	}
	return &Target{ID: id, Slots: slots, Connections: connections, Record: NewRecord(), Listener: inner}, nil
}

// Start starts serving in the background.
func (target *Target) Start() {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", target.run)
	target.limitedListener = newListener(target.Listener, target)
	target.server = &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: sendPingTimeout,
			PingTimeout:     pingTimeout,
		},
	}
	target.serving.Go(func() { _ = target.server.Serve(target.limitedListener) })
}

// Address returns the address that the target listens on.
func (target *Target) Address() string { return target.Listener.Addr().String() }

// FleetTarget returns the target as an entry of the platform's list.
func (target *Target) FleetTarget(service fleet.ServiceName, dataCentre fleet.DataCentreID) fleet.Target {
	return fleet.Target{
		ID: target.ID, Address: target.Address(), Service: service, DataCentre: dataCentre,
		Slots: target.Slots, Connections: target.Connections,
	}
}

// Silence makes up to limit open connections permanently silent and returns the number of connections that it made
// silent. New connections work.
func (target *Target) Silence(limit int) int { return target.limitedListener.silence(limit) }

// Leave marks the target as leaving from now on. Announce and RefuseLeaving determine how a leaving target handles
// requests.
func (target *Target) Leave() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.leaving = time.Now()
}

// CloseConnections closes every open connection. New connections work, and runs that have begun continue.
func (target *Target) CloseConnections() { target.limitedListener.closeAll() }

// Crash closes every connection at once and refuses new ones.
func (target *Target) Crash() {
	_ = target.Listener.Close()
	target.limitedListener.closeAll()
}

// Close stops the target and waits until it no longer serves. Runs that have begun may continue.
func (target *Target) Close() {
	target.Crash()
	_ = target.server.Close()
	target.serving.Wait()
}

// run handles POST /run.
func (target *Target) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		target.refuse(writer)
		return
	}
	fault := target.faultOf(id)
	leavingFor := target.leavingFor()
	if leavingFor > 0 && target.Announce {
		writer.Header().Set("Leaving", "true")
	}
	if fault == FaultRefused || leavingFor > 0 && target.RefuseLeaving {
		target.refuse(writer)
		return
	}
	if !target.Record.begin(target.ID, id, target.Slots, leavingFor) {
		target.refuse(writer)
		return
	}
	behaviour := target.behave(id, body)
	time.Sleep(time.Duration(behaviour.SleepMs) * time.Millisecond)
	target.Record.end(target.ID, id)
	target.reply(writer, fault, response{id: id, body: responseBody(behaviour, body)}, behaviour.Status)
}

// refuse responds with status 503 and the header Not-Begun, which states that the request did not run.
func (target *Target) refuse(writer http.ResponseWriter) {
	writer.Header().Set("Not-Begun", "true")
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func (target *Target) behave(id string, body []byte) Behaviour {
	if target.Behave != nil {
		return target.Behave(id, body)
	}
	var behaviour Behaviour
	// A body that is not JSON results in the zero Behaviour: the response repeats the body without delay.
	_ = json.Unmarshal(body, &behaviour)
	return behaviour
}

func responseBody(behaviour Behaviour, body []byte) []byte {
	if behaviour.Answer != "" {
		return []byte(behaviour.Answer)
	}
	return body
}

func (target *Target) reply(writer http.ResponseWriter, fault Fault, own response, status int) {
	if status == 0 {
		status = http.StatusOK
	}
	sent := own
	switch fault {
	case FaultLate:
		time.Sleep(target.LateBy)
	case FaultCrossed:
		sent = target.otherResponse(own)
	case FaultReset:
		panic(http.ErrAbortHandler)
	}
	target.storePrevious(own)
	writer.Header().Set("Request-Id", sent.id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(sent.body)))
	writer.WriteHeader(status)
	if fault == FaultTruncated {
		sent.body = sent.body[:len(sent.body)/2]
	}
	_, _ = writer.Write(sent.body)
}

func (target *Target) storePrevious(own response) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.previous = own
}

// otherResponse returns the response to the previous request. If there is none, or the previous request had the same
// id, it returns a response with an id that no request has.
func (target *Target) otherResponse(own response) response {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.previous.id == "" || target.previous.id == own.id {
		return response{id: own.id + "-other", body: []byte("answer of another request")}
	}
	return target.previous
}

func (target *Target) faultOf(id string) Fault {
	if target.Fault == nil {
		return FaultNone
	}
	return target.Fault(id)
}

// leavingFor returns the time since Leave; 0 if the target is not leaving.
func (target *Target) leavingFor() time.Duration {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.leaving.IsZero() {
		return 0
	}
	return max(time.Since(target.leaving), 1)
}
