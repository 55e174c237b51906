package upstream

import (
	"net"
	"net/http"
	"time"
)

const (
	// TCP keep-alive probes detect a dead connection that waits for a response and sends nothing itself, such as a watch.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// controlIdleTimeout is how long a connection for control calls may stay idle; there are about two calls a second.
	controlIdleTimeout         = 3 * time.Second
	maxControlIdleConnsPerHost = 4
)

// Transport returns a net/http transport for idempotent calls, such as reads of the platform's store. It detects dead
// connections by TCP keep-alive probes and TCP_USER_TIMEOUT.
func Transport() *http.Transport {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		Control: setTCPUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxControlIdleConnsPerHost, IdleConnTimeout: controlIdleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// UnpooledTransport is Transport with a new connection for each call, such as one that shows whether there is a way to a server.
func UnpooledTransport() *http.Transport {
	t := Transport()
	t.DisableKeepAlives = true
	return t
}
