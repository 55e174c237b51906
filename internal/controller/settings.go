// Package controller implements the I/O of carobcontroller around the reducer in placecore. It fetches members and
// configuration from the daemon on the same host, competes for the lease stored in the platform and, while it holds the
// lease, sends orders to engines.
package controller

import (
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/peer"
	"github.com/carobstile/carobstile/internal/settings"
)

// Settings contains the settings of carobcontroller.
type Settings struct {
	// Name is the name of the daemon on the same host. The controllers of the highest-ranked daemons compete for the lease.
	Name string `json:"name"`
	// DaemonAddress is the peer address of the daemon on the same host.
	DaemonAddress string `json:"daemonAddress"`
	// AdminAddress is the listen address of the health and status endpoints.
	AdminAddress string `json:"adminAddress"`
	// PlatformAddress is the address of the platform's object API.
	PlatformAddress string `json:"platformAddress"`
	// Credentials authenticate the controller to daemons.
	Credentials peer.Credentials `json:"credentials"`
}

// ProcessName implements app.ProcessNamer.
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
