// Package peer carries messages between the daemons of one deployment: the connect-go service PeerService over TLS with
// mutual authentication, and sealed UDP packets. Both stamp and observe the hybrid logical clock of every message.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Credentials prove that a process belongs to the deployment. Each field is a path of a PEM file or inline PEM.
type Credentials struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// pemStart tells inline PEM from a path.
const pemStart = "-----BEGIN"

func readPEM(field, value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), pemStart) {
		return []byte(value), nil
	}
	if value == "" {
		return nil, errors.Newf("%s: is empty, expected a path or PEM", field)
	}
	data, err := os.ReadFile(value)
	return data, errors.Wrapf(err, "%s", field)
}

// TLS returns the server's and the client's side of mutual authentication. Both require TLS 1.3 and a certificate of
// the deployment's CA; the client also checks that the certificate names the address it dials.
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
		return nil, nil, errors.Wrap(err, "certificate and key")
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
