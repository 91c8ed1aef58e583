package transport_test

import (
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/standin/authority"
	"github.com/quetzalstall/quetzalstall/internal/transport"
)

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	made, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func issue(t *testing.T, from *authority.Authority, folder string) authority.Files {
	t.Helper()
	files, err := from.Issue(folder)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func loadKeys(t *testing.T, files authority.Files) *transport.Keys {
	t.Helper()
	keys, err := transport.NewKeys(files.Certificate, files.Key, files.Authority)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// canReach reports whether a client with the given TLS configuration gets a response from the address.
func canReach(address string, config *tls.Config) bool {
	client := transport.NewHTTPClient(config)
	defer client.CloseIdleConnections()
	response, err := client.Get(transport.BaseURL(address, config))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// Guards against a server that responds to a client without a certificate or with a certificate of another authority,
// and against replaced key files that take effect only after a restart.
func TestMutualTLS(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	clock := time.Now()
	keys := loadKeys(t, issue(t, first, folder))
	keys.Now = func() time.Time { return clock }
	server := transport.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNoContent)
	}), keys.Config())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	defer server.Close()
	address := listener.Addr().String()
	trusted := loadKeys(t, issue(t, first, t.TempDir())).Config()
	untrusted := loadKeys(t, issue(t, second, t.TempDir())).Config()

	if !canReach(address, trusted) {
		t.Error("a process with a certificate of the authority is not served")
	}
	if canReach(address, untrusted) {
		t.Error("a process with a certificate of another authority is served")
	}
	if canReach(address, &tls.Config{InsecureSkipVerify: true}) {
		t.Error("a process without a certificate is served")
	}

	replaced := issue(t, second, folder)
	clock = clock.Add(time.Minute)
	for _, path := range []string{replaced.Certificate, replaced.Key, replaced.Authority} {
		if err := os.Chtimes(path, clock, clock); err != nil {
			t.Fatal(err)
		}
	}
	if !canReach(address, untrusted) {
		t.Error("a certificate of the new authority is refused after the files were replaced")
	}
	if canReach(address, trusted) {
		t.Error("the previous authority is still trusted after the files were replaced")
	}
}
