package dispatch

import "slices"

// evacuated reports whether evacuations alone leave a service without a server: at least one is evacuated, and all others are
// leaving.
func (s *service) evacuated() bool {
	return len(s.all) > len(s.servers) && !slices.ContainsFunc(s.servers, func(srv *server) bool {
		return !srv.Leaving && (srv.standing == nil || !srv.standing.leaving)
	})
}
