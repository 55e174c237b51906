package neighbors

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A deployment is divided into cells of daemons that exchange hints, and of the backend servers that they use, so that the
// hints that a daemon receives and stores do not grow with the deployment. Where each failure domain has enough servers,
// cells follow the domains: hints then stay inside a domain, as traffic between domains is billed by the byte.
const (
	// Cells have about targetCellDaemons daemons if each cell can have targetCellServers servers, ten times the number of
	// engines that read one prompt. Otherwise cells have up to maxCellDaemons daemons.
	maxCellDaemons    = 100
	targetCellDaemons = 16
	targetCellServers = 160
	// minDomainServers is the number of servers per failure domain from which cells follow the domains: twice the number
	// of engines that read one long prompt.
	minDomainServers = 34
)

// cellLayout maps daemons and backend servers to cells.
type cellLayout struct {
	// domains are the failure domains that cells follow, sorted; empty if cells span all domains.
	domains []string
	// perDomain is the number of cells in each domain, or in all if domains is empty.
	perDomain uint64
}

// newCellLayout returns the layout of a deployment. daemonDomains holds the failure domain of each daemon.
func newCellLayout(daemonDomains []string, servers int) cellLayout {
	daemons := len(daemonDomains)
	count := cellCount(daemons, servers)
	domains := slices.Clone(daemonDomains)
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if count == 1 || len(domains) < 2 || servers/len(domains) < minDomainServers {
		return cellLayout{perDomain: count}
	}
	return cellLayout{domains: domains, perDomain: cellCount(daemons/len(domains), servers/len(domains))}
}

// cellCount returns the number of cells for some daemons and servers.
func cellCount(daemons, servers int) uint64 {
	target := min(daemons/targetCellDaemons, servers/targetCellServers)
	return uint64(max(1, target, (daemons+maxCellDaemons-1)/maxCellDaemons))
}

// count returns the number of cells.
func (c cellLayout) count() int { return max(1, len(c.domains)) * int(c.perDomain) }

// Cell identifies a cell of a deployment.
type Cell struct {
	domain string
	number uint64
}

// of returns the cell of a daemon or backend server. Servers in a domain without daemons are shared out among the others.
func (c cellLayout) of(name, domain string) Cell {
	hash := xxhash.Sum64String(name)
	out := Cell{number: hash % c.perDomain}
	if len(c.domains) == 0 {
		return out
	}
	out.domain = domain
	if _, known := slices.BinarySearch(c.domains, domain); !known {
		out.domain = c.domains[hash/c.perDomain%uint64(len(c.domains))]
	}
	return out
}

// Cells is the division of a deployment into cells as one daemon knows it.
type Cells struct {
	layout cellLayout
	own    Cell
}

// NewCells returns the division that the daemon with the given name and failure domain knows. daemonDomains holds the failure domain
// of each daemon, servers is the number of backend servers.
func NewCells(name, domain string, daemonDomains []string, servers int) Cells {
	layout := newCellLayout(daemonDomains, servers)
	return Cells{layout: layout, own: layout.of(name, domain)}
}

// Count returns the number of cells.
func (c Cells) Count() int { return c.layout.count() }

// Own returns the cell of the daemon.
func (c Cells) Own() Cell { return c.own }

// Of returns the cell of a daemon or backend server.
func (c Cells) Of(name, domain string) Cell { return c.layout.of(name, domain) }
