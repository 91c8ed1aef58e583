// Package transport builds the HTTP clients and servers that the processes use between themselves.
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
	// PingIdle is the time without a frame after which a connection is checked by an HTTP/2 ping.
	PingIdle = time.Second
	// PingTimeout is the time within which a ping must be answered, else the connection is closed.
	PingTimeout = 2 * time.Second

	dialTimeout       = time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
	maxStreams        = 1000
)

// DialFunc opens a connection; it has the form of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewHTTPClient returns a client that speaks HTTP/2, with TLS if config is given and without it otherwise.
// It closes a connection that does not answer a ping, which ends the requests on it with an error.
func NewHTTPClient(config *tls.Config) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewHTTPClientWithDial(config, dialer.DialContext)
}

// NewHTTPClientWithDial is NewHTTPClient with its own way to open connections.
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

// NewServer returns a server for handler that matches NewHTTPClient. Both keep a copy of config, which net/http changes. With TLS it is started by ServeTLS with
// empty file names, without TLS by Serve.
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

// BaseURL returns the URL of a process at address.
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

// Uncompressed keeps the other side from compressing its answers. The messages between processes and with workers
// have some 100 bytes, for which compression costs more processor time than the whole call.
func Uncompressed() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// Serve serves with TLS if the server has a configuration for it, until the server is closed.
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
