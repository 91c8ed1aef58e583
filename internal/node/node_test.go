package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/settings"
	"github.com/quetzalstall/quetzalstall/internal/standin/authority"
	"github.com/quetzalstall/quetzalstall/internal/standin/deployment"
	"github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/internal/standin/worker"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1/callerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1/operatorv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// token is the bearer token of the organisation and of the operators; tokenHash is its hex SHA-256 hash.
const (
	token     = "secret"
	tokenHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
)

const organisationDocument = `{"organisation": "org", "max_waiting": 10, "token_sha256": ["` + tokenHash + `"],
 "profiles": [
  {"name": "train", "shape": {"members": 2, "accelerators": 2, "cores": 1, "memory_bytes": 1, "adjacency": "worker"},
   "idempotent": true, "urgency": "normal", "limits": {"max_waiting": 10, "max_body_bytes": 1024}},
  {"name": "ask", "service": "desk", "idempotent": true, "urgency": "normal",
   "limits": {"max_waiting": 10, "max_run_time": "4s", "max_body_bytes": 1024}}]}`

// testProcess is one entry process and the stand-ins of its platform, worker and targets.
type testProcess struct {
	node     *Node
	standins *deployment.Standins
	stop     context.CancelFunc
	ended    chan error
	url      string
	calls    callerv1connect.CallerServiceClient
	admin    operatorv1connect.OperatorServiceClient
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// startNode starts an entry process with two targets and one worker. If keys are given, the process and the worker use
// mutual TLS.
func startNode(t *testing.T, balancerDelay time.Duration, operatorTokenHash string, keys authority.Files) *testProcess {
	t.Helper()
	callers, peers := listen(t), listen(t)
	inventory := fleet.Inventory{Entries: []fleet.EntryVM{{
		ID: "entry-1", Address: peers.Addr().String(), Region: "r", DataCentre: "d",
	}}}
	for i := range 2 {
		inventory.Targets = append(inventory.Targets, fleet.Target{
			ID: fleet.TargetID(fmt.Sprintf("target-%d", i)), Service: "desk", DataCentre: "d",
			Slots: 8, Connections: 60,
		})
	}
	inventory.Workers = []fleet.Worker{{
		ID: "worker-1", Region: "r", DataCentre: "d", Rack: "1", Cores: 8, Memory: 1 << 30, Accelerators: 8,
	}}
	standins := deployment.New(inventory)
	if keys.Key != "" {
		workerKeys, err := transport.NewKeys(keys.Certificate, keys.Key, keys.Authority)
		if err != nil {
			t.Fatal(err)
		}
		standins.WorkerTLS = workerKeys.Config()
	}
	if err := standins.Start(); err != nil {
		t.Fatal(err)
	}
	nodeSettings := settings.Default()
	nodeSettings.VM, nodeSettings.Region, nodeSettings.DataCentre = "entry-1", "r", "d"
	nodeSettings.PeerAddress, nodeSettings.StoreAddress = peers.Addr().String(), standins.PlatformAddress
	nodeSettings.Seats = 1
	nodeSettings.BalancerDelay = profile.Duration(balancerDelay)
	nodeSettings.OperatorTokenHash = operatorTokenHash
	nodeSettings.TLS = settings.TLS{CertificateFile: keys.Certificate, KeyFile: keys.Key, AuthorityFile: keys.Authority}
	process := &testProcess{
		node: New(nodeSettings), standins: standins, ended: make(chan error, 1),
		url: "http://" + callers.Addr().String(),
	}
	process.node.CallerListener, process.node.PeerListener = callers, peers
	ctx, stop := context.WithCancel(context.Background())
	process.stop = stop
	go func() { process.ended <- process.node.Run(ctx) }()
	process.calls = callerv1connect.NewCallerServiceClient(http.DefaultClient, process.url)
	process.admin = operatorv1connect.NewOperatorServiceClient(http.DefaultClient, process.url)
	t.Cleanup(func() {
		process.node.Kill()
		if err := standins.Close(); err != nil {
			t.Error(err)
		}
	})
	return process
}

// eventually repeats check until it returns true. It fails the test after 30 s, so that the test does not hang.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); {
		if check() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timeout while waiting for: %s", condition)
}

