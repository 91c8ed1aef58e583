package formerterm

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
	"github.com/quetzalstall/quetzalstall/internal/lifecycle"
)

const (
	// statusHeader is the header of a request for the status of a process. The relay removes it from requests of callers.
	statusHeader = "Quetzalstall-Term-Status"
	// askInterval is the interval at which the former holders are asked, and askTimeout the limit for one of them.
	askInterval = 300 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// maxStatusBytes limits the response that is read.
	maxStatusBytes = 4096
)

// Handler tells other processes the status of this one, and passes all other requests to Next. Its fields are set before the
// first request.
type Handler struct {
	Next   http.Handler
	Status func() Status
}

// ServeHTTP responds with the status if the request asks for it, or passes the request to Next.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	if call.Header.Get(statusHeader) == "" {
		handler.Next.ServeHTTP(writer, call)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the connection has ended. Then nobody can receive the error.
	_ = json.NewEncoder(writer).Encode(handler.Status())
}

// RemoveStatusHeader removes the header that asks for the status. The relay calls it on requests of callers before it
// forwards them to another process.
func RemoveStatusHeader(header http.Header) { header.Del(statusHeader) }

// Prover asks the holders of former terms whether they have ceased to send orders. Its fields are set before Run.
type Prover struct {
	History *History
	// Status returns the status of this process, which may have held former terms itself.
	Status func() Status
	HTTP   *http.Client
	Logger hclog.Logger
}

// Run asks the holders of the terms before the one with the token, until all of them have proven that they send no orders,
// their leases are over, or ctx ends.
func (prover *Prover) Run(ctx context.Context, token keyvalue.Revision) {
	for ctx.Err() == nil {
		holders, observed := prover.History.unproven(token)
		if observed && len(holders) == 0 {
			return
		}
		var asked sync.WaitGroup
		for _, former := range holders {
			asked.Go(func() { prover.ask(ctx, former) })
		}
		asked.Wait()
		_ = lifecycle.Sleep(ctx, askInterval)
	}
}

func (prover *Prover) ask(ctx context.Context, former former) {
	own := prover.Status()
	status, err := own, error(nil)
	if own.Instance != former.holder.Instance {
		status, err = prover.request(ctx, former.holder.Address)
	}
	if err != nil {
		return
	}
	now := prover.History.Clock()
	at, proven := lastOrder(former, status, now)
	if !proven {
		return
	}
	prover.History.prove(former, at)
	prover.Logger.Info("former controller sends no more orders", "name", former.holder.Name, "token", int64(former.token),
		"ended", status.Instance != former.holder.Instance, "last_order_ms", (now - at).Milliseconds())
}

// request asks the process at an address for its status.
func (prover *Prover) request(ctx context.Context, address string) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return Status{}, errors.Wrap(err, "request the status of a former controller")
	}
	request.Header.Set(statusHeader, "1")
	response, err := prover.HTTP.Do(request)
	if err != nil {
		return Status{}, errors.Wrap(err, "request the status of a former controller")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return Status{}, errors.Wrap(err, "request the status of a former controller")
	}
	if response.StatusCode != http.StatusOK {
		return Status{}, errors.Errorf("request the status of a former controller: status %d", response.StatusCode)
	}
	var status Status
	return status, errors.Wrap(json.Unmarshal(body, &status), "request the status of a former controller")
}
