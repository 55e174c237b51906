// Package console is the operators' web console. It serves plain HTML forms that work without JavaScript. Its only
// output is a validated configuration document, applied by the same code as carobctl apply.
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
	// Address that the console listens on.
	Address string `json:"address"`
	// PlatformAddress is the address of the platform's object API.
	PlatformAddress string `json:"platformAddress"`
	// Admin are admin addresses of daemons, for the status page.
	Admin []string `json:"admin,omitempty"`
	// AdminPort is the port of every member's admin address; 0 asks only Admin.
	AdminPort int `json:"adminPort,omitempty"`
	// Certificate and Key are PEM. Without them the console speaks plain HTTP and must listen on a loopback address.
	Certificate string     `json:"certificate,omitempty"`
	Key         string     `json:"key,omitempty"`
	Operators   []Operator `json:"operators"`
	// SessionMinutes is how long a sign-in lasts; default 480.
	SessionMinutes int `json:"sessionMinutes,omitempty"`
}

// Operator may sign in.
type Operator struct {
	Name string `json:"name"`
	// PasswordHash is what carobctl hash-password prints.
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
			list.Add("/certificate", "certificate and key do not work together: %v", err)
		}
		return
	}
	if address, err := netip.ParseAddrPort(s.Address); err == nil && !address.Addr().IsLoopback() {
		list.Add("/address", "without certificate and key the address must be a loopback address, since passwords would"+
			" cross the network in the clear")
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
