package ctl

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"

	"github.com/carobstile/carobstile/internal/peer"
	"github.com/cockroachdb/errors"
)

// Keys are accessible to their owner only.
const (
	keyDirMode  = 0o700
	keyFileMode = 0o600
)

// hostKeys holds the secret fields of a host's carobgate settings.
type hostKeys struct {
	ClusterKeys []string         `json:"clusterKeys"`
	CursorKeys  []string         `json:"cursorKeys"`
	Credentials peer.Credentials `json:"credentials"`
}

// GenerateKeys writes ca.pem and a <host>.json for each host, whose fields belong in the carobgate settings of that
// host. It returns the paths of the files. The private key of the certificate authority is not stored, so that a later
// run starts a new deployment.
func GenerateKeys(request KeygenRequest) ([]string, error) {
	authority, err := peer.NewAuthority(request.Validity)
	if err != nil {
		return nil, err
	}
	cluster, err := peer.NewKey()
	if err != nil {
		return nil, err
	}
	cursor, err := peer.NewKey()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(request.Dir, keyDirMode); err != nil {
		return nil, errors.Wrap(err, "create the key directory")
	}
	files := []string{filepath.Join(request.Dir, "ca.pem")}
	if err := os.WriteFile(files[0], []byte(authority.CertificatePEM), keyFileMode); err != nil {
		return nil, errors.Wrap(err, "write the certificate of the authority")
	}
	for _, host := range request.Hosts {
		keys := hostKeys{ClusterKeys: []string{cluster}, CursorKeys: []string{cursor}}
		if keys.Credentials, err = issueCredentials(authority, host); err != nil {
			return nil, err
		}
		path := filepath.Join(request.Dir, host.Name+".json")
		if err := writeKeys(path, keys); err != nil {
			return nil, err
		}
		files = append(files, path)
	}
	return files, nil
}

func issueCredentials(authority *peer.Authority, host KeygenHost) (peer.Credentials, error) {
	var addresses []net.IP
	for _, a := range host.Addresses {
		addresses = append(addresses, net.IP(a.AsSlice()))
	}
	return authority.Issue(host.Name, addresses...)
}

func writeKeys(path string, keys hostKeys) error {
	data, err := json.MarshalIndent(keys, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the keys of a host")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), keyFileMode), "write the keys of a host")
}
