package target

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener limits and counts connections. It can make open connections silent.
type listener struct {
	net.Listener
	target *Target
	mu     sync.Mutex
	open   map[*connection]struct{}
}

func newListener(inner net.Listener, target *Target) *listener {
	return &listener{Listener: inner, target: target, open: map[*connection]struct{}{}}
}

// Accept returns the next connection within the limit of the target and closes connections beyond it at once.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !listener.target.Record.connect(listener.target.ID, listener.target.Connections) {
			_ = inner.Close()
			continue
		}
		conn := &connection{Conn: inner, listener: listener, closed: make(chan struct{})}
		listener.mu.Lock()
		listener.open[conn] = struct{}{}
		listener.mu.Unlock()
		return conn, nil
	}
}

// silence makes up to limit open connections silent and returns the number of connections that it made silent.
func (listener *listener) silence(limit int) int {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	count := 0
	for conn := range listener.open {
		if count == limit {
			break
		}
		if conn.silent.CompareAndSwap(false, true) {
			count++
		}
	}
	return count
}

// closeAll closes every open connection.
func (listener *listener) closeAll() {
	listener.mu.Lock()
	open := make([]*connection, 0, len(listener.open))
	for conn := range listener.open {
		open = append(open, conn)
	}
	listener.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// connection transfers no bytes in either direction after it has become silent, and stays open.
type connection struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read discards the bytes that arrive on a silent connection. It does not report that the peer has closed a silent
// connection until this end is closed, too.
func (conn *connection) Read(p []byte) (int, error) {
	for {
		n, err := conn.Conn.Read(p)
		if !conn.silent.Load() {
			return n, err
		}
		if err != nil {
			<-conn.closed
			return 0, net.ErrClosed
		}
	}
}

// Write discards the bytes that are sent on a silent connection and reports success.
func (conn *connection) Write(p []byte) (int, error) {
	if conn.silent.Load() {
		return len(p), nil
	}
	return conn.Conn.Write(p)
}

// Close closes the connection, so that it no longer counts towards the limit.
func (conn *connection) Close() error {
	err := conn.Conn.Close()
	conn.once.Do(func() {
		close(conn.closed)
		conn.listener.mu.Lock()
		delete(conn.listener.open, conn)
		conn.listener.mu.Unlock()
		conn.listener.target.Record.disconnect(conn.listener.target.ID)
	})
	return err
}
