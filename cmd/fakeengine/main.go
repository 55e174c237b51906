// Command fakeengine runs an emulated model engine.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON settings"`
	Check    bool   `long:"check" description:"print all findings in the settings and exit"`
}

const (
	// exitSettings is the exit status for an invalid command line or invalid settings, as in the other binaries.
	exitSettings = 2
	// exitCrashed is the exit status after a prompt or a fault command has crashed the engine.
	exitCrashed = 3
)

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(exitSettings)
	}
	settings, err := fakeengine.ReadSettings(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return
	}
	if err := serve(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(settings fakeengine.Settings) error {
	clock := evlog.NewClock(time.Now)
	log := evlog.New(os.Stdout, "fakeengine-"+settings.Listen, slog.LevelInfo, clock)
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return err
	}
	engine := fakeengine.New(settings, fakeengine.WithLog(log), fakeengine.WithClock(clock), fakeengine.WithCrashHook(func() { os.Exit(exitCrashed) }))
	server := &http.Server{Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	var group run.Group
	group.Add(func() error {
		log.Info("listening", "address", listener.Addr().String())
		return server.Serve(listener)
	}, func(error) {
		engine.Close()
		_ = server.Close()
	})
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := group.Run(); !errors.Is(err, run.ErrSignal) {
		return err
	}
	return nil
}
