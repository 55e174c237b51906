// Package app provides the common main function of the binaries. It handles command line, settings, event log, signals
// and the group of actors.
package app

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/settings"
	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
	"github.com/oklog/run"
)

// Exit codes of the binaries. exitUsage means that the command line or the settings are invalid.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// readHeaderTimeout bounds the time in which a client must send its request headers.
const readHeaderTimeout = 10 * time.Second

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"JSON settings of the process"`
	Check    bool   `long:"check" description:"print everything wrong with the settings and exit"`
	Level    string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
}

// Env is the environment that Main passes to the actors of a binary.
type Env struct {
	Log   *slog.Logger
	Clock *evlog.Clock
	Group *run.Group
	// SettingsPath is the path of the settings file.
	SettingsPath string
	// Reload receives SIGHUP, which announces that the settings file may have changed.
	Reload <-chan os.Signal
}

// Main runs a binary until it receives SIGINT or SIGTERM or an actor returns, and returns the exit code. start adds the
// actors to the group.
func Main(name string, s settings.Checker, start func(env *Env) error) int {
	// SIGHUP must not terminate the process during start-up or shutdown, so it is caught from here until exit.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop := catchStopSignals()
	var opts options
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		return exitOnParseError(err)
	}
	if err := settings.Load(opts.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(opts.Level)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	clock := evlog.NewClock(time.Now)
	queue := evlog.NewQueue(os.Stdout)
	defer queue.Close()
	env := &Env{
		Log: evlog.New(queue, processName(s, name), level, clock), Clock: clock, Group: &run.Group{},
		SettingsPath: opts.Settings, Reload: reload,
	}
	if err := start(env); err != nil {
		env.Log.Error("process not started", "err", err)
		return exitFailed
	}
	return runActors(env, stop)
}

// ProcessNamer is implemented by settings that define the name of their process.
type ProcessNamer interface{ ProcessName() string }

func processName(s settings.Checker, binary string) string {
	if named, ok := s.(ProcessNamer); ok {
		return named.ProcessName()
	}
	return binary
}

func exitOnParseError(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

// catchStopSignals returns the channel of stop signals. They are caught from here until exit: the first one must not be lost, however early it comes, and
// later ones must not end the process with its requests unanswered.
func catchStopSignals() <-chan os.Signal {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	return stop
}

// runActors runs the actors until one of them returns or a stop signal arrives, which may have come before. A second SIGINT ends the process at once.
func runActors(env *Env, stop <-chan os.Signal) int {
	ended := make(chan struct{})
	env.Group.Add(func() error {
		select {
		case s := <-stop:
			signal.Reset(syscall.SIGINT)
			return &run.SignalError{Signal: s}
		case <-ended:
			return nil
		}
	}, func(error) { close(ended) })
	env.Log.Info("process started", "pid", os.Getpid())
	err := env.Group.Run()
	if err != nil && !errors.As(err, new(*run.SignalError)) {
		env.Log.Error("process failed", "err", err)
		return exitFailed
	}
	env.Log.Info("process stopped")
	return exitOK
}

// Serve adds an HTTP server on address. On shutdown it waits up to grace for open requests to finish. purpose names the
// address in log lines and errors.
func (e *Env) Serve(purpose, address string, handler http.Handler, grace time.Duration) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on the %s address", purpose)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	e.Log.Info("address open", "purpose", purpose, "address", listener.Addr().String())
	e.Group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { stop(server, grace) })
	return nil
}

func stop(server *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // the grace period is over; the remaining connections are closed
	}
}

// Background adds an actor that calls f and then waits until the group stops, which cancels the context of f.
func (e *Env) Background(f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	e.Group.Add(func() error {
		f(ctx)
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}
