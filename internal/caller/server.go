package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1/callerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	defaultMaxConcurrent = 2000
	// defaultMaxMessage is the default of MaxMessage. JSON encodes a body in base64, which is a third longer than the
	// body.
	defaultMaxMessage  = 2 << 20
	refusalRetryAfter  = 500 * time.Millisecond
	maxResponseMessage = 32 << 20
	// Compressing a response below this size takes longer than sending it uncompressed.
	minCompressBytes    = 16 << 10
	retryAfterHeader    = "Retry-After"
	errorKindHeader     = "Error-Kind"
	authorisationHeader = "Authorization"
)

// Server serves the API for callers. Its exported fields must be set before Handler is called.
type Server struct {
	Jobs    Jobs
	Calls   Calls
	Configs Configs
	// MaxConcurrent limits the number of calls that are served at the same time.
	MaxConcurrent int
	// MaxMessage limits the size of a request message.
	MaxMessage fleet.Bytes
	// Logger receives a log line for each refusal and, at debug level, one for each call.
	Logger  hclog.Logger
	Metrics gometrics.Registry

	credentials credentials
	errors      *connect.ErrorWriter
	once        sync.Once
	serving     atomic.Int64

	mu       sync.Mutex
	draining bool
	closed   bool
	inFlight sync.WaitGroup
}

func (server *Server) init() {
	server.once.Do(func() {
		if server.MaxConcurrent == 0 {
			server.MaxConcurrent = defaultMaxConcurrent
		}
		if server.MaxMessage == 0 {
			server.MaxMessage = defaultMaxMessage
		}
		if server.Logger == nil {
			server.Logger = hclog.NewNullLogger()
		}
		if server.Metrics == nil {
			server.Metrics = gometrics.NewRegistry()
		}
		server.errors = connect.NewErrorWriter()
	})
}

// Handler returns the path prefix of the callers' API and its handler.
func (server *Server) Handler() (string, http.Handler) {
	server.init()
	path, inner := callerv1connect.NewCallerServiceHandler(&service{server: server},
		connect.WithReadMaxBytes(int(server.MaxMessage)),
		connect.WithSendMaxBytes(maxResponseMessage),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithCodec(jsonCodec{}),
		connect.WithRecover(server.recoverPanic),
	)
	return path, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.guard(writer, request, inner)
	})
}

func (server *Server) recoverPanic(_ context.Context, _ connect.Spec, _ http.Header, cause any) error {
	server.Logger.Error("call ended in a panic", "cause", cause)
	return errorOf(fault.New(fault.Internal, "the handler of the call panicked because of a defect of the system"))
}

// Ready reports whether the load balancer should send calls to this process.
func (server *Server) Ready() bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	return !server.draining && !server.closed && server.Configs.Current() != nil
}

// ReadyHandler responds with status 200 while Ready returns true and with 503 otherwise.
func (server *Server) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !server.Ready() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n"))
	})
}

// Drain makes Ready return false, so that the load balancer stops sending calls to this process. The server still
// serves new calls until Close.
func (server *Server) Drain() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.draining = true
}

// Close refuses new calls and waits until the calls in flight have ended.
func (server *Server) Close() error {
	server.init()
	server.mu.Lock()
	server.closed = true
	server.mu.Unlock()
	server.inFlight.Wait()
	return nil
}

// admit adds a call to the calls in flight, or returns the reason for refusing it. An admitted call must end with
// finish.
func (server *Server) admit() *fault.Error {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.closed {
		return fault.New(fault.Draining, "the process is stopping").WithRetryAfter(refusalRetryAfter)
	}
	if server.serving.Load() >= int64(server.MaxConcurrent) {
		return fault.New(fault.QueueFull, "%d calls are being served", server.MaxConcurrent).
			WithRetryAfter(refusalRetryAfter)
	}
	server.serving.Add(1)
	server.inFlight.Add(1)
	return nil
}

func (server *Server) finish() {
	server.serving.Add(-1)
	server.inFlight.Done()
}

// guard checks a call before connect decodes its message: the number of concurrent calls, the bearer token, and the
// size and JSON encoding of the message. It passes the call to inner, or refuses it if a check fails.
func (server *Server) guard(writer http.ResponseWriter, request *http.Request, inner http.Handler) {
	if problem := server.admit(); problem != nil {
		server.refuse(writer, request, "", problem)
		return
	}
	defer server.finish()
	config := server.Configs.Current()
	if config == nil {
		server.refuse(writer, request, "", fault.New(fault.Starting, "there is no configuration yet").
			WithRetryAfter(refusalRetryAfter))
		return
	}
	organisation, problem := server.credentials.identify(config, request.Header.Get(authorisationHeader))
	if problem != nil {
		server.refuse(writer, request, "", problem)
		return
	}
	if problem := server.checkMessage(writer, request); problem != nil {
		server.refuse(writer, request, organisation, problem)
		return
	}
	ctx := context.WithValue(request.Context(), identityKey{}, identity{organisation: organisation, config: config})
	inner.ServeHTTP(writer, request.WithContext(ctx))
}

// refuse responds to a call that is not served, in the protocol of the request if connect supports it and as plain
// HTTP otherwise.
func (server *Server) refuse(
	writer http.ResponseWriter, request *http.Request, id fleet.OrganisationID, problem *fault.Error,
) {
	server.recordRefusal(id, "", problem)
	failure := errorOf(problem)
	if !server.errors.IsSupported(request) {
		for name, values := range failure.Meta() {
			writer.Header()[name] = values
		}
		http.Error(writer, problem.Error(), fault.AnswerFor(problem.Kind).HTTP)
		return
	}
	_ = server.errors.Write(writer, request, failure)
}

func (server *Server) recordRefusal(id fleet.OrganisationID, request string, problem *fault.Error) {
	gometrics.GetOrRegisterCounter(
		metrics.Name("caller.refusals", "kind", string(problem.Kind), "organisation", string(id)), server.Metrics,
	).Inc(1)
	server.Logger.Info("call refused", "organisation", id, "request", request, "kind", problem.Kind,
		"field", problem.Field, "reason", problem.Reason, "revision", server.revision())
}

func (server *Server) revision() fleet.Revision {
	if config := server.Configs.Current(); config != nil {
		return config.Revision
	}
	return 0
}
