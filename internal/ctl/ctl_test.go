package ctl

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
)

// fixture runs carobctl against an in-memory platform and two fake daemons.
type fixture struct {
	t       *testing.T
	objects *platform.Fake
	// stuck keeps the second daemon at generation 1.
	stuck          bool
	adminAddresses []string
	stdin          string
	keygen         func(KeygenRequest) ([]string, error)
	author         string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, objects: platform.NewFake(), author: "ada"}
	for i := range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.serveStatus(w, r, i)
		}))
		t.Cleanup(server.Close)
		f.adminAddresses = append(f.adminAddresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return f
}

func (f *fixture) serveStatus(w http.ResponseWriter, r *http.Request, index int) {
	snapshot, err := confstore.New(f.objects).Read(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	generation := snapshot.Root.Generation
	if f.stuck && index == 1 {
		generation = min(generation, 1)
	}
	self := &pb.Member{
		Name: fmt.Sprintf("gate-%d", index+1), Address: "127.0.0.1:7000", Region: "west", FailureDomain: "w1",
		State: pb.MemberState_MEMBER_STATE_ALIVE,
	}
	status := &pb.StatusResponse{Self: self, Members: []*pb.Member{self}, Generation: generation, Ready: true, OpenStreams: 3}
	if index == 0 {
		status.Pools = []*pb.PoolStatus{{Pool: "p1", EnginesReady: 1, Grants: 2, Queued: 1, Engines: []*pb.EngineStatus{{
			Name: "e1", State: "ready", Role: "mixed", Models: []*pb.LoadedModel{{Name: "prairie", Version: "v1"}}, KvTokensTotal: 400_000,
			KvTokensUsed: 100_000, ReportAgeMicros: 120_000,
		}}}}
	}
	body, err := protojson.Marshal(status)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

func (f *fixture) run(args ...string) (stdout, stderr string, code int) {
	var out, errOut bytes.Buffer
	env := Env{
		Stdin: strings.NewReader(f.stdin), Stdout: &out, Stderr: &errOut, Author: f.author, Poll: time.Millisecond,
		NewStore: func(string) platform.Store { return f.objects }, Keygen: f.keygen,
	}
	global := []string{"--platform", "127.0.0.1:1", "--admin", f.adminAddresses[0], "--admin", f.adminAddresses[1]}
	code = Main(f.t.Context(), append(global, args...), env)
	return out.String(), errOut.String(), code
}

func sampleDocument() *config.Document {
	engine := func(name string, host int) config.BackendServer {
		return config.BackendServer{
			Name: name, Address: fmt.Sprintf("10.0.0.%d:8000", host), Kind: config.KindEngine, Region: "west",
			FailureDomain: "w1", Pool: "p1", KVTokens: 400_000, PrefillTokensPerSecond: 8_000, DecodeTokensPerSecond: 60,
		}
	}
	return &config.Document{
		FormatVersion: config.FormatVersion,
		Callers:       []config.Caller{{Name: "trust", Priority: 5, Models: []string{"prairie"}}},
		Workspaces:    []config.Workspace{{Name: "alpha", Caller: "trust", KeyHashes: []string{config.HashKey("a")}}},
		Models: []config.Model{{
			Name: "prairie", Version: "v1", MaxPromptTokens: 500_000, MinReplicas: 1,
		}},
		BackendServers: []config.BackendServer{engine("e1", 1), engine("e2", 2)},
	}
}

func writeDocument(t *testing.T, path string, edit func(d *config.Document)) {
	t.Helper()
	doc := sampleDocument()
	edit(doc)
	data, err := config.Format(doc)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

func writeTestFiles(t *testing.T) {
	t.Helper()
	writeDocument(t, "base.json", func(*config.Document) {})
	writeDocument(t, "weight2.json", func(d *config.Document) { d.Workspaces[0].Weight = 2 })
	writeDocument(t, "weight3.json", func(d *config.Document) { d.Workspaces[0].Weight = 3 })
	writeDocument(t, "priority7.json", func(d *config.Document) { d.Callers[0].Priority = 7 })
	writeDocument(t, "faulty.json", func(d *config.Document) {
		d.Workspaces[0].Caller, d.BackendServers[1].Address = "nobody", "host-2:8000"
	})
	require.NoError(t, os.WriteFile("syntax.json", []byte("{\n  \"formatVersion\": 1,,\n}"), 0o600))
	require.NoError(t, os.WriteFile("settings.json", []byte(`{"platform": "nohost", "adminPort": 70000, "x": 1}`), 0o600))
	require.NoError(t, os.WriteFile("gate.log", []byte(
		"level=INFO msg=admitted process=gate-1 request=r1 hlc=1000000.0\n"+
			"level=INFO msg=ended process=gate-1 request=r1 outcome=complete hlc=3000000.0\nbroken \"line\n"), 0o600))
	require.NoError(t, os.WriteFile("pool.log", []byte(
		"level=INFO msg=\"grant made\" process=gate-2 request=r1 engine=e1 hlc=2000000.4\n"+
			"level=INFO msg=\"grant made\" process=gate-2 request=r2 engine=e2 hlc=2000001.0\n"), 0o600))
	writeEdgeLog(t)
}

// writeEdgeLog writes a log of requests that fell short in several ways.
func writeEdgeLog(t *testing.T) {
	t.Helper()
	lines := ""
	for i, fields := range []string{
		`route=long prompt_tokens=400000 status=503 shortfall=refused`, `route=long prompt_tokens=250000 status=503 shortfall=refused`,
		`route=long prompt_tokens=200000 status=200 shortfall=waited`, `route=short prompt_tokens=4000 status=200 shortfall=paused`,
		`route=short prompt_tokens=4000 status=200 shortfall=""`, `route=desk prompt_tokens=0 status=502 shortfall=server_failed`,
	} {
		lines += fmt.Sprintf("level=INFO msg=%q process=edge-1 request=r%d %s hlc=%d.0\n", evlog.MessageEnded, i, fields, 1000+i)
	}
	require.NoError(t, os.WriteFile("edge.log", []byte(lines), 0o600))
}

var acceptedTime = regexp.MustCompile(`accepted \S+Z`)

// replay runs the commands of a session file and returns the session with the actual output. Lines start with "$" for a
// command, "|" for standard output, "!" for standard error, "=" for the exit code, "#" for a comment and "%" for a
// directive to the fixture.
func (f *fixture) replay(session string) string {
	var out strings.Builder
	for _, line := range strings.Split(strings.TrimSuffix(session, "\n"), "\n") {
		switch {
		case strings.HasPrefix(line, "$ "):
			out.WriteString(line + "\n")
			stdout, stderr, code := f.run(strings.Fields(line)[2:]...)
			writePrefixed(&out, "| ", stdout)
			writePrefixed(&out, "! ", acceptedTime.ReplaceAllString(stderr, "accepted (time)"))
			fmt.Fprintf(&out, "= %d\n", code)
		case strings.HasPrefix(line, "% "):
			out.WriteString(line + "\n")
			f.applyDirective(strings.TrimPrefix(line, "% "))
		case line == "" || strings.HasPrefix(line, "#"):
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}

func (f *fixture) applyDirective(text string) {
	key, value, _ := strings.Cut(text, " ")
	switch key {
	case "stdin":
		f.stdin = value
	case "author":
		f.author = value
	case "stuck":
		f.stuck = true
	case "outage":
		f.objects.SetFaults(platform.Faults{Outage: true})
	default:
		f.t.Fatalf("unknown directive %q", text)
	}
}

func writePrefixed(out *strings.Builder, prefix, text string) {
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if text != "" {
			out.WriteString(strings.TrimRight(prefix+line, " ") + "\n")
		}
	}
}

// Guards against unintended changes of output and exit codes, which scripts and operators rely on.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.session")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, relative := range paths {
		path, err := filepath.Abs(relative)
		require.NoError(t, err)
		t.Run(filepath.Base(path), func(t *testing.T) {
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			f := newFixture(t)
			t.Chdir(t.TempDir())
			writeTestFiles(t)
			got := f.replay(string(want))
			if os.Getenv("CAROBSTILE_UPDATE_GOLDEN") == "1" {
				require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(want), got)
		})
	}
}

// Guards against output of -o json that is not valid JSON.
func TestJSONOutputParses(t *testing.T) {
	f := newFixture(t)
	t.Chdir(t.TempDir())
	writeTestFiles(t)
	for _, command := range []string{
		"apply base.json", "apply weight2.json", "validate base.json", "validate faulty.json", "diff weight2.json", "get", "status",
		"apply --base weight2.json weight3.json", "drain e1",
	} {
		stdout, _, _ := f.run(append([]string{"-o", "json"}, strings.Fields(command)...)...)
		var out map[string]any
		require.NoError(t, json.Unmarshal([]byte(stdout), &out), "%s: %s", command, stdout)
	}
	stdout, _, _ := f.run("-o", "json", "timeline", "--all", "gate.log", "pool.log")
	for _, line := range strings.Split(strings.TrimSpace(stdout), "\n") {
		require.True(t, json.Valid([]byte(line)), line)
	}
}

// Guards against overwriting existing keys and against passing a wrong host list to the key generator.
func TestKeygenCommand(t *testing.T) {
	f := newFixture(t)
	var got KeygenRequest
	f.keygen = func(r KeygenRequest) ([]string, error) { got = r; return []string{"ca.pem"}, nil }
	dir := t.TempDir()
	stdout, stderr, code := f.run("keygen", "--out", dir, "--host", "g1=127.0.0.1,::1")
	require.Equal(t, 0, code, stderr)
	require.Equal(t, "ca.pem\n", stdout)
	require.Equal(t, 720*time.Hour, got.Validity)
	require.Len(t, got.Hosts[0].Addresses, 2)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "x"), nil, 0o600))
	_, stderr, code = f.run("keygen", "--out", dir, "--host", "g1=127.0.0.1")
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "not overwritten")
	_, stderr, code = f.run("keygen", "--out", filepath.Join(dir, "new"), "--host", "g1=127.0.0.1", "--host", "g1=127.0.0.2")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr, "named twice")
}

