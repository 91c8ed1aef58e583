package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// A connection that receives nothing for sendPingTimeout is asked for a sign of life and closed when none
	// comes within pingTimeout: a silent connection is found in 3 s.
	sendPingTimeout = time.Second
	pingTimeout     = 2 * time.Second
	// A healthy connection receives an answer to a ping at least every sendPingTimeout; one that is quiet for
	// longer than quietTimeout gets no new requests.
	quietTimeout = 1500 * time.Millisecond
	dialTimeout  = 2 * time.Second
	// The target learns of the end of a silent connection by its own pings only, so its place counts as taken.
	silentLinger = 5 * time.Second
)

var errNoConnection = errors.New("no connection of this seat's share is free")

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the connections to one target. Their number never exceeds the share of the own seat.
type pool struct {
	address string
	dial    dialFunc
	// opened counts the connections ever opened, silent those that were closed for silence.
	opened, silent func()

	mu    sync.Mutex
	limit int
	open  []*link
	// lingering holds the times at which silent connections stop counting.
	lingering []time.Time
	// dialing is closed at the end of the dial in progress; nil when there is none.
	dialing chan struct{}
	closed  bool
}

// link is one connection and what passed on it.
type link struct {
	net.Conn
	client *http.ClientConn
	// lastRead is the time of the last received byte in nanoseconds since the epoch.
	lastRead atomic.Int64
	// ready is closed with the first received byte or the end of the connection.
	ready     chan struct{}
	readyOnce sync.Once
	// retired is set when the connection gets no new requests.
	retired atomic.Bool
	ended   atomic.Bool
	// endedQuiet is set when the connection was closed after a silence.
	endedQuiet atomic.Bool
}

// Read notes the time of each received byte.
func (link *link) Read(p []byte) (int, error) {
	n, err := link.Conn.Read(p)
	if n > 0 {
		link.lastRead.Store(time.Now().UnixNano())
		link.readyOnce.Do(func() { close(link.ready) })
	}
	return n, err
}

// Close ends the connection.
func (link *link) Close() error {
	if link.quiet(time.Now()) {
		link.endedQuiet.Store(true)
	}
	link.ended.Store(true)
	link.readyOnce.Do(func() { close(link.ready) })
	return link.Conn.Close()
}

func (link *link) quiet(now time.Time) bool {
	return now.Sub(time.Unix(0, link.lastRead.Load())) > quietTimeout
}

func (link *link) dead() bool {
	return link.ended.Load() || link.client.Err() != nil
}

// retire closes the connection once the requests on it have ended.
func (link *link) retire() { link.retired.Store(true) }

// reserve returns a connection with room for one request, and opens one if need be.
func (pool *pool) reserve(ctx context.Context) (*link, error) {
	for {
		reserved, wait, err := pool.tryReserve()
		if reserved != nil || err != nil {
			return reserved, err
		}
		if wait == nil {
			if err := pool.connect(ctx); err != nil {
				return nil, err
			}
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for a connection")
		}
	}
}

// tryReserve returns a reserved connection; or a dial to wait for; or nothing when the caller must dial, which it
// has claimed by then.
func (pool *pool) tryReserve() (*link, chan struct{}, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	pool.sweep(now)
	for _, link := range pool.open {
		if link.retired.Load() || link.quiet(now) {
			continue
		}
		if link.client.Reserve() == nil {
			return link, nil, nil
		}
	}
	if pool.dialing != nil {
		return nil, pool.dialing, nil
	}
	if pool.closed || len(pool.open)+len(pool.lingering) >= pool.limit {
		return nil, nil, errNoConnection
	}
	pool.dialing = make(chan struct{})
	return nil, nil, nil
}

// sweep drops connections that have ended. It needs the lock.
func (pool *pool) sweep(now time.Time) {
	kept := pool.open[:0]
	for _, link := range pool.open {
		switch {
		case link.dead():
			if link.endedQuiet.Load() {
				pool.lingering = append(pool.lingering, now.Add(silentLinger))
				pool.silent()
			}
		case link.retired.Load() && link.client.InFlight() == 0:
			_ = link.client.Close()
		default:
			kept = append(kept, link)
		}
	}
	clear(pool.open[len(kept):])
	pool.open = kept
	for len(pool.lingering) > 0 && !now.Before(pool.lingering[0]) {
		pool.lingering = pool.lingering[1:]
	}
}

// connect dials one connection that tryReserve claimed.
func (pool *pool) connect(ctx context.Context) error {
	// The dial serves all requests to this target, so it does not end with the first of them.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	opened, err := pool.dialLink(ctx)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	close(pool.dialing)
	pool.dialing = nil
	if err != nil {
		return err
	}
	if pool.closed {
		_ = opened.client.Close()
		return errNoConnection
	}
	pool.open = append(pool.open, opened)
	return nil
}

func (pool *pool) dialLink(ctx context.Context) (*link, error) {
	opened := &link{ready: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := pool.dial(ctx, network, address)
			opened.Conn = inner
			opened.lastRead.Store(time.Now().UnixNano())
			return opened, err
		},
	}
	client, err := transport.NewClientConn(ctx, "http", pool.address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", pool.address)
	}
	opened.client = client
	// A target at its limit of connections accepts and closes at once; its first bytes prove that it serves.
	select {
	case <-opened.ready:
	case <-ctx.Done():
	}
	if ctx.Err() != nil || opened.dead() {
		_ = client.Close()
		return nil, errors.Errorf("connect to %s: the target closed the connection or stayed silent", pool.address)
	}
	pool.opened()
	return opened, nil
}

// keep opens a connection when none is usable, and retires connections beyond the first that carry nothing.
func (pool *pool) keep(ctx context.Context) error {
	reserved, err := pool.reserve(ctx)
	if err != nil {
		return err
	}
	reserved.client.Release()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, link := range pool.open {
		if link != reserved && link.client.InFlight() == 0 {
			link.retire()
		}
	}
	pool.sweep(time.Now())
	return nil
}

// needsConnection reports whether keep would dial.
func (pool *pool) needsConnection() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	pool.sweep(now)
	for _, link := range pool.open {
		if !link.retired.Load() && !link.quiet(now) {
			return len(pool.open) > 1
		}
	}
	return pool.dialing == nil
}

func (pool *pool) setLimit(limit int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.limit = limit
	for i := limit; i < len(pool.open); i++ {
		pool.open[i].retire()
	}
	pool.sweep(time.Now())
}

// count returns the connections that count against the share.
func (pool *pool) count() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.sweep(time.Now())
	count := len(pool.open) + len(pool.lingering)
	if pool.dialing != nil {
		count++
	}
	return count
}

// close ends all connections; requests on them are interrupted.
func (pool *pool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	for _, link := range pool.open {
		_ = link.client.Close()
	}
	pool.open = nil
}
