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
	// If nothing arrives on a connection for sendPingTimeout, a ping is sent. The connection is closed if no
	// acknowledgement arrives within pingTimeout. A silent connection, on which nothing arrives although it was not
	// closed, is therefore detected within 3 s.
	sendPingTimeout = time.Second
	pingTimeout     = 2 * time.Second
	// On a healthy connection, the acknowledgement of a ping arrives at least every sendPingTimeout. A connection on
	// which nothing arrives for longer than quietTimeout is quiet and gets no new requests.
	quietTimeout = 1500 * time.Millisecond
	dialTimeout  = 2 * time.Second
	// The target detects the end of a silent connection only by its own pings. The connection therefore counts as one
	// of the connections that this process owns for silentLinger after the process closed it.
	silentLinger = 5 * time.Second
)

var errNoConnection = errors.New("no connection of this seat's share is free")

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// pool holds the connections to one target. Their number never exceeds limit, the number of connections that the seat
// of this process owns.
type pool struct {
	address string
	dial    dialFunc
	// onOpened is called for each opened connection, onSilent for each connection that was quiet when it was closed.
	onOpened, onSilent func()

	mu    sync.Mutex
	limit int
	conns []*connection
	// lingering holds the times at which closed silent connections stop counting against limit.
	lingering []time.Time
	// dialing is closed when the dial in progress ends; nil when there is none.
	dialing chan struct{}
	closed  bool
}

// connection is an HTTP/2 connection to a target, with the state by which the pool decides whether to use it.
type connection struct {
	net.Conn
	client *http.ClientConn
	// lastRead is the time of the last received byte in nanoseconds since the epoch.
	lastRead atomic.Int64
	// ready is closed when the first byte is received or the connection ends.
	ready     chan struct{}
	readyOnce sync.Once
	// retired is set when the connection must get no new requests.
	retired atomic.Bool
	closed  atomic.Bool
	// closedQuiet is set if the connection was quiet when it was closed.
	closedQuiet atomic.Bool
}

// Read reads from the connection and records the time of the received bytes.
func (conn *connection) Read(p []byte) (int, error) {
	n, err := conn.Conn.Read(p)
	if n > 0 {
		conn.lastRead.Store(time.Now().UnixNano())
		conn.readyOnce.Do(func() { close(conn.ready) })
	}
	return n, err
}

// Close closes the connection and records whether it was quiet.
func (conn *connection) Close() error {
	if conn.isQuiet(time.Now()) {
		conn.closedQuiet.Store(true)
	}
	conn.closed.Store(true)
	conn.readyOnce.Do(func() { close(conn.ready) })
	return conn.Conn.Close()
}

// isQuiet reports whether nothing was received for longer than quietTimeout.
func (conn *connection) isQuiet(now time.Time) bool {
	return now.Sub(time.Unix(0, conn.lastRead.Load())) > quietTimeout
}

// isClosed reports whether the connection was closed or can no longer carry requests.
func (conn *connection) isClosed() bool {
	return conn.closed.Load() || conn.client.Err() != nil
}

// retire stops new requests on the connection. removeClosed closes the connection when its requests have ended.
func (conn *connection) retire() { conn.retired.Store(true) }

// reserve returns a connection on which a stream is reserved for one request. It opens a connection if necessary.
func (pool *pool) reserve(ctx context.Context) (*connection, error) {
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

// tryReserve returns a reserved connection, or a channel that is closed when the dial in progress ends. If all three
// results are nil, tryReserve has set pool.dialing, and the caller must call connect to open a connection.
func (pool *pool) tryReserve() (*connection, chan struct{}, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	pool.removeClosed(now)
	for _, conn := range pool.conns {
		if conn.retired.Load() || conn.isQuiet(now) {
			continue
		}
		if conn.client.Reserve() == nil {
			return conn, nil, nil
		}
	}
	if pool.dialing != nil {
		return nil, pool.dialing, nil
	}
	if pool.closed || len(pool.conns)+len(pool.lingering) >= pool.limit {
		return nil, nil, errNoConnection
	}
	pool.dialing = make(chan struct{})
	return nil, nil, nil
}

// removeClosed removes closed connections and closes retired connections without requests. A connection that was closed
// while quiet counts against limit until silentLinger has passed. pool.mu must be held.
func (pool *pool) removeClosed(now time.Time) {
	kept := pool.conns[:0]
	for _, conn := range pool.conns {
		switch {
		case conn.isClosed():
			if conn.closedQuiet.Load() {
				pool.lingering = append(pool.lingering, now.Add(silentLinger))
				pool.onSilent()
			}
		case conn.retired.Load() && conn.client.InFlight() == 0:
			_ = conn.client.Close()
		default:
			kept = append(kept, conn)
		}
	}
	clear(pool.conns[len(kept):])
	pool.conns = kept
	for len(pool.lingering) > 0 && !now.Before(pool.lingering[0]) {
		pool.lingering = pool.lingering[1:]
	}
}

// connect opens the connection for which tryReserve has set pool.dialing.
func (pool *pool) connect(ctx context.Context) error {
	// Several requests to this target may wait for this dial, so it does not end with the context of one request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	opened, err := pool.dialConnection(ctx)
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
	pool.conns = append(pool.conns, opened)
	return nil
}

// dialConnection opens a connection and waits until the target has sent its first bytes.
func (pool *pool) dialConnection(ctx context.Context) (*connection, error) {
	opened := &connection{ready: make(chan struct{})}
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
	// A target at its limit of connections accepts a connection and closes it at once. Only bytes from the target prove
	// that it serves the connection.
	select {
	case <-opened.ready:
	case <-ctx.Done():
	}
	if ctx.Err() != nil || opened.isClosed() {
		_ = client.Close()
		return nil, errors.Errorf("connect to %s: the target closed the connection or stayed silent", pool.address)
	}
	pool.onOpened()
	return opened, nil
}

// maintain opens a connection if none can take a request. It keeps one usable connection and retires every other
// connection that carries no requests.
func (pool *pool) maintain(ctx context.Context) error {
	reserved, err := pool.reserve(ctx)
	if err != nil {
		return err
	}
	reserved.client.Release()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, conn := range pool.conns {
		if conn != reserved && conn.client.InFlight() == 0 {
			conn.retire()
		}
	}
	pool.removeClosed(time.Now())
	return nil
}

// needsMaintenance reports whether maintain might open or retire a connection.
func (pool *pool) needsMaintenance() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	pool.removeClosed(now)
	for _, conn := range pool.conns {
		if !conn.retired.Load() && !conn.isQuiet(now) {
			return len(pool.conns) > 1
		}
	}
	return pool.dialing == nil
}

// setLimit sets the number of connections that the seat of this process owns, and retires the connections in excess of
// this number.
func (pool *pool) setLimit(limit int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.limit = limit
	for i := limit; i < len(pool.conns); i++ {
		pool.conns[i].retire()
	}
	pool.removeClosed(time.Now())
}

// count returns the number of connections that count against limit: open ones, those closed while quiet less than
// silentLinger ago, and the one being dialled.
func (pool *pool) count() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.removeClosed(time.Now())
	count := len(pool.conns) + len(pool.lingering)
	if pool.dialing != nil {
		count++
	}
	return count
}

// close closes all connections, which interrupts the requests on them.
func (pool *pool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	for _, conn := range pool.conns {
		_ = conn.client.Close()
	}
	pool.conns = nil
}
