package upstream

import (
	"net"
	"net/http"
	"time"
)

const (
	// Keep-alive probes find a connection that has gone silent while it waits for an answer, such as a watch.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// controlIdle is how long a connection for control calls is kept; control calls come twice a second or so.
	controlIdle     = 3 * time.Second
	controlIdleConn = 4
)

// Transport returns a net/http transport for calls that may be repeated, such as reads of the platform's store. It
// notices connections that have gone silent.
func Transport() *http.Transport {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: controlIdleConn, IdleConnTimeout: controlIdle,
		DisableCompression: true,
	}
}
