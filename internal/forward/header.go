package forward

import (
	"net/http"
	"strings"
)

// hopHeaders concern only one connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without what concerns only one connection.
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

// copyHeader adds the end-to-end part of src to dst.
func copyHeader(dst, src http.Header) {
	for name, values := range EndToEnd(src) {
		dst[name] = values
	}
}
