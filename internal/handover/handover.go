// Package handover revokes the lease of a term through another entry process. The holder of the term, which is the
// process that makes the scheduling decisions, uses this package when the store refuses the holder but serves other
// processes. Otherwise no process could take the term and schedule jobs until the lease expires.
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
	// leaseHeader is the header with the id of the lease to revoke. The relay removes it from requests of callers.
	leaseHeader = "Quetzalstall-End-Lease"
	// peerTimeout limits the call to one peer, so that a holder that reaches no peer can still renew its lease in time.
	peerTimeout = 150 * time.Millisecond
	// storeTimeout limits the call to the store that the peer makes.
	storeTimeout = 600 * time.Millisecond
	// maxPeers is the maximum number of peers that a call of RevokeLease tries.
	maxPeers = 2
)

// Client revokes leases through other processes. Its fields are set before the first call.
type Client struct {
	// Peers returns the addresses of the other processes.
	Peers func() []string
	HTTP  *http.Client
}

// RevokeLease revokes a lease through the first peer that succeeds. If it returns an error, the lease may have been
// revoked nevertheless.
func (client *Client) RevokeLease(ctx context.Context, lease keyvalue.LeaseID) error {
	peers := client.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other process is known")
	for _, peer := range peers[:min(len(peers), maxPeers)] {
		if err = client.revokeThrough(ctx, peer, lease); err == nil {
			return nil
		}
	}
	return err
}

// revokeThrough asks one peer to revoke a lease.
func (client *Client) revokeThrough(ctx context.Context, peer string, lease keyvalue.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+"/", nil)
	if err != nil {
		return errors.Wrap(err, "revoke a lease through another process")
	}
	request.Header.Set(leaseHeader, strconv.FormatInt(int64(lease), 10))
	response, err := client.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "revoke a lease through another process")
	}
	defer response.Body.Close()
	// The connection is reused only if the body has been read.
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("revoke a lease through another process: status %d", response.StatusCode)
	}
	return nil
}

// Handler revokes leases for other processes and passes all other requests to Next. Its fields are set before the first
// request.
type Handler struct {
	Next   http.Handler
	Store  keyvalue.Store
	Logger hclog.Logger
}

// ServeHTTP revokes the lease that the request names, or passes the request to Next if it names none.
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
		handler.Logger.Warn("failed to revoke a lease for another process", "lease", lease, "error", err.Error())
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	handler.Logger.Info("revoked a lease for another process", "lease", lease)
	writer.WriteHeader(http.StatusNoContent)
}

// RemoveLeaseHeader removes the header that revokes a lease. The relay calls it on requests of callers before it
// forwards them to another process, because callers must not revoke leases.
func RemoveLeaseHeader(header http.Header) { header.Del(leaseHeader) }
