package ctl

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/password"
	"github.com/carobstile/carobstile/internal/timeline"
	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
)

type timelineCommand struct {
	cli     *cli
	Request string `long:"request" value-name:"ID" description:"request id"`
	Object  string `long:"object" value-name:"NAME" description:"platform object as kind/name, or name of a process, engine, server, pool, member, gate, model, route, workspace or caller"`
	All     bool   `long:"all" description:"print all events"`
	Args    struct {
		Files []flags.Filename `positional-arg-name:"LOG" required:"1" description:"event logs"`
	} `positional-args:"yes" required:"yes"`
}

// timelineEvent is the JSON output of timeline, one object per line.
type timelineEvent struct {
	HLC  string    `json:"hlc"`
	Time time.Time `json:"time"`
	timeline.Event
}

// Execute implements flags.Commander.
func (t *timelineCommand) Execute([]string) error {
	query := timeline.Query{Request: t.Request, Object: t.Object}
	if t.All == (query != timeline.Query{}) {
		return withExitCode(ExitUsage, errors.New("set either --all or at least one of --request and --object"))
	}
	sources, closeAll, err := openLogs(t.Args.Files)
	if err != nil {
		return err
	}
	defer closeAll()
	var cause timeline.Explanation
	stats, err := timeline.Merge(sources, query, func(e timeline.Event) error {
		cause.Add(e)
		return t.print(e)
	})
	if err != nil {
		return err
	}
	t.cli.printLogStats(stats)
	if t.Request != "" && !t.cli.json() {
		fmt.Fprintf(t.cli.env.Stdout, "cause: %s\n", cause.String())
	}
	return nil
}

func (t *timelineCommand) print(e timeline.Event) error {
	at := core.Micros(e.HLC.WallMicros).Time()
	if t.cli.json() {
		// One line per event, so that the output can be read as a stream.
		return writeJSONLine(t.cli.env.Stdout, timelineEvent{HLC: e.HLC.String(), Time: at, Event: e})
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s.%d %-5s %s: %s", at.Format("2006-01-02T15:04:05.000000"), e.HLC.Counter, e.Level, e.Process, e.Message)
	for _, a := range e.Attrs {
		fmt.Fprintf(&b, " %s=%s", a.Key, quoteValue(a.Value))
	}
	_, err := fmt.Fprintln(t.cli.env.Stdout, b.String())
	return err
}

// quoteValue quotes a value that is empty or contains spaces, quotes or control characters, so that an event stays on
// one line and no control characters reach the terminal.
func quoteValue(value string) string {
	if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '"' || r == 0x7f }) {
		return fmt.Sprintf("%q", value)
	}
	return value
}

// openLogs opens event logs. The returned function closes them.
func openLogs(names []flags.Filename) ([]timeline.Source, func(), error) {
	var sources []timeline.Source
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close() // opened for reading only
		}
	}
	for _, name := range names {
		file, err := os.Open(string(name))
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "open an event log")
		}
		files = append(files, file)
		sources = append(sources, timeline.Source{Name: string(name), Reader: file})
	}
	return sources, closeAll, nil
}

func (c *cli) printLogStats(stats timeline.Stats) {
	w := c.env.Stderr
	fmt.Fprintf(w, "%d of %d lines shown, %d broken, %d out of order\n", stats.Matched, stats.Lines, stats.Broken, stats.OutOfOrder)
	for _, p := range stats.Problems {
		fmt.Fprintf(w, "%s:%d: %s\n", p.Source, p.Line, p.Message)
	}
}

// KeygenRequest describes the keys and certificates to generate.
type KeygenRequest struct {
	// Dir is the directory to which the files are written. The keygen command requires it to be empty or not to exist.
	Dir   string
	Hosts []KeygenHost
	// Validity is the validity period of the certificates.
	Validity time.Duration
}

// KeygenHost is a host to issue a certificate for.
type KeygenHost struct {
	Name      string
	Addresses []netip.Addr
}

type keygenCommand struct {
	cli      *cli
	Out      flags.Filename `long:"out" value-name:"DIR" required:"yes" description:"directory for the files; it must not exist or be empty"`
	Hosts    []string       `long:"host" value-name:"NAME=IP[,IP]" required:"yes" description:"host that gets a certificate; may be repeated"`
	Validity time.Duration  `long:"validity" value-name:"DURATION" default:"720h" description:"validity of the certificates"`
}

