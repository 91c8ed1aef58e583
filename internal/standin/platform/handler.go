package platform

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1"
)

// storeHandler serves the store over Connect.
type storeHandler struct{ platform *Platform }

// Get returns the entry of a key; the response has none if the key does not exist.
func (handler storeHandler) Get(
	ctx context.Context, request *connect.Request[platformv1.GetRequest],
) (*connect.Response[platformv1.GetResponse], error) {
	entry, err := handler.platform.get(ctx, request.Msg.GetKey())
	return newResponse(&platformv1.GetResponse{Entry: entry}, err)
}

// List returns a page of entries.
func (handler storeHandler) List(
	ctx context.Context, request *connect.Request[platformv1.ListRequest],
) (*connect.Response[platformv1.ListResponse], error) {
	response, err := handler.platform.list(ctx, request.Msg)
	return newResponse(response, err)
}

// Swap writes a value by compare-and-swap.
func (handler storeHandler) Swap(
	_ context.Context, request *connect.Request[platformv1.SwapRequest],
) (*connect.Response[platformv1.SwapResponse], error) {
	response, err := handler.platform.swap(request.Msg)
	return newResponse(response, err)
}

// Delete removes a key by compare-and-swap.
func (handler storeHandler) Delete(
	_ context.Context, request *connect.Request[platformv1.DeleteRequest],
) (*connect.Response[platformv1.DeleteResponse], error) {
	response, err := handler.platform.remove(request.Msg)
	return newResponse(response, err)
}

// Watch streams the entries below a prefix and their changes.
func (handler storeHandler) Watch(
	ctx context.Context, request *connect.Request[platformv1.WatchRequest],
	stream *connect.ServerStream[platformv1.WatchResponse],
) error {
	return protocolError(handler.platform.watch(ctx, request.Msg, stream.Send))
}

// vmListHandler serves the VM list over Connect.
type vmListHandler struct{ platform *Platform }

// ListVMs returns the list of VMs. Changes appear in it after the configured lag.
func (handler vmListHandler) ListVMs(
	_ context.Context, request *connect.Request[platformv1.ListVMsRequest],
) (*connect.Response[platformv1.ListVMsResponse], error) {
	response, err := handler.platform.listVMs(request.Msg.GetKnownRevision())
	return newResponse(response, err)
}

// newResponse wraps the result of a call, or converts its error. It ends the stream if the response is to be lost.
func newResponse[T any](message *T, err error) (*connect.Response[T], error) {
	if errors.Is(err, errResponseLost) {
		// The abort ends the HTTP stream without a response, as a broken connection does.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return nil, protocolError(err)
	}
	return connect.NewResponse(message), nil
}

// protocolError converts an error of the stand-in to an error with its Connect code.
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
