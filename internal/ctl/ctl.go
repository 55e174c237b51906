// Package ctl implements carobctl, the command line for operators.
package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/fleet"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
)

// Exit codes. They are part of the public interface, because scripts rely on them.
const (
	ExitOK       = 0 // done; for diff: no difference
	ExitFailed   = 1 // the command failed; the message says why
	ExitUsage    = 2 // invalid command line or settings
	ExitFindings = 3 // the document has findings; nothing was applied
	ExitDiffers  = 4 // diff found differences
	ExitConflict = 5 // another change was accepted meanwhile; nothing was applied
	ExitUnknown  = 6 // it is unknown whether the change was accepted
	ExitBehind   = 7 // accepted, but not in force at every daemon within --wait
)

const exitCodesHelp = `Exit codes:
  0  done; for diff: no difference
  1  the command failed; the message says why
  2  invalid command line or settings
  3  the document has findings; nothing was applied
  4  diff found differences
  5  another change was accepted meanwhile; nothing was applied
  6  it is unknown whether the change was accepted; run get to see what is in force
  7  accepted, but not in force at every daemon within --wait`

const longHelp = `carobctl reads and changes the configuration of a carobstile deployment and shows its state.

The configuration is one JSON document. A change is made in five steps:
  carobctl get > base.json          fetch what is in force
  cp base.json new.json
  edit new.json                     docs/config.schema.json describes every field
  carobctl diff new.json            check it and read what would change
  carobctl apply --base base.json new.json
                                    make it the next version and wait until it
                                    is in force; changes by others are kept

--platform, --admin and --admin-port can be set once in a settings file, see --settings:
  {"platform": "10.0.0.2:7100", "admin": ["10.0.0.11:7003"], "adminPort": 7003, "author": "ada"}

` + exitCodesHelp

// Env is the environment of the command line: its streams, connections and defaults.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// NewStore connects to the object API at an address.
	NewStore func(address string) platform.Store
	// Keygen writes keys and certificates and returns the paths of the files. If it is nil, the keygen command fails.
	Keygen func(KeygenRequest) ([]string, error)
	// Author is the default author of changes, used when neither --author nor the settings file sets one.
	Author string
	// Poll is the interval between surveys of the daemons while a command waits for them.
	Poll time.Duration
}

// DefaultEnv returns the environment of the process, without a key generator.
func DefaultEnv() Env {
	return Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr,
		NewStore: func(address string) platform.Store { return platform.NewClient(address) },
		Author:   os.Getenv("USER"), Poll: 200 * time.Millisecond,
	}
}

// globalOptions are the options of all commands; they may precede or follow the command.
type globalOptions struct {
	Settings  flags.Filename `long:"settings" value-name:"FILE" env:"CAROBCTL_SETTINGS" description:"JSON file with platform, admin, adminPort and author"`
	Check     bool           `long:"check" description:"print everything wrong with the settings and exit"`
	Platform  string         `long:"platform" value-name:"IP:PORT" env:"CAROBSTILE_PLATFORM" description:"address of the platform's object API"`
	Admin     []string       `long:"admin" value-name:"IP:PORT" env:"CAROBSTILE_ADMIN" env-delim:"," description:"admin address of a daemon; may be repeated"`
	AdminPort int            `long:"admin-port" value-name:"PORT" env:"CAROBSTILE_ADMIN_PORT" description:"port of the admin address of every member, to ask members that no --admin names"`
	Author    string         `long:"author" value-name:"NAME" description:"author recorded with a change (default: the user name)"`
	Output    string         `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout   time.Duration  `long:"timeout" value-name:"DURATION" default:"30s" description:"longest time for the calls to the platform"`
}

// cli is one invocation of the command line.
type cli struct {
	env     Env
	options globalOptions
	parser  *flags.Parser
	ctx     context.Context
}

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

// errAlreadyReported sets the exit code of a command without a message on standard error, because the command's output
// already reports the result.
var errAlreadyReported = errors.New("")

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, env Env) int {
	c := &cli{env: env, ctx: ctx}
	c.parser = flags.NewNamedParser("carobctl", flags.HelpFlag|flags.PassDoubleDash)
	c.parser.LongDescription = longHelp
	if err := c.addCommands(); err != nil {
		fmt.Fprintln(env.Stderr, "carobctl:", err)
		return ExitFailed
	}
	c.parser.CommandHandler = func(command flags.Commander, rest []string) error { return c.execute(command, rest) }
	_, err := c.parser.ParseArgs(args)
	return c.exitCode(err)
}

func (c *cli) addCommands() error {
	if _, err := c.parser.AddGroup("Global options", "", &c.options); err != nil {
		return err
	}
	c.parser.SubcommandsOptional = true // --check needs no command
	for _, command := range c.commands() {
		if _, err := c.parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return errors.Wrapf(err, "command %s", command.name)
		}
	}
	return nil
}

func (c *cli) execute(command flags.Commander, rest []string) error {
	if err := c.loadSettings(); err != nil {
		return withExitCode(ExitUsage, err)
	}
	if c.options.Check {
		fmt.Fprintln(c.env.Stdout, "settings are valid")
		return nil
	}
	if command == nil && len(rest) > 0 {
		return withExitCode(ExitUsage, errors.Newf("unknown command %q; carobctl --help lists them", rest[0]))
	}
	if command == nil {
		return withExitCode(ExitUsage, errors.New("no command given; carobctl --help lists them"))
	}
	if len(rest) > 0 {
		return withExitCode(ExitUsage, errors.Newf("unexpected argument %q", rest[0]))
	}
	return command.Execute(rest)
}

// exitCode prints an error and returns its exit code. Help goes to standard output, errors go to standard error.
func (c *cli) exitCode(err error) int {
	var flagError *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Fprintln(c.env.Stdout, err)
		return ExitOK
	case errors.As(err, &flagError):
		fmt.Fprintln(c.env.Stderr, "carobctl:", err)
		return ExitUsage
	case errors.As(err, &exit):
		if !errors.Is(err, errAlreadyReported) {
			fmt.Fprintln(c.env.Stderr, "carobctl:", err)
		}
		return exit.code
	}
	fmt.Fprintln(c.env.Stderr, "carobctl:", err)
	return exitCodeOf(err)
}

// exitCodeOf returns the exit code for an error of the configuration packages.
func exitCodeOf(err error) int {
	var found *findings.Error
	var conflict *confstore.ConflictError
	switch {
	case errors.As(err, &found):
		return ExitFindings
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, confstore.ErrOutcomeUnknown):
		return ExitUnknown
	}
	return ExitFailed
}

func (c *cli) store() (*confstore.Store, error) {
	if c.options.Platform == "" {
		return nil, withExitCode(ExitUsage, errors.New("the platform address is not set; use --platform or --settings"))
	}
	return confstore.New(c.env.NewStore(c.options.Platform)), nil
}

func (c *cli) fleet() *fleet.Client { return fleet.NewClient(c.options.Admin, c.options.AdminPort) }

func (c *cli) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, c.options.Timeout)
}
