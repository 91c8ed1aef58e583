package transport_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/transport"
)

// authority signs certificates for the tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	text        []byte
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write writes a certificate signed by the authority, its key and the authority itself to folder.
func (authority authority) write(t *testing.T, folder string) []string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	texts := [][]byte{
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		authority.text,
	}
	paths := make([]string, len(texts))
	for i, name := range []string{"certificate.pem", "key.pem", "authority.pem"} {
		paths[i] = filepath.Join(folder, name)
		if err := os.WriteFile(paths[i], texts[i], 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

func loadKeys(t *testing.T, paths []string) *transport.Keys {
	t.Helper()
	keys, err := transport.NewKeys(paths[0], paths[1], paths[2])
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// reach reports whether a client with one set of keys gets an answer from the address.
func reach(address string, config *tls.Config) bool {
	client := transport.NewHTTPClient(config)
	defer client.CloseIdleConnections()
	response, err := client.Get(transport.BaseURL(address, config))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// Guards against a stranger with a certificate of another authority, or with none, that is served, and against keys
// that need a restart to be replaced.
func TestMutualTLS(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	clock := time.Now()
	keys := loadKeys(t, first.write(t, folder))
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
	friend := loadKeys(t, first.write(t, t.TempDir())).Config()
	stranger := loadKeys(t, second.write(t, t.TempDir())).Config()

	if !reach(address, friend) {
		t.Error("a process with a certificate of the authority is not served")
	}
	if reach(address, stranger) {
		t.Error("a process with a certificate of another authority is served")
	}
	if reach(address, &tls.Config{InsecureSkipVerify: true}) {
		t.Error("a process without a certificate is served")
	}

	paths := second.write(t, folder)
	clock = clock.Add(time.Minute)
	for _, path := range paths {
		if err := os.Chtimes(path, clock, clock); err != nil {
			t.Fatal(err)
		}
	}
	if !reach(address, stranger) {
		t.Error("the replaced keys are not in use")
	}
	if reach(address, friend) {
		t.Error("the former authority is still trusted")
	}
}
