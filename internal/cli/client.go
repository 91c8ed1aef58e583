package cli

import (
	"context"
	"flag"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1/callerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1/operatorv1connect"
)

// tokenVariable is the environment variable with the bearer token. A flag would expose the token in the process list.
const tokenVariable = "QUETZALSTALL_TOKEN"

// server is the entry process to which a command connects.
type server struct {
	address string
	timeout time.Duration
}

func (server *server) addFlags(flags *flag.FlagSet) {
	flags.StringVar(
		&server.address, "server", "127.0.0.1:10001",
		"ip:port of an entry process; the bearer token is read from $"+tokenVariable,
	)
	flags.DurationVar(&server.timeout, "timeout", 10*time.Second, "time limit of the command")
}

func (server *server) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, server.timeout)
}

func (server *server) callerClient() callerv1connect.CallerServiceClient {
	return callerv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+server.address, withToken())
}

func (server *server) operatorClient() operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+server.address, withToken())
}

// withToken adds the bearer token from the environment variable tokenVariable to every call.
func withToken() connect.Option {
	token := os.Getenv(tokenVariable)
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				request.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, request)
		}
	}))
}

// call makes one unary call with the command's timeout and returns the response message.
func call[Request, Response any](ctx context.Context, server *server,
	method func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error), request *Request,
) (*Response, error) {
	ctx, cancel := server.withTimeout(ctx)
	defer cancel()
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrapf(err, "server %s", server.address)
	}
	return response.Msg, nil
}
