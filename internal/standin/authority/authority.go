// Package authority is a stand-in of a certificate authority that issues short-lived certificates for mutual TLS.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// validity is the time for which a certificate is valid before and after its issue.
const validity = time.Hour

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	certificatePEM []byte
}

// Files holds the paths of the key of a process, its certificate and the certificate of the authority.
type Files struct {
	Certificate, Key, Authority string
}

// New returns an authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the key of the authority")
	}
	template := templateOf("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create the certificate of the authority")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse the certificate of the authority")
	}
	return &Authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}, nil
}

// Issue writes a new key, its certificate and the certificate of the authority to files in a folder.
func (authority *Authority) Issue(folder string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "key")
	}
	der, err := x509.CreateCertificate(
		rand.Reader, templateOf("process"), authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return Files{}, errors.Wrap(err, "certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, errors.Wrap(err, "key")
	}
	files := Files{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	contents := map[string][]byte{
		files.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		files.Authority:   authority.certificatePEM,
	}
	for path, content := range contents {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return Files{}, errors.Wrap(err, "write keys and certificates")
		}
	}
	return files, nil
}

// templateOf returns the template of a certificate that is valid from now - validity to now + validity.
func templateOf(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
}
