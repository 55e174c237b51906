package fleet

import (
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
)

func newMember(name, address string, state pb.MemberState) *pb.Member {
	return &pb.Member{Name: name, Address: address, FailureDomain: "w1", State: state}
}

// startDaemon serves the status and fixed metrics as the admin address of a daemon, and returns its address.
func startDaemon(t *testing.T, address string, status *pb.StatusResponse) string {
	t.Helper()
	body, err := protojson.Marshal(status)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/status" {
				_, _ = w.Write(body)
			} else {
				_, _ = w.Write([]byte("# TYPE a counter\na{x=\"1}\"} 2\na{x=\"2\"} 3\nb_bucket{le=\"1\"} 9\nc 1.5 17\nbad\n" +
					"carobstile_gate_requests_ended{code=\"overloaded\"} 3\n" +
					"carobstile_gate_first_token_bucket{class=\"short\",le=\"0.2\"} 6\n" +
					"carobstile_gate_first_token_bucket{class=\"short\",le=\"0.35\"} 10\n" +
					"carobstile_gate_first_token_bucket{class=\"short\",le=\"+Inf\"} 11\n"))
			}
		})}}
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// Guards against reporting a generation as applied everywhere while a daemon does not respond or has an older one, and
// against waiting for dead members.
func TestOutdatedFindsOldAndUnresponsiveDaemons(t *testing.T) {
	alive, dead := pb.MemberState_MEMBER_STATE_ALIVE, pb.MemberState_MEMBER_STATE_DEAD
	second := startDaemon(t, "127.0.0.2:0", &pb.StatusResponse{Self: newMember("g2", "127.0.0.2:7000", alive), Generation: 4})
	_, port, err := net.SplitHostPort(second)
	require.NoError(t, err)
	first := startDaemon(t, "127.0.0.1:0", &pb.StatusResponse{
		Self: newMember("g1", "127.0.0.1:7000", alive), Generation: 5, Members: []*pb.Member{
			newMember("g1", "127.0.0.1:7000", alive), newMember("g2", "127.0.0.2:7000", alive),
			newMember("g3", "127.0.0.3:7000", alive), newMember("g4", "127.0.0.4:7000", dead),
		},
	})
	number, err := strconv.Atoi(port)
	require.NoError(t, err)

	got := NewClient([]string{first}, number).Survey(t.Context())
	require.Len(t, got, 4)
	outdated := Outdated(got, 5)
	require.Len(t, outdated, 2)
	require.Equal(t, "g2", outdated[0].Name)
	require.Equal(t, uint64(4), outdated[0].Generation())
	require.Equal(t, "g3", outdated[1].Name)
	require.NotEmpty(t, outdated[1].Error)

	unknown := Outdated(NewClient([]string{first}, 0).Survey(t.Context()), 5)
	require.Len(t, unknown, 2)
	require.Equal(t, "no admin address known", unknown[0].Error)
}

// Guards against errors in parsing and summing metrics: labels with braces, timestamps and histograms.
func TestMetricsAreSummed(t *testing.T) {
	address := startDaemon(t, "127.0.0.1:0", &pb.StatusResponse{})
	got, err := NewClient(nil, 0).Metrics(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, map[string]float64{"a": 5, "c": 1.5, requestsEndedMetric: 3}, got.Sums)
	sum := NewMetrics()
	sum.Add(got)
	sum.Add(got)
	require.Equal(t, map[string]float64{"overloaded": 6}, sum.Ended)
	short := sum.FirstToken["short"]
	require.Equal(t, []float64{22, 0.2, 0.35, math.Inf(1)},
		[]float64{short.Count(), short.Quantile(0.5), short.Quantile(0.9), short.Quantile(0.95)})
	require.Zero(t, sum.FirstToken["long"].Quantile(0.5))
}