// Execute implements flags.Commander.
func (k *keygenCommand) Execute([]string) error {
	if k.cli.env.Keygen == nil {
		return errors.New("this build has no key generator")
	}
	request := KeygenRequest{Dir: string(k.Out), Validity: k.Validity}
	for _, text := range k.Hosts {
		host, err := parseHost(text)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		if slices.ContainsFunc(request.Hosts, func(h KeygenHost) bool { return h.Name == host.Name }) {
			return withExitCode(ExitUsage, errors.Newf("host %q is named twice", host.Name))
		}
		request.Hosts = append(request.Hosts, host)
	}
	if entries, err := os.ReadDir(request.Dir); err == nil && len(entries) > 0 {
		return errors.Newf("%s is not empty; keys are not overwritten", request.Dir)
	}
	files, err := k.cli.env.Keygen(request)
	if err != nil {
		return errors.Wrap(err, "generate keys")
	}
	if k.cli.json() {
		return k.cli.printJSON(map[string][]string{"files": files})
	}
	for _, file := range files {
		fmt.Fprintln(k.cli.env.Stdout, file)
	}
	return nil
}

func parseHost(text string) (KeygenHost, error) {
	name, list, ok := strings.Cut(text, "=")
	if !ok || !config.ValidName(name) {
		return KeygenHost{}, errors.Newf("host %q must have the form NAME=IP[,IP]", text)
	}
	host := KeygenHost{Name: name}
	for _, part := range strings.Split(list, ",") {
		address, err := netip.ParseAddr(part)
		if err != nil {
			return KeygenHost{}, errors.Newf("host %q: %q is not an IP address", text, part)
		}
		host.Addresses = append(host.Addresses, address)
	}
	return host, nil
}

type hashKeyCommand struct{ cli *cli }

// maxKeyBytes limits how much readSecret reads of a bearer key or password.
const maxKeyBytes = 4 << 10

// Execute implements flags.Commander.
func (h *hashKeyCommand) Execute([]string) error {
	key, err := h.cli.readSecret("key")
	if err != nil {
		return err
	}
	if h.cli.json() {
		return h.cli.printJSON(map[string]string{"keyHash": config.HashKey(key)})
	}
	fmt.Fprintln(h.cli.env.Stdout, config.HashKey(key))
	return nil
}

// readSecret reads the first line of standard input.
func (c *cli) readSecret(kind string) (string, error) {
	line, err := bufio.NewReader(io.LimitReader(c.env.Stdin, maxKeyBytes)).ReadString('\n')
	if err != nil && err != io.EOF {
		return "", errors.Wrapf(err, "read the %s", kind)
	}
	secret := strings.TrimRight(line, "\r\n")
	if secret == "" {
		return "", withExitCode(ExitUsage, errors.Newf("no %s on standard input", kind))
	}
	return secret, nil
}

type hashPasswordCommand struct{ cli *cli }

// Execute implements flags.Commander.
func (h *hashPasswordCommand) Execute([]string) error {
	secret, err := h.cli.readSecret("password")
	if err != nil {
		return err
	}
	hash, err := password.New(secret, password.Iterations)
	if err != nil {
		return err
	}
	if h.cli.json() {
		return h.cli.printJSON(map[string]string{"passwordHash": hash.String()})
	}
	fmt.Fprintln(h.cli.env.Stdout, hash)
	return nil
}

type completionCommand struct {
	cli  *cli
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash or zsh"`
	} `positional-args:"yes" required:"yes"`
}

// The completion scripts run carobctl with GO_FLAGS_COMPLETION set, which makes go-flags print the completions.
const (
	bashCompletion = `_carobctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _carobctl carobctl
`
	zshCompletion = "autoload -U bashcompinit && bashcompinit\n" + bashCompletion
)

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion}
	script, ok := scripts[c.Args.Shell]
	if !ok {
		return withExitCode(ExitUsage, errors.Newf("no completion for %q; bash and zsh are supported", c.Args.Shell))
	}
	_, err := io.WriteString(c.cli.env.Stdout, script)
	return err
}
