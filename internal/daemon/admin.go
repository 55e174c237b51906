package daemon

import (
	"net/http"
	"net/http/pprof"

	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
)

// adminHandler serves health, metrics and status to operators, and profiles if the setting allows them.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.readyz)
	mux.Handle("GET /metrics", d.metrics.Handler)
	mux.HandleFunc("GET /status", d.status)
	if d.settings.Profiling {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) status(w http.ResponseWriter, r *http.Request) {
	status, err := d.Status(r.Context(), &pb.StatusRequest{})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	data, err := protojson.Marshal(status)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // a write error only means that the client disconnected
}
