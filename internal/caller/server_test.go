package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// fakeBackend replaces Jobs and Calls and records the calls that the server passes on.
type fakeBackend struct {
	// keys holds the organisation and the job id or request id of each Submit, Cancel and Status.
	keys []fleet.JobKey
	// requests holds the request id of each Call, remaining the time until the deadline of the last Call.
	requests  []fleet.RequestID
	remaining time.Duration
	// block, if not nil, delays every Call until it is closed.
	block chan struct{}
}

func (fake *fakeBackend) Submit(_ context.Context, id fleet.OrganisationID, request *callerv1.SubmitRequest) (
	*callerv1.SubmitResponse, error,
) {
	fake.keys = append(fake.keys, fleet.JobKey{Organisation: id, Job: fleet.JobID(request.GetJobId())})
	if request.GetJobId() == "full" {
		return nil, fault.New(fault.QueueFull, "limit reached").WithRetryAfter(1500 * time.Millisecond)
	}
	return &callerv1.SubmitResponse{JobId: request.GetJobId()}, nil
}

func (fake *fakeBackend) Cancel(_ context.Context, key fleet.JobKey) (callerv1.Outcome, error) {
	fake.keys = append(fake.keys, key)
	return callerv1.Outcome_OUTCOME_PENDING, nil
}

type fakeJobs struct{ *fakeBackend }

func (fake fakeJobs) Status(_ context.Context, key fleet.JobKey) (*callerv1.StatusResponse, error) {
	fake.keys = append(fake.keys, key)
	return &callerv1.StatusResponse{Outcome: callerv1.Outcome_OUTCOME_PENDING}, nil
}

type fakeCalls struct{ *fakeBackend }

func (fake fakeCalls) Call(
	ctx context.Context, _ fleet.OrganisationID, call *callerv1.CallRequest,
) *callerv1.CallResponse {
	if fake.block != nil {
		<-fake.block
	}
	fake.requests = append(fake.requests, fleet.RequestID(call.GetRequestId()))
	if deadline, ok := ctx.Deadline(); ok {
		fake.remaining = time.Until(deadline)
	}
	return &callerv1.CallResponse{RequestId: call.GetRequestId(), Outcome: callerv1.Outcome_OUTCOME_COMPLETED}
}

func (fake fakeCalls) Status(_ context.Context, id fleet.OrganisationID, request fleet.RequestID) (
	*callerv1.StatusResponse, error,
) {
	fake.keys = append(fake.keys, fleet.JobKey{Organisation: id, Job: fleet.JobID(request)})
	return &callerv1.StatusResponse{}, nil
}

type fixedConfigs struct{ config *profile.Config }

func (configs fixedConfigs) Current() *profile.Config { return configs.config }

func hashOf(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

func newTestServer(fake *fakeBackend) (*Server, *bytes.Buffer) {
	config := &profile.Config{Revision: 3, Organisations: map[fleet.OrganisationID]*profile.Organisation{
		"reed": {ID: "reed", TokenHashes: []string{hashOf("reed-token")}, Profiles: []profile.Profile{
			{Name: "job", Shape: &fleet.Shape{Members: 1, Accelerators: 1}},
			{Name: "read", Service: "tuning", Idempotent: true, Limits: profile.Limits{MaxBody: 8}},
			{Name: "write", Service: "tuning"},
		}},
		"bands": {ID: "bands", TokenHashes: []string{hashOf("bands-token")}},
	}}
	var log bytes.Buffer
	return &Server{
		Jobs: fakeJobs{fake}, Calls: fakeCalls{fake}, Configs: fixedConfigs{config}, MaxMessage: 1024,
		Logger: hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true, Level: hclog.Debug}),
	}, &log
}

