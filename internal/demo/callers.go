package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/examples"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1/callerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1/operatorv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// balancer stands for the platform's load balancer: it is uneven and learns of ready processes from health checks.
type balancer struct {
	mu      sync.Mutex
	random  *rand.Rand
	clients []callerClient
}

// callerClient reaches one entry process.
type callerClient struct {
	address  string
	caller   callerv1connect.CallerServiceClient
	operator operatorv1connect.OperatorServiceClient
}

func newCallerClient(client *http.Client, address string) callerClient {
	url := "http://" + address
	return callerClient{
		address:  address,
		caller:   callerv1connect.NewCallerServiceClient(client, url, connect.WithInterceptors(tokenInterceptor())),
		operator: operatorv1connect.NewOperatorServiceClient(client, url),
	}
}

// set replaces the processes that get calls.
func (balancer *balancer) set(clients []callerClient) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.clients = clients
}

// pick returns a process; the first half of the list gets two thirds of the calls.
func (balancer *balancer) pick() (callerClient, bool) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	count := len(balancer.clients)
	if count == 0 {
		return callerClient{}, false
	}
	reach := count
	if balancer.random.IntN(3) == 0 {
		reach = max(1, count/2)
	}
	return balancer.clients[balancer.random.IntN(reach)], true
}

// tokenKey carries the organisation of a call to the interceptor.
type tokenKey struct{}

// as returns a context whose calls carry the token of an organisation.
func as(ctx context.Context, id fleet.OrganisationID) context.Context {
	return context.WithValue(ctx, tokenKey{}, examples.Token(id))
}

func tokenInterceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if token, ok := ctx.Value(tokenKey{}).(string); ok {
				request.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, request)
		}
	})
}
