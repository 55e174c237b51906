package forward

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which apply to a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the hop-by-hop headers, including those listed in Connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader sets the end-to-end headers of src in dst, without those by which daemons answer each other: a server must not speak for one.
func copyHeader(dst, src http.Header) {
	for name, values := range EndToEnd(src) {
		if !strings.HasPrefix(name, headerRelay) {
			dst[name] = values
		}
	}
}
