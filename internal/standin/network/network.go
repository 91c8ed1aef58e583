// Package network is an in-memory network for tests. It uses no sockets, so that it works with the fake clock of
// testing/synctest, and it can make connections silent.
package network

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrRefused means that there is no listener at the address.
var ErrRefused = errors.New("connection refused")

// Network connects dialers to the listeners at their addresses.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	dials     int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]struct{}{}}
}

// Listen returns a listener at address. It replaces an earlier listener at the same address.
func (network *Network) Listen(address string) net.Listener {
	network.mu.Lock()
	defer network.mu.Unlock()
	created := &listener{network: network, address: address, accepted: make(chan net.Conn), done: make(chan struct{})}
	network.listeners[address] = created
	return created
}

// Dial opens a connection to the listener at address; it has the signature of http.Transport.DialContext.
func (network *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	network.mu.Lock()
	listener, ok := network.listeners[address]
	network.mu.Unlock()
	if !ok {
		return nil, refusedError(address)
	}
	near, far := net.Pipe()
	client := &conn{Conn: near, network: network, silent: make(chan struct{}), closed: make(chan struct{})}
	select {
	case listener.accepted <- far:
	case <-listener.done:
		return nil, refusedError(address)
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	network.dials++
	network.conns[client] = struct{}{}
	return client, nil
}

// Dials returns the number of connections opened so far.
func (network *Network) Dials() int {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.dials
}

// Silence makes every open connection permanently silent: bytes are discarded and no error is reported. Connections
// that are opened later work.
func (network *Network) Silence() {
	network.mu.Lock()
	defer network.mu.Unlock()
	for client := range network.conns {
		close(client.silent)
		delete(network.conns, client)
	}
}

func refusedError(address string) error {
	return &net.OpError{Op: "dial", Net: "memory", Err: errors.Wrap(ErrRefused, address)}
}

// listener accepts the connections to one address.
type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-listener.accepted:
		return accepted, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; its connections stay open.
func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.done)
		listener.network.mu.Lock()
		defer listener.network.mu.Unlock()
		if listener.network.listeners[listener.address] == listener {
			delete(listener.network.listeners, listener.address)
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (listener *listener) Addr() net.Addr { return address(listener.address) }

// address is the name under which a listener is dialled, as a net.Addr.
type address string

func (address) Network() string     { return "memory" }
func (name address) String() string { return string(name) }

// conn is the client's end of a connection. Only this end becomes silent.
type conn struct {
	net.Conn
	network *Network
	silent  chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// Read discards the bytes that arrive after the connection became silent, and then blocks until Close.
func (client *conn) Read(buffer []byte) (int, error) {
	count, err := client.Conn.Read(buffer)
	select {
	case <-client.silent:
		<-client.closed
		return 0, net.ErrClosed
	default:
		return count, err
	}
}

// Write discards the bytes and reports success after the connection became silent.
func (client *conn) Write(data []byte) (int, error) {
	select {
	case <-client.silent:
		return len(data), nil
	default:
		return client.Conn.Write(data)
	}
}

// Close closes the connection for both ends.
func (client *conn) Close() error {
	client.once.Do(func() {
		close(client.closed)
		client.network.mu.Lock()
		defer client.network.mu.Unlock()
		delete(client.network.conns, client)
	})
	return client.Conn.Close()
}
