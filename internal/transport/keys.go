package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// keyCheckInterval is the minimum time between two checks of the key files for a change.
const keyCheckInterval = time.Second

// Keys holds the certificate, the private key and the certificate authority for mutual TLS. It reloads them when their
// files change.
type Keys struct {
	CertificateFile, KeyFile, AuthorityFile string
	// Now returns the current time. NewKeys sets it to time.Now.
	Now func() time.Time

	mu          sync.Mutex
	lastCheck   time.Time
	lastChange  time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// NewKeys loads the files. It returns an error if a file cannot be read or the key does not match the certificate.
func NewKeys(certificateFile, keyFile, authorityFile string) (*Keys, error) {
	keys := &Keys{CertificateFile: certificateFile, KeyFile: keyFile, AuthorityFile: authorityFile, Now: time.Now}
	if err := keys.reload(); err != nil {
		return nil, err
	}
	return keys, nil
}

// Config returns a TLS configuration for servers and clients. Each side verifies the certificate of the other against
// the authority that is loaded at the time of the handshake.
func (keys *Keys) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// This disables only the default verification of the server. VerifyConnection verifies the other side instead,
		// because RootCAs cannot be replaced at run time.
		InsecureSkipVerify: true,
		VerifyConnection:   keys.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := keys.current()
			return certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := keys.current()
			return certificate, nil
		},
	}
}

// verify checks the certificate of the other side against the authority. It does not check the names in the
// certificate, because processes are reached by IP addresses, which change whenever a VM is replaced.
func (keys *Keys) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other side has no certificate")
	}
	_, authority := keys.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, CurrentTime: keys.Now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "certificate of the other side")
}

// current returns the certificate and the authority that were loaded last. If the last check of the files was at least
// keyCheckInterval ago, it first checks them and reloads them if they have changed.
func (keys *Keys) current() (*tls.Certificate, *x509.CertPool) {
	keys.mu.Lock()
	due := keys.Now().Sub(keys.lastCheck) >= keyCheckInterval
	keys.mu.Unlock()
	if due {
		// The reload fails if the files are incomplete or wrong, for example while they are being replaced. The
		// previous keys then stay in use.
		_ = keys.reload()
	}
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.certificate, keys.authority
}

func (keys *Keys) reload() error {
	changed, err := keys.newestModTime()
	if err != nil {
		return err
	}
	keys.mu.Lock()
	keys.lastCheck = keys.Now()
	unchanged := keys.certificate != nil && changed.Equal(keys.lastChange)
	keys.mu.Unlock()
	if unchanged {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(keys.CertificateFile, keys.KeyFile)
	if err != nil {
		return errors.Wrap(err, "read certificate and key")
	}
	text, err := os.ReadFile(keys.AuthorityFile)
	if err != nil {
		return errors.Wrap(err, "read certificate authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return errors.Errorf("%s holds no certificate", keys.AuthorityFile)
	}
	keys.mu.Lock()
	defer keys.mu.Unlock()
	keys.certificate, keys.authority, keys.lastChange = &certificate, authority, changed
	return nil
}

// newestModTime returns the latest modification time of the three files.
func (keys *Keys) newestModTime() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{keys.CertificateFile, keys.KeyFile, keys.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return newest, errors.Wrap(err, "check the key files for a change")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
