// Package peer is the transport between the daemons of one deployment: the connect-go service PeerService over mutual
// TLS, and UDP packets encrypted with a cluster key. Both write the hybrid logical clock into every outgoing message
// and advance it by the clock of every incoming one.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Credentials authenticate a process as part of the deployment. Each field is the path of a PEM file or inline PEM.
type Credentials struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// pemPrefix distinguishes inline PEM from a file path.
const pemPrefix = "-----BEGIN"

func readPEM(field, value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), pemPrefix) {
		return []byte(value), nil
	}
	if value == "" {
		return nil, errors.Newf("%s: empty, expected a file path or inline PEM", field)
	}
	data, err := os.ReadFile(value)
	return data, errors.Wrapf(err, "%s", field)
}

// TLS returns the server and client configurations for mutual TLS. Both require TLS 1.3 and a certificate issued by the
// deployment's CA. The client also checks that the certificate is valid for the address it dials.
func (c Credentials) TLS() (server, client *tls.Config, err error) {
	certificate, err := readPEM("certificate", c.Certificate)
	if err != nil {
		return nil, nil, err
	}
	key, err := readPEM("key", c.Key)
	if err != nil {
		return nil, nil, err
	}
	ca, err := readPEM("ca", c.CA)
	if err != nil {
		return nil, nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, nil, errors.New("ca: holds no certificate")
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool}
	return server, client, nil
}
