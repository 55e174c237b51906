package ctl

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"

	"github.com/carobstile/carobstile/internal/peer"
	"github.com/cockroachdb/errors"
)

// Permissions of keys: their owner only.
const (
	keyDirMode  = 0o700
	keyFileMode = 0o600
)

// hostKeys are the fields of carobgate's settings that hold secrets.
type hostKeys struct {
	ClusterKeys []string         `json:"clusterKeys"`
	CursorKeys  []string         `json:"cursorKeys"`
	Credentials peer.Credentials `json:"credentials"`
}

// GenerateKeys writes ca.pem and one <host>.json for each host, whose fields go into that host's carobgate settings. The
// authority's own key is not kept, so that a later run starts a new deployment.
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
		return nil, errors.Wrap(err, "make the directory")
	}
	files := []string{filepath.Join(request.Dir, "ca.pem")}
	if err := os.WriteFile(files[0], []byte(authority.CertificatePEM), keyFileMode); err != nil {
		return nil, errors.Wrap(err, "write the authority's certificate")
	}
	for _, host := range request.Hosts {
		keys := hostKeys{ClusterKeys: []string{cluster}, CursorKeys: []string{cursor}}
		if keys.Credentials, err = issue(authority, host); err != nil {
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

func issue(authority *peer.Authority, host KeygenHost) (peer.Credentials, error) {
	var addresses []net.IP
	for _, a := range host.Addresses {
		addresses = append(addresses, net.IP(a.AsSlice()))
	}
	return authority.Issue(host.Name, addresses...)
}

func writeKeys(path string, keys hostKeys) error {
	data, err := json.MarshalIndent(keys, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode keys")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), keyFileMode), "write keys")
}
