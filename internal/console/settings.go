// Package console implements carobconsole, the web console for operators. It serves plain HTML forms that work without
// JavaScript. Its only output is a validated configuration document, which is applied by the same code as in carobctl
// apply.
package console

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"strconv"

	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/password"
	"github.com/carobstile/carobstile/internal/settings"
)

const (
	maxPort               = 65_535
	maxSessionMinutes     = 24 * 60
	defaultSessionMinutes = 8 * 60
)

// Settings are the settings of carobconsole.
type Settings struct {
	// Address is the address that the console listens on.
	Address string `json:"address"`
	// PlatformAddress is the address of the platform's object API.
	PlatformAddress string `json:"platformAddress"`
	// Admin lists admin addresses of daemons, which the status page queries.
	Admin []string `json:"admin,omitempty"`
	// AdminPort is the port of every member's admin address. If it is 0, only the addresses in Admin are queried.
	AdminPort int `json:"adminPort,omitempty"`
	// Certificate and Key are in PEM. Without them the console serves plain HTTP and must listen on a loopback address.
	Certificate string     `json:"certificate,omitempty"`
	Key         string     `json:"key,omitempty"`
	Operators   []Operator `json:"operators"`
	// SessionMinutes is the lifetime of a session; default 480.
	SessionMinutes int `json:"sessionMinutes,omitempty"`
}

// Operator is an operator who may sign in.
type Operator struct {
	Name string `json:"name"`
	// PasswordHash is a password hash as printed by carobctl hash-password.
	PasswordHash string `json:"passwordHash"`
}

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	settings.Address(list, "/address", s.Address)
	settings.Address(list, "/platformAddress", s.PlatformAddress)
	for i, address := range s.Admin {
		settings.Address(list, findings.Index("/admin", i), address)
	}
	settings.Range(list, "/adminPort", s.AdminPort, 0, maxPort)
	settings.Range(list, "/sessionMinutes", s.SessionMinutes, 0, maxSessionMinutes)
	s.checkTLS(list)
	s.checkOperators(list)
}

func (s *Settings) checkTLS(list *findings.List) {
	if s.Certificate != "" || s.Key != "" {
		if _, err := tls.X509KeyPair([]byte(s.Certificate), []byte(s.Key)); err != nil {
			list.Add("/certificate", "certificate and key are not a valid pair: %v", err)
		}
		return
	}
	if address, err := netip.ParseAddrPort(s.Address); err == nil && !address.Addr().IsLoopback() {
		list.Add("/address", "without certificate and key the address must be a loopback address, because passwords"+
			" would be sent unencrypted")
	}
}

func (s *Settings) checkOperators(list *findings.List) {
	if len(s.Operators) == 0 {
		list.Add("/operators", "at least one operator must be set")
	}
	seen := map[string]bool{}
	for i, o := range s.Operators {
		pointer := "/operators/" + strconv.Itoa(i)
		settings.Required(list, pointer+"/name", o.Name)
		if seen[o.Name] {
			list.Add(pointer+"/name", "operator %q is listed twice", o.Name)
		}
		seen[o.Name] = true
		if _, err := password.Parse(o.PasswordHash); err != nil {
			list.Add(pointer+"/passwordHash", "%s", fmt.Sprint(err))
		}
	}
}
