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

// clockSkewAllowance backdates new certificates, so that hosts whose clocks are slightly behind accept them.
const clockSkewAllowance = time.Hour

// NewKey returns a random base64-encoded AES-256 key for use as a cluster key or cursor key.
func NewKey() (string, error) {
	key := make([]byte, KeyBytes)
	if _, err := rand.Read(key); err != nil {
		return "", errors.Wrap(err, "generate random key")
	}
	return base64.StdEncoding.EncodeToString(key), nil
}

// Authority is an in-memory certificate authority (CA) for development.
type Authority struct {
	// CertificatePEM is the value of Credentials.CA for all daemons.
	CertificatePEM string
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	validity       time.Duration
}

// NewAuthority creates a certificate authority with a self-signed certificate. validity is the lifetime of this and of
// all issued certificates.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
	}
	template, err := newTemplate("carobstile development CA", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	certificatePEM := encodePEM("CERTIFICATE", der)
	return &Authority{CertificatePEM: certificatePEM, certificate: certificate, key: key, validity: validity}, nil
}

// Issue creates the credentials of one host, with a certificate that is valid for its IP addresses.
func (a *Authority) Issue(name string, addresses ...net.IP) (Credentials, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "generate host key")
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
		return Credentials{}, errors.Wrap(err, "create host certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Credentials{}, errors.Wrap(err, "marshal host key")
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
		return nil, errors.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkewAllowance), NotAfter: now.Add(validity),
	}, nil
}

func encodePEM(blockType string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}))
}
