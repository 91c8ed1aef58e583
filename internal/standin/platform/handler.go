package platform

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
)

type storeHandler struct{ platform *Platform }

// Get returns an entry.
func (handler storeHandler) Get(
	ctx context.Context, request *connect.Request[platformv1.GetRequest],
) (*connect.Response[platformv1.GetResponse], error) {
	entry, err := handler.platform.get(ctx, request.Msg.GetKey())
	return answer(&platformv1.GetResponse{Entry: entry}, err)
}

// List returns a page of entries.
func (handler storeHandler) List(
	ctx context.Context, request *connect.Request[platformv1.ListRequest],
) (*connect.Response[platformv1.ListResponse], error) {
	response, err := handler.platform.list(ctx, request.Msg)
	return answer(response, err)
}

// Swap writes a value by compare-and-swap.
func (handler storeHandler) Swap(
	_ context.Context, request *connect.Request[platformv1.SwapRequest],
) (*connect.Response[platformv1.SwapResponse], error) {
	response, err := handler.platform.swap(request.Msg)
	return answer(response, err)
}

// Delete removes a key.
func (handler storeHandler) Delete(
	_ context.Context, request *connect.Request[platformv1.DeleteRequest],
) (*connect.Response[platformv1.DeleteResponse], error) {
	response, err := handler.platform.remove(request.Msg)
	return answer(response, err)
}

// Watch streams changes.
func (handler storeHandler) Watch(
	ctx context.Context, request *connect.Request[platformv1.WatchRequest],
	stream *connect.ServerStream[platformv1.WatchResponse],
) error {
	return protocolError(handler.platform.watch(ctx, request.Msg, stream.Send))
}

type vmListHandler struct{ platform *Platform }

// ListVMs returns the lagging list.
func (handler vmListHandler) ListVMs(
	_ context.Context, request *connect.Request[platformv1.ListVMsRequest],
) (*connect.Response[platformv1.ListVMsResponse], error) {
	response, err := handler.platform.listVMs(request.Msg.GetKnownRevision())
	return answer(response, err)
}

func answer[T any](message *T, err error) (*connect.Response[T], error) {
	if errors.Is(err, errAnswerLost) {
		// Ends the stream without an answer, as a broken connection does.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return nil, protocolError(err)
	}
	return connect.NewResponse(message), nil
}

func protocolError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errDown):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, errLimited):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.Is(err, errTooLarge):
		return connect.NewError(connect.CodeInvalidArgument, err)
	default:
		return err
	}
}
