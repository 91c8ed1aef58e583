// Package handover ends the lease of a term through another entry process, when the store refuses the holder but serves
// others. Without it nobody decides until the lease ends by itself.
package handover

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/keyvalue"
)

const (
	// leaseHeader carries the lease that is to end. Requests of callers never have it: the relay removes it.
	leaseHeader = "Quetzalstall-End-Lease"
	// tryTimeout bounds one try at another process, so that a holder that reaches none renews its lease in time.
	tryTimeout = 150 * time.Millisecond
	// storeTimeout bounds the call to the store that another process makes.
	storeTimeout = 600 * time.Millisecond
	// mostTries is how many processes are asked.
	mostTries = 2
)

// Client asks other processes. Its fields are set before the first call.
type Client struct {
	// Peers returns the addresses of other processes.
	Peers func() []string
	HTTP  *http.Client
}

// RevokeLease ends a lease through the first process that can. After an error the lease may have ended all the same.
func (client *Client) RevokeLease(ctx context.Context, lease keyvalue.LeaseID) error {
	peers := client.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other process is known")
	for _, peer := range peers[:min(len(peers), mostTries)] {
		if err = client.ask(ctx, peer, lease); err == nil {
			return nil
		}
	}
	return err
}

func (client *Client) ask(ctx context.Context, peer string, lease keyvalue.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+"/", nil)
	if err != nil {
		return errors.Wrap(err, "ask another process")
	}
	request.Header.Set(leaseHeader, strconv.FormatInt(int64(lease), 10))
	response, err := client.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask another process")
	}
	defer response.Body.Close()
	// An unread body would keep the connection from being used again.
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("ask another process: status %d", response.StatusCode)
	}
	return nil
}

// Handler ends leases for other processes and passes every other request to Next. Its fields are set before the first
// request.
type Handler struct {
	Next   http.Handler
	Store  keyvalue.Store
	Logger hclog.Logger
}

// ServeHTTP answers one request of another process.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	text := call.Header.Get(leaseHeader)
	if text == "" {
		handler.Next.ServeHTTP(writer, call)
		return
	}
	lease, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(call.Context(), storeTimeout)
	defer cancel()
	err = handler.Store.Revoke(ctx, keyvalue.LeaseID(lease))
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		handler.Logger.Warn("lease not ended for another process", "lease", lease, "error", err.Error())
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handler.Logger.Info("lease ended for another process", "lease", lease)
	writer.WriteHeader(http.StatusNoContent)
}

// RemoveLeaseHeader removes what only other processes may send from a request of a caller that is passed on to one.
func RemoveLeaseHeader(header http.Header) { header.Del(leaseHeader) }
