// Package authority is a stand-in of a certificate authority, which issues short-lived keys for mutual TLS.
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

// validity is how long before and after its issue a certificate is valid.
const validity = time.Hour

// Authority signs certificates.
type Authority struct {
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	certificatePEM []byte
}

// Files names the files of one process's keys.
type Files struct {
	Certificate, Key, Authority string
}

// New returns an authority with a key of its own.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority's key")
	}
	template := templateOf("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "authority's certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority's certificate")
	}
	return &Authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}, nil
}

// Issue writes a new certificate, its key and the authority's certificate to a folder.
func (authority *Authority) Issue(folder string) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, errors.Wrap(err, "key")
	}
	der, err := x509.CreateCertificate(rand.Reader, templateOf("process"), authority.certificate, &key.PublicKey, authority.key)
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
	texts := map[string][]byte{
		files.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		files.Authority:   authority.certificatePEM,
	}
	for path, text := range texts {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return Files{}, errors.Wrap(err, "write keys")
		}
	}
	return files, nil
}

func templateOf(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
	}
}