// Guards against a document on standard input that is cut at the limit and then used.
func TestReadLimited(t *testing.T) {
	data, err := readLimited(strings.NewReader("12345"), 5)
	require.NoError(t, err)
	require.Equal(t, "12345", string(data))
	_, err = readLimited(strings.NewReader("123456"), 5)
	require.ErrorContains(t, err, "exceeds 5 bytes")
}

// Guards against key files that other users of the host can read, and against files without valid credentials or with
// the same cluster and cursor key.
func TestGenerateKeys(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	host := KeygenHost{Name: "g1", Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}}
	files, err := GenerateKeys(KeygenRequest{Dir: dir, Hosts: []KeygenHost{host}, Validity: time.Hour})
	require.NoError(t, err)
	require.Equal(t, []string{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "g1.json")}, files)
	info, err := os.Stat(files[1])
	require.NoError(t, err)
	require.Equal(t, os.FileMode(keyFileMode), info.Mode().Perm())
	data, err := os.ReadFile(files[1])
	require.NoError(t, err)
	var keys hostKeys
	require.NoError(t, json.Unmarshal(data, &keys))
	_, err = tls.X509KeyPair([]byte(keys.Credentials.Certificate), []byte(keys.Credentials.Key))
	require.NoError(t, err)
	require.NotEqual(t, keys.ClusterKeys, keys.CursorKeys)
}