// send makes one call in JSON over plain HTTP, as curl does. headers are pairs of a name and a value.
func send(server *Server, token, method, body string, headers ...string) *httptest.ResponseRecorder {
	_, handler := server.Handler()
	request := httptest.NewRequest(http.MethodPost, "/caller.v1.CallerService/"+method, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// errorResponse is the JSON encoding of an error in a response.
type errorResponse struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Details []struct {
		Type  string         `json:"type"`
		Debug map[string]any `json:"debug"`
	} `json:"details"`
}

// Guards against an invalid request that reaches the backend, and against an error that does not name the faulty field
// or whose code, kind or HTTP status is not the one defined for the fault.
func TestEveryFaultyRequestGetsOneErrorThatNamesTheField(t *testing.T) {
	tests := map[string]struct {
		token, method, body string
		kind                fault.Kind
		field               string
	}{
		"no token":      {"", "Call", `{}`, fault.Unauthenticated, "Authorization"},
		"wrong token":   {"reed-token2", "Call", `{}`, fault.Unauthenticated, "Authorization"},
		"malformed":     {"reed-token", "Call", `{"profile": `, fault.InvalidArgument, ""},
		"empty":         {"reed-token", "Call", ``, fault.InvalidArgument, ""},
		"unknown field": {"reed-token", "Call", `{"profil": "read"}`, fault.InvalidArgument, "profil"},
		"field twice": {
			"reed-token", "Call", `{"profile": "read", "profile": "read"}`, fault.InvalidArgument, "profile",
		},
		"wrong type":         {"reed-token", "Call", `{"profile": 5}`, fault.InvalidArgument, "profile"},
		"missing profile":    {"reed-token", "Call", `{"request_id": "a"}`, fault.InvalidArgument, "profile"},
		"unknown profile":    {"reed-token", "Call", `{"profile": "none"}`, fault.UnknownProfile, "profile"},
		"profile of another": {"bands-token", "Call", `{"profile": "read"}`, fault.UnknownProfile, "profile"},
		"job profile":        {"reed-token", "Call", `{"profile": "job"}`, fault.UnknownProfile, "profile"},
		"service profile": {
			"reed-token", "Submit", `{"job_id": "a", "profile": "read"}`, fault.UnknownProfile, "profile",
		},
		"missing request id": {
			"reed-token", "Call", `{"profile": "write", "first_sent_unix_ms": 1}`, fault.InvalidArgument, "request_id",
		},
		"malformed request id": {
			"reed-token", "Call", `{"profile": "read", "request_id": "a/b"}`, fault.InvalidArgument, "request_id",
		},
		"missing first sent": {
			"reed-token", "Call", `{"profile": "write", "request_id": "a"}`, fault.InvalidArgument,
			"first_sent_unix_ms",
		},
		"body too large": {
			"reed-token", "Call", `{"profile": "read", "body": "MDEyMzQ1Njc4OQ=="}`, fault.TooLarge, "body",
		},
		"message too large": {
			"reed-token", "Call", `{"profile": "` + strings.Repeat("x", 2000) + `"}`, fault.TooLarge, "body",
		},
		"missing job id": {"reed-token", "Submit", `{"profile": "job"}`, fault.InvalidArgument, "job_id"},
		"malformed job id": {
			"reed-token", "Submit", `{"job_id": "A", "profile": "job"}`, fault.InvalidArgument, "job_id",
		},
		"negative run time": {
			"reed-token", "Submit", `{"job_id": "a", "profile": "job", "declared_run_time_s": -1}`,
			fault.InvalidArgument, "declared_run_time_s",
		},
		"two ids": {
			"reed-token", "Status", `{"job_id": "a", "request_id": "b"}`, fault.InvalidArgument, "request_id",
		},
		"no id": {"reed-token", "Status", `{}`, fault.InvalidArgument, "job_id"},
		"status of another": {
			"bands-token", "Status", `{"job_id": "a", "organisation": "reed"}`, fault.PermissionDenied, "organisation",
		},
		"cancel of another": {
			"bands-token", "Cancel", `{"job_id": "a", "organisation": "reed"}`, fault.PermissionDenied, "organisation",
		},
		"refused with its time": {"reed-token", "Submit", `{"job_id": "full", "profile": "job"}`, fault.QueueFull, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fake := &fakeBackend{}
			server, log := newTestServer(fake)
			got := send(server, test.token, test.method, test.body)
			answer := fault.AnswerFor(test.kind)
			if got.Code != answer.HTTP {
				t.Fatalf("status %d, want %d: %s", got.Code, answer.HTTP, got.Body)
			}
			var problem errorResponse
			if err := json.Unmarshal(got.Body.Bytes(), &problem); err != nil {
				t.Fatal(err)
			}
			if kind := got.Header().Get("Error-Kind"); kind != string(test.kind) ||
				problem.Code != answer.Code.String() {
				t.Errorf("got kind %q, code %q: %s", kind, problem.Code, problem.Message)
			}
			if len(problem.Details) != 1 || problem.Details[0].Debug["field"] != test.field ||
				!strings.Contains(problem.Message, test.field) {
				t.Errorf("error does not name field %q: %s", test.field, got.Body)
			}
			if len(fake.requests) != 0 || strings.Contains(log.String(), "-token") {
				t.Errorf("request was passed on, or the token was logged: %s", log)
			}
			if test.kind == fault.QueueFull && got.Header().Get("Retry-After") != "2" {
				t.Errorf("Retry-After = %q, want 2", got.Header().Get("Retry-After"))
			}
		})
	}
}

