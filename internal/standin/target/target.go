// Package target is a stand-in of a service's target: it runs requests on bounded slots over HTTP/2 without
// TLS, with faults on demand and its own record of what ran.
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
	maxBody = 1 << 20
	// The target closes a connection that went silent as its callers do, so that it frees the place.
	sendPingTimeout = time.Second
	pingTimeout     = 2 * time.Second
)

// Behaviour sets the service time and the outcome of one run.
type Behaviour struct {
	SleepMs int `json:"sleep_ms"`
	// Status is the HTTP status of the answer; 0 stands for 200.
	Status int `json:"status"`
	// Answer is the body of the answer; empty repeats the body of the request.
	Answer string `json:"answer"`
}

// Fault is what goes wrong with one request.
type Fault int

const (
	// FaultNone answers as the behaviour says.
	FaultNone Fault = iota
	// FaultLate holds the answer back for Target.LateBy after the run ended.
	FaultLate
	// FaultCrossed answers with the id and the body of another request.
	FaultCrossed
	// FaultTruncated sends half of the answer that Content-Length announces.
	FaultTruncated
	// FaultRefused does not begin the request.
	FaultRefused
	// FaultReset runs the request and resets the stream instead of answering.
	FaultReset
)

// Target serves POST /run.
type Target struct {
	ID          fleet.TargetID
	Slots       int
	Connections int
	// Record is shared between targets.
	Record *Record
	// Behave sets the behaviour of a run; nil takes it from the body as JSON.
	Behave func(id string, body []byte) Behaviour
	// Fault chooses the fault of a request; nil stands for none.
	Fault func(id string) Fault
	// LateBy is the delay of FaultLate.
	LateBy time.Duration
	// Announce adds Leaving: true to every answer while the target leaves.
	Announce bool
	// RefuseLeaving refuses new requests while the target leaves; otherwise they run and are recorded.
	RefuseLeaving bool
	// Listener accepts the connections.
	Listener net.Listener

	limitedListener *listener
	server          *http.Server
	serving         sync.WaitGroup

	mu       sync.Mutex
	leaving  time.Time
	previous answer
}

type answer struct {
	id   string
	body []byte
}

// New returns a Target that listens on loopback with a record of its own.
func New(id fleet.TargetID, slots, connections int) (*Target, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in of a target")
	}
	return &Target{ID: id, Slots: slots, Connections: connections, Record: NewRecord(), Listener: inner}, nil
}

// Start begins to serve and returns at once.
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

// FleetTarget returns the target as the platform's list shows it.
func (target *Target) FleetTarget(service fleet.ServiceName, dataCentre fleet.DataCentreID) fleet.Target {
	return fleet.Target{
		ID: target.ID, Address: target.Address(), Service: service, DataCentre: dataCentre,
		Slots: target.Slots, Connections: target.Connections,
	}
}

// Silence makes up to limit open connections silent for good and returns how many. New ones work.
func (target *Target) Silence(limit int) int { return target.limitedListener.silence(limit) }

// Leave marks the begin of leaving. What the target says and does about it is set by Announce and RefuseLeaving.
func (target *Target) Leave() {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.leaving = time.Now()
}

// CloseConnections closes every open connection; new ones work, and runs that have begun go on.
func (target *Target) CloseConnections() { target.limitedListener.closeAll() }

// Crash ends the target at once: every connection is cut and new ones are refused.
func (target *Target) Crash() {
	_ = target.Listener.Close()
	target.limitedListener.closeAll()
}

// Close ends the target and waits until it has stopped serving. Runs that have begun may go on.
func (target *Target) Close() {
	target.Crash()
	_ = target.server.Close()
	target.serving.Wait()
}

func (target *Target) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		target.refuse(writer)
		return
	}
	fault := target.faultOf(id)
	left := target.leavingFor()
	if left > 0 && target.Announce {
		writer.Header().Set("Leaving", "true")
	}
	if fault == FaultRefused || left > 0 && target.RefuseLeaving {
		target.refuse(writer)
		return
	}
	if !target.Record.begin(target.ID, id, target.Slots, left) {
		target.refuse(writer)
		return
	}
	behaviour := target.behave(id, body)
	time.Sleep(time.Duration(behaviour.SleepMs) * time.Millisecond)
	target.Record.end(target.ID, id)
	target.reply(writer, fault, answer{id: id, body: answerBody(behaviour, body)}, behaviour.Status)
}

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
	// A body that is no JSON is repeated at once.
	_ = json.Unmarshal(body, &behaviour)
	return behaviour
}

func answerBody(behaviour Behaviour, body []byte) []byte {
	if behaviour.Answer != "" {
		return []byte(behaviour.Answer)
	}
	return body
}

func (target *Target) reply(writer http.ResponseWriter, fault Fault, own answer, status int) {
	if status == 0 {
		status = http.StatusOK
	}
	sent := own
	switch fault {
	case FaultLate:
		time.Sleep(target.LateBy)
	case FaultCrossed:
		sent = target.otherAnswer(own)
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

func (target *Target) storePrevious(own answer) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.previous = own
}

func (target *Target) otherAnswer(own answer) answer {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.previous.id == "" || target.previous.id == own.id {
		return answer{id: own.id + "-other", body: []byte("answer of another request")}
	}
	return target.previous
}

func (target *Target) faultOf(id string) Fault {
	if target.Fault == nil {
		return FaultNone
	}
	return target.Fault(id)
}

func (target *Target) leavingFor() time.Duration {
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.leaving.IsZero() {
		return 0
	}
	return max(time.Since(target.leaving), 1)
}
