package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// KeyBytes is the length of a cluster key and of a cursor key (AES-256).
const KeyBytes = 32

// backdate lets a new certificate be used on hosts whose clocks are slightly behind.
const backdate = time.Hour

// NewKey returns a random AES-256 key in base64, usable as cluster key or cursor key.
func NewKey() (string, error) {
	key := make([]byte, KeyBytes)
	if _, err := rand.Read(key); err != nil {
		return "", errors.Wrap(err, "random key")
	}
	return base64.StdEncoding.EncodeToString(key), nil
}

// Authority is a certificate authority for development, kept in memory.
type Authority struct {
	// CertificatePEM is the Credentials.CA of all daemons.
	CertificatePEM string
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	validity       time.Duration
}

// NewAuthority makes a self-signed certificate authority. Its certificates are valid for validity.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority key")
	}
	template, err := newTemplate("carobstile development CA", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "authority certificate")
	}
	text := encodePEM("CERTIFICATE", der)
	return &Authority{CertificatePEM: text, certificate: certificate, key: key, validity: validity}, nil
}

// Issue makes the credentials of one host, valid for its IP addresses.
func (a *Authority) Issue(name string, addresses ...net.IP) (Credentials, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "host key")
	}
	template, err := newTemplate(name, a.validity)
	if err != nil {
		return Credentials{}, err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "host certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "host key")
	}
	return Credentials{
		Certificate: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER), CA: a.CertificatePEM,
	}, nil
}

// serialBits is the length of a random serial number, which makes collisions negligible.
const serialBits = 120

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(validity),
	}, nil
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