// Guards against an organisation that reaches the job or request of another organisation by sending the same id: the
// server must take the organisation from the token only.
func TestOrganisationComesFromTheToken(t *testing.T) {
	fake := &fakeBackend{}
	server, _ := newTestServer(fake)
	for _, token := range []string{"reed-token", "bands-token"} {
		send(server, token, "Status", `{"job_id": "a"}`)
		send(server, token, "Status", `{"request_id": "a"}`)
		send(server, token, "Cancel", `{"job_id": "a"}`)
	}
	for i, key := range fake.keys {
		want := []fleet.OrganisationID{"reed", "bands"}[i/3]
		if key.Organisation != want {
			t.Errorf("call %d was for %s, want organisation %s", i, key, want)
		}
	}
	if len(fake.keys) != 6 {
		t.Errorf("%d calls were passed on, want 6", len(fake.keys))
	}
}

// Guards against a deadline of the caller that does not reach the backend, and against two requests without an id that
// get the same generated id.
func TestCallCarriesDeadlineAndGeneratedID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeBackend{}
		server, _ := newTestServer(fake)
		for range 2 {
			if got := send(
				server, "reed-token", "Call", `{"profile": "read"}`, "Connect-Timeout-Ms", "700",
			); got.Code != http.StatusOK {
				t.Fatalf("status %d: %s", got.Code, got.Body)
			}
		}
		if fake.remaining != 700*time.Millisecond {
			t.Errorf("remaining time %v, want 700ms", fake.remaining)
		}
		if fake.requests[0] == "" || fake.requests[0] == fake.requests[1] {
			t.Errorf("generated ids %q, want two different ones", fake.requests)
		}
	})
}

// Guards against more concurrent calls than MaxConcurrent, against new calls that are accepted after Close, and against
// a Close that returns before the calls in flight have ended.
func TestConcurrencyLimitAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeBackend{block: make(chan struct{})}
		server, _ := newTestServer(fake)
		server.MaxConcurrent = 1
		first := make(chan int, 1)
		go func() { first <- send(server, "reed-token", "Call", `{"profile": "read"}`).Code }()
		synctest.Wait()
		if got := send(server, "reed-token", "Call", `{"profile": "read"}`).
			Header().Get("Error-Kind"); got != string(fault.QueueFull) {
			t.Errorf("second call with MaxConcurrent 1: got kind %q, want queue_full", got)
		}
		if !server.Ready() {
			t.Error("Ready returned false before Drain")
		}
		server.Drain()
		closed := make(chan struct{})
		go func() { _ = server.Close(); close(closed) }()
		synctest.Wait()
		if server.Ready() {
			t.Error("Ready returned true after Drain")
		}
		if got := send(server, "reed-token", "Call", `{"profile": "read"}`).
			Header().Get("Error-Kind"); got != string(fault.Draining) {
			t.Errorf("call after Close: got kind %q, want draining", got)
		}
		select {
		case <-closed:
			t.Error("Close returned before the call in flight ended")
		default:
		}
		close(fake.block)
		<-closed
		if code := <-first; code != http.StatusOK {
			t.Errorf("call in flight ended with status %d, want 200", code)
		}
	})
}
