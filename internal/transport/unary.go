package transport

import (
	"context"

	"connectrpc.com/connect"
)

// CallUnary calls a function with the message of a request and wraps its response. It adapts functions on plain messages
// to the generated interfaces.
func CallUnary[Request, Response any](
	ctx context.Context, request *connect.Request[Request],
	call func(context.Context, *Request) (*Response, error),
) (*connect.Response[Response], error) {
	response, err := call(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}
