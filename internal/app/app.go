// Package app is the common frame of the binaries: command line, settings, event log, signals and the group of actors.
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

// Exit codes of the binaries.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 10 * time.Second

type commandLine struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"JSON settings of the process"`
	Check    bool   `long:"check" description:"print everything wrong with the settings and exit"`
	Level    string `long:"log-level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`
}

// Env is what a binary's actors get.
type Env struct {
	Log   *slog.Logger
	Clock *evlog.Clock
	Group *run.Group
	// SettingsPath is the file that the settings were read from.
	SettingsPath string
	// Reload receives a value when the settings file may have changed.
	Reload <-chan os.Signal
}

// Main runs a binary until it is signalled or an actor ends, and returns the exit code. start adds the actors.
func Main(name string, s settings.Checker, start func(env *Env) error) int {
	// SIGHUP must not end the process while it starts or stops either, so that it is caught first and to the end.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var line commandLine
	if _, err := flags.NewParser(&line, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		return usage(err)
	}
	if err := settings.Load(line.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if line.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(line.Level)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	clock := evlog.NewClock(time.Now)
	queue := evlog.NewQueue(os.Stdout)
	defer queue.Close()
	env := &Env{
		Log: evlog.New(queue, processName(s, name), level, clock), Clock: clock, Group: &run.Group{},
		SettingsPath: line.Settings, Reload: reload,
	}
	if err := start(env); err != nil {
		env.Log.Error("process not started", "err", err)
		return exitFailed
	}
	return wait(env)
}

// Named is implemented by settings that name their process.
type Named interface{ ProcessName() string }

func processName(s settings.Checker, binary string) string {
	if named, ok := s.(Named); ok {
		return named.ProcessName()
	}
	return binary
}

func usage(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitSettings
}

func wait(env *Env) int {
	env.Group.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	env.Log.Info("process started", "pid", os.Getpid())
	err := env.Group.Run()
	if err != nil && !errors.As(err, new(*run.SignalError)) {
		env.Log.Error("process failed", "err", err)
		return exitFailed
	}
	env.Log.Info("process stopped")
	return exitOK
}

// Serve adds an HTTP server that stops within grace, letting open requests finish.
func (e *Env) Serve(what, address string, handler http.Handler, grace time.Duration) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "%s address", what)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	e.Log.Info("address open", "purpose", what, "address", listener.Addr().String())
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
		_ = server.Close() // the grace period is over; what is still open is cut off
	}
}

// Background adds an actor that runs until its context ends.
func (e *Env) Background(f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	e.Group.Add(func() error {
		f(ctx)
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}
