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

// balancer simulates the platform's load balancer, which distributes calls unevenly among the processes that passed the
// last health check.
type balancer struct {
	mu      sync.Mutex
	random  *rand.Rand
	clients []callerClient
}

// callerClient holds the clients of one entry process.
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

// set replaces the processes that receive calls.
func (balancer *balancer) set(clients []callerClient) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.clients = clients
}

// pick returns a random process, or false if there is none. It favours the first half of the list: one call in three is
// sent to that half only, the other calls to any process.
func (balancer *balancer) pick() (callerClient, bool) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	count := len(balancer.clients)
	if count == 0 {
		return callerClient{}, false
	}
	candidates := count
	if balancer.random.IntN(3) == 0 {
		candidates = max(1, count/2)
	}
	return balancer.clients[balancer.random.IntN(candidates)], true
}

// tokenKey is the context key of the token that the interceptor adds to a call.
type tokenKey struct{}

// withOrganisation returns a context whose calls are authenticated with the token of an organisation.
func withOrganisation(ctx context.Context, id fleet.OrganisationID) context.Context {
	return context.WithValue(ctx, tokenKey{}, examples.Token(id))
}

// tokenInterceptor adds the token of the context to the header of each call.
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
