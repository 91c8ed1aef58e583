package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// keyCheckInterval is the least time between two looks at the files of the keys.
const keyCheckInterval = time.Second

// Keys holds the certificate, key and authority of mutual TLS and reads them again when their files change.
type Keys struct {
	CertificateFile, KeyFile, AuthorityFile string
	// Now is the time; default time.Now.
	Now func() time.Time

	mu          sync.Mutex
	checked     time.Time
	changed     time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// NewKeys reads the files and returns an error when they do not fit together.
func NewKeys(certificateFile, keyFile, authorityFile string) (*Keys, error) {
	keys := &Keys{CertificateFile: certificateFile, KeyFile: keyFile, AuthorityFile: authorityFile, Now: time.Now}
	if err := keys.read(); err != nil {
		return nil, err
	}
	return keys, nil
}

// Config returns a configuration for servers and clients. Both sides verify the other's certificate against the
// authority at the time of each handshake.
func (keys *Keys) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// The peer is verified by VerifyConnection, since RootCAs could not be replaced at run time.
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

// verify checks the certificate of the other side against the authority. Processes are reached by IP numbers that
// change with every replacement, so the certificate's names are not compared.
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

// current returns the newest keys that could be read.
func (keys *Keys) current() (*tls.Certificate, *x509.CertPool) {
	keys.mu.Lock()
	due := keys.Now().Sub(keys.checked) >= keyCheckInterval
	keys.mu.Unlock()
	if due {
		// Files that do not fit together are half written or wrong: the former keys stay in use.
		_ = keys.read()
	}
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return keys.certificate, keys.authority
}

func (keys *Keys) read() error {
	changed, err := keys.lastChange()
	if err != nil {
		return err
	}
	keys.mu.Lock()
	keys.checked = keys.Now()
	unchanged := keys.certificate != nil && changed.Equal(keys.changed)
	keys.mu.Unlock()
	if unchanged {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(keys.CertificateFile, keys.KeyFile)
	if err != nil {
		return errors.Wrap(err, "read keys")
	}
	text, err := os.ReadFile(keys.AuthorityFile)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return errors.Errorf("%s holds no certificate", keys.AuthorityFile)
	}
	keys.mu.Lock()
	defer keys.mu.Unlock()
	keys.certificate, keys.authority, keys.changed = &certificate, authority, changed
	return nil
}

// lastChange returns the newest time of change of the three files.
func (keys *Keys) lastChange() (time.Time, error) {
	var newest time.Time
	for _, path := range []string{keys.CertificateFile, keys.KeyFile, keys.AuthorityFile} {
		info, err := os.Stat(path)
		if err != nil {
			return newest, errors.Wrap(err, "read keys")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}
