// Package controller is the shell of carobcontroller. It reads members and configuration from the daemon on its own
// host, competes for the lease in the platform and, while it holds it, sends orders to engines.
package controller

import (
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/settings"
)

// Settings of carobcontroller.
type Settings struct {
	// Name of the daemon on the same host; the controllers of the highest ranked daemons compete for the lease.
	Name string `json:"name"`
	// DaemonAddress is the peer address of the daemon on the same host.
	DaemonAddress string `json:"daemonAddress"`
	// AdminAddress serves health and status to operators.
	AdminAddress string `json:"adminAddress"`
	// PlatformAddress is the platform's object API.
	PlatformAddress string `json:"platformAddress"`
	// Credentials authenticate the controller to daemons.
	Credentials peer.Credentials `json:"credentials"`
}

// ProcessName implements app.Named.
func (s *Settings) ProcessName() string { return s.Name + "-controller" }

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	settings.Required(list, "/name", s.Name)
	settings.Address(list, "/daemonAddress", s.DaemonAddress)
	settings.Address(list, "/adminAddress", s.AdminAddress)
	settings.Address(list, "/platformAddress", s.PlatformAddress)
	if _, _, err := s.Credentials.TLS(); err != nil {
		list.Add("/credentials", "%v", err)
	}
}
