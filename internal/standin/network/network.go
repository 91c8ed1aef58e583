// Package network is an in-memory network for tests: it crosses no socket, so it runs on a fake clock, and its
// connections can go silent.
package network

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrRefused means that nothing listens at the address.
var ErrRefused = errors.New("connection refused")

// Network connects dialers to listeners by address.
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

// Listen returns a listener at address and replaces the former one.
func (network *Network) Listen(address string) net.Listener {
	network.mu.Lock()
	defer network.mu.Unlock()
	created := &listener{network: network, address: address, accepted: make(chan net.Conn), done: make(chan struct{})}
	network.listeners[address] = created
	return created
}

// Dial opens a connection to the listener at address; it has the form of http.Transport.DialContext.
func (network *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	network.mu.Lock()
	target, ok := network.listeners[address]
	network.mu.Unlock()
	if !ok {
		return nil, refusedError(address)
	}
	near, far := net.Pipe()
	client := &conn{Conn: near, network: network, silent: make(chan struct{}), closed: make(chan struct{})}
	select {
	case target.accepted <- far:
	case <-target.done:
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

// Silence makes every open connection silent for good: bytes go nowhere and no error is reported. Connections
// opened later work.
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

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (owner *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-owner.accepted:
		return accepted, nil
	case <-owner.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; its open connections stay.
func (owner *listener) Close() error {
	owner.once.Do(func() {
		close(owner.done)
		owner.network.mu.Lock()
		defer owner.network.mu.Unlock()
		if owner.network.listeners[owner.address] == owner {
			delete(owner.network.listeners, owner.address)
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (owner *listener) Addr() net.Addr { return address(owner.address) }

type address string

func (address) Network() string     { return "memory" }
func (name address) String() string { return string(name) }

// conn is the client's end of a connection.
type conn struct {
	net.Conn
	network *Network
	silent  chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// Read drops what arrives after the connection went silent.
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

// Write pretends to send once the connection is silent.
func (client *conn) Write(data []byte) (int, error) {
	select {
	case <-client.silent:
		return len(data), nil
	default:
		return client.Conn.Write(data)
	}
}

// Close ends the connection on both ends.
func (client *conn) Close() error {
	client.once.Do(func() {
		close(client.closed)
		client.network.mu.Lock()
		defer client.network.mu.Unlock()
		delete(client.network.conns, client)
	})
	return client.Conn.Close()
}
