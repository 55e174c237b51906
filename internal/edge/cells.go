package edge

import (
	"slices"

	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/neighbors"
)

// minServersPerCell is the number of servers per cell, on average, from which a service is divided between cells. A
// service with fewer is used by all daemons, so that no cell has none.
const minServersPerCell = 16

// division is the result of dividing the servers between cells.
type division struct {
	// servers are those that the daemons of a cell use.
	servers []dispatch.Server
	// shared holds the services of which several cells use the same servers, undivided those of them of which all cells use all
	// servers because there are few.
	shared, undivided map[string]bool
}

// service sets what the division says about a service.
func (d *division) service(s dispatch.Service) dispatch.Service {
	s.Shared, s.Undivided = d.shared[s.Name], d.undivided[s.Name]
	return s
}

// divide returns the servers that a daemon uses. list holds all servers and is changed. A cell uses the servers of all cells if a
// service has few servers, or if all servers of the service in the cell are evacuated or leaving.
func divide(list []dispatch.Server, cells neighbors.Cells) division {
	out := division{servers: list, shared: map[string]bool{}, undivided: map[string]bool{}}
	type place struct {
		service string
		cell    neighbors.Cell
	}
	count, openCells := map[string]int{}, map[string]int{}
	evacuated, open := map[string]bool{}, map[place]bool{} // services with evacuated servers, and where they have usable ones
	for i := range list {
		s := &list[i]
		at := place{s.Service, cells.Of(s.ID, s.Domain)}
		s.Foreign = at.cell != cells.Own()
		count[s.Service]++
		if s.Evacuated {
			evacuated[s.Service] = true
		} else if !s.Leaving && !open[at] {
			open[at] = true
			openCells[s.Service]++
		}
	}
	borrowed := map[string]bool{}
	for service, n := range count {
		out.undivided[service] = cells.Count() > 1 && n < minServersPerCell*cells.Count()
		borrowed[service] = evacuated[service] && !open[place{service, cells.Own()}]
		lent := evacuated[service] && openCells[service] < cells.Count()
		out.shared[service] = cells.Count() > 1 && (out.undivided[service] || borrowed[service] || lent)
	}
	out.servers = slices.DeleteFunc(list, func(s dispatch.Server) bool {
		return s.Foreign && !out.undivided[s.Service] && !borrowed[s.Service]
	})
	return out
}
