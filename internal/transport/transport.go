// Package transport creates the HTTP clients and servers for calls between processes.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

const (
	// PingIdle is the time without a received frame after which an HTTP/2 ping checks the connection.
	PingIdle = time.Second
	// PingTimeout is the time after which a connection is closed if the ping is not acknowledged.
	PingTimeout = 2 * time.Second

	dialTimeout       = time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
	maxStreams        = 1000
)

// DialFunc opens a connection. It has the signature of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns an HTTP/2 client, with TLS if config is not nil and without TLS otherwise. The client closes
// a connection on which a ping is not acknowledged, so that requests on it return an error.
func NewHTTPClient(config *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewHTTPClientWithDial(config, dialer.DialContext)
}

// NewHTTPClientWithDial returns the same client as NewHTTPClient, except that it opens connections with dial.
func NewHTTPClientWithDial(config *tls.Config, dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		TLSClientConfig:     config.Clone(),
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols(config),
		HTTP2:               http2Config(),
	}}
}

// NewServer returns a server for the clients of NewHTTPClient. It also accepts HTTP/1.1. NewServer and NewHTTPClient
// each copy config, because net/http modifies it. Start the server with the function Serve of this package, which calls
// ServeTLS with empty file names if config is not nil, and the method Serve otherwise.
func NewServer(handler http.Handler, config *tls.Config) *http.Server {
	serverProtocols := protocols(config)
	serverProtocols.SetHTTP1(true)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config.Clone(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         serverProtocols,
		HTTP2:             http2Config(),
	}
}

// BaseURL returns the URL of a process at address: https if config is not nil, http otherwise.
func BaseURL(address string, config *tls.Config) string {
	if config != nil {
		return "https://" + address
	}
	return "http://" + address
}

func protocols(config *tls.Config) *http.Protocols {
	set := new(http.Protocols)
	set.SetHTTP2(config != nil)
	set.SetUnencryptedHTTP2(config == nil)
	return set
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      PingIdle,
		PingTimeout:          PingTimeout,
		WriteByteTimeout:     PingIdle + PingTimeout,
	}
}

// Uncompressed is a client option that makes the server send its responses uncompressed. The messages between processes
// and to and from workers have about 100 bytes. Their compression takes more processor time than the rest of the call.
func Uncompressed() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// Serve runs the server until it is closed, with TLS if the server has a TLS configuration.
func Serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig == nil {
		err = server.Serve(listener)
	} else {
		err = server.ServeTLS(listener, "", "")
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", listener.Addr())
}
