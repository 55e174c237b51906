package ctl

import (
	"net/netip"
	"strconv"

	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/settings"
	"github.com/cockroachdb/errors"
)

const maxPort = 65_535

// Settings are defaults of the global options. Command-line flags and environment variables take precedence.
type Settings struct {
	// Platform is the address of the platform's object API.
	Platform string `json:"platform,omitempty"`
	// Admin lists admin addresses of daemons.
	Admin []string `json:"admin,omitempty"`
	// AdminPort is the port of every member's admin address.
	AdminPort int `json:"adminPort,omitempty"`
	// Author is the author recorded with changes.
	Author string `json:"author,omitempty"`
}

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	if s.Platform != "" {
		settings.Address(list, "/platform", s.Platform)
	}
	for i, address := range s.Admin {
		settings.Address(list, "/admin/"+strconv.Itoa(i), address)
	}
	settings.Range(list, "/adminPort", s.AdminPort, 0, maxPort)
}

// loadSettings sets the unset options from the settings file and checks the addresses.
func (c *cli) loadSettings() error {
	o := &c.options
	if o.Settings != "" {
		var s Settings
		if err := settings.Load(string(o.Settings), &s); err != nil {
			return err
		}
		setDefault(&o.Platform, s.Platform)
		setDefault(&o.Author, s.Author)
		if len(o.Admin) == 0 {
			o.Admin = s.Admin
		}
		if o.AdminPort == 0 {
			o.AdminPort = s.AdminPort
		}
	}
	setDefault(&o.Author, c.env.Author)
	return checkAddresses(append([]string{o.Platform}, o.Admin...))
}

func setDefault(value *string, fallback string) {
	if *value == "" {
		*value = fallback
	}
}

func checkAddresses(addresses []string) error {
	for _, address := range addresses {
		if address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Newf("%q is not an IP address and port such as 10.0.0.2:7100", address)
		}
	}
	return nil
}