func (process *testProcess) apply(t *testing.T) {
	t.Helper()
	eventually(t, "the document is accepted", func() bool {
		request := connect.NewRequest(&operatorv1.ApplyRequest{
			EditId: "edit", Organisation: "org", DocumentJson: organisationDocument,
		})
		request.Header().Set("Authorization", "Bearer "+token)
		_, err := process.admin.Apply(context.Background(), request)
		return err == nil
	})
}

// call runs a request for which the target sleeps for the given service time.
func (process *testProcess) call(id string, service time.Duration) (*callerv1.CallResponse, error) {
	body, _ := json.Marshal(target.Behaviour{SleepMs: int(service.Milliseconds()), Answer: "answer to " + id})
	request := connect.NewRequest(&callerv1.CallRequest{RequestId: id, Profile: "ask", Caller: "c", Body: body})
	request.Header().Set("Authorization", "Bearer "+token)
	response, err := process.calls.Call(context.Background(), request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (process *testProcess) readiness() int {
	response, err := http.Get(process.url + "/ready")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a planned stop that closes the connection of a request in flight, or that refuses calls before load
// balancers have had time to see that the process is not ready.
func TestPlannedStopFinishesRequests(t *testing.T) {
	process := startNode(t, time.Second, "", authority.Files{})
	if process.readiness() == http.StatusOK {
		t.Error("the process is ready without a configuration")
	}
	process.apply(t)
	eventually(t, "the process is ready and serves", func() bool {
		response, err := process.call("first", 0)
		return err == nil && response.Outcome == callerv1.Outcome_OUTCOME_COMPLETED &&
			process.readiness() == http.StatusOK
	})
	type result struct {
		response *callerv1.CallResponse
		err      error
	}
	slow := make(chan result, 1)
	go func() {
		response, err := process.call("slow", 2500*time.Millisecond)
		slow <- result{response, err}
	}()
	eventually(t, "the request runs", func() bool { return process.standins.TargetRecord.Runs("org/slow").Begun == 1 })
	process.stop()
	eventually(t, "the process is not ready", func() bool {
		return process.readiness() == http.StatusServiceUnavailable
	})
	if response, err := process.call("late", 0); err != nil || response.Outcome != callerv1.Outcome_OUTCOME_COMPLETED {
		t.Errorf("a call within the load balancer delay returned %v, %v", response, err)
	}
	done := <-slow
	if done.err != nil || done.response.Outcome != callerv1.Outcome_OUTCOME_COMPLETED ||
		string(done.response.Answer) != "answer to slow" {
		t.Errorf("the request in flight returned %v, %v", done.response, done.err)
	}
	if err := <-process.ended; err != nil {
		t.Errorf("planned stop: %v", err)
	}
	process.ended <- nil
}

// Guards against a state dump that contains the operators' token or its hash, or that cannot be encoded as JSON.
func TestDumpHoldsNoSecrets(t *testing.T) {
	process := startNode(t, 0, tokenHash, authority.Files{})
	process.apply(t)
	eventually(t, "the process is ready", func() bool { return process.readiness() == http.StatusOK })
	text, err := json.Marshal(process.node.Dump())
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{tokenHash, token} {
		if strings.Contains(string(text), secret) {
			t.Errorf("the dump holds %q", secret)
		}
	}
}

// Guards against a process with TLS keys that a worker with mutual TLS refuses, for example because the process sends
// no client certificate.
func TestJobRunsOnWorkerWithMutualTLS(t *testing.T) {
	issuer, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	keys, err := issuer.Issue(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	process := startNode(t, 0, "", keys)
	process.apply(t)
	input := worker.Input{RunTimeMS: 100}
	eventually(t, "the job is accepted", func() bool {
		request := connect.NewRequest(&callerv1.SubmitRequest{
			JobId: "j", Profile: "train", Caller: "c", Input: input.Encode(),
		})
		request.Header().Set("Authorization", "Bearer "+token)
		_, err := process.calls.Submit(context.Background(), request)
		return err == nil
	})
	eventually(t, "the job completes", func() bool {
		request := connect.NewRequest(&callerv1.StatusRequest{JobId: "j"})
		request.Header().Set("Authorization", "Bearer "+token)
		response, err := process.calls.Status(context.Background(), request)
		return err == nil && response.Msg.Outcome == callerv1.Outcome_OUTCOME_COMPLETED
	})
	if runs := process.standins.WorkerRecord.Runs(); len(runs) != 2 {
		t.Errorf("%d members ran, want 2", len(runs))
	}
}

// Guards against requests for evacuations that the process does not serve, and against an evacuation that does not keep
// a job from starting.
func TestEvacuationThroughOperatorAPI(t *testing.T) {
	process := startNode(t, 0, "", authority.Files{})
	process.apply(t)
	ctx := context.Background()
	_, err := process.admin.Evacuate(ctx, connect.NewRequest(&operatorv1.EvacuateRequest{DataCentre: "x"}))
	if connect.CodeOf(err) != connect.CodeNotFound || !strings.Contains(err.Error(), "data centres with workers: d") {
		t.Errorf("evacuation of an unknown data centre: %v", err)
	}
	response, err := process.admin.Evacuate(ctx, connect.NewRequest(&operatorv1.EvacuateRequest{DataCentre: "d"}))
	if err != nil || response.Msg.Revision != 2 {
		t.Fatalf("evacuation: %v, %v", response, err)
	}
	input := worker.Input{RunTimeMS: 100}
	eventually(t, "the job is accepted", func() bool {
		request := connect.NewRequest(&callerv1.SubmitRequest{
			JobId: "j", Profile: "train", Caller: "c", Input: input.Encode(),
		})
		request.Header().Set("Authorization", "Bearer "+token)
		_, err := process.calls.Submit(ctx, request)
		return err == nil
	})
	eventually(t, "the explanation names the data centre", func() bool {
		request := &operatorv1.ExplainRequest{Organisation: "org", JobId: "j"}
		response, err := process.admin.Explain(ctx, connect.NewRequest(request))
		return err == nil && strings.Contains(strings.Join(response.Msg.Lines, "\n"), "data centre d is evacuated")
	})
	eventually(t, "the list is complete", func() bool {
		response, err := process.admin.ListEvacuations(ctx, connect.NewRequest(&operatorv1.ListEvacuationsRequest{}))
		return err == nil && len(response.Msg.Evacuations) == 1 && response.Msg.Evacuations[0].Workers == 1 &&
			len(response.Msg.Evacuations[0].Problems) == 0
	})
	if runs := process.standins.WorkerRecord.Runs(); len(runs) != 0 {
		t.Errorf("%d members ran in the evacuated data centre", len(runs))
	}
	request := &operatorv1.TakeBackRequest{DataCentre: "d"}
	if _, err := process.admin.TakeBack(ctx, connect.NewRequest(request)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the job runs", func() bool { return len(process.standins.WorkerRecord.Runs()) == 2 })
}

// Guards against an operators' API that serves requests with a missing or wrong token although a token is configured.
func TestOperatorAPIRequiresToken(t *testing.T) {
	reached := false
	handler := requireToken(tokenHash,
		http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	for _, test := range []struct {
		header string
		served bool
	}{{"", false}, {"Bearer wrong", false}, {token, true}, {"Bearer " + token, true}} {
		reached = false
		request, _ := http.NewRequest(http.MethodPost, "/", nil)
		request.Header.Set("Authorization", test.header)
		handler.ServeHTTP(&discardWriter{header: http.Header{}}, request)
		if reached != test.served {
			t.Errorf("header %q: served %v, want %v", test.header, reached, test.served)
		}
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (writer *discardWriter) Header() http.Header            { return writer.header }
func (writer *discardWriter) Write(text []byte) (int, error) { return len(text), nil }
func (writer *discardWriter) WriteHeader(int)                {}
