package app

import (
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/evlog"
)

// Guards against a second SIGTERM that ends the process while it still answers requests. Without the handler the signal ends the
// test's own process.
func TestRepeatedStopSignalDoesNotEndTheProcess(t *testing.T) {
	env := &Env{Log: evlog.Discard(), Group: &run.Group{}}
	started, stopping, finished := make(chan struct{}), make(chan struct{}), make(chan struct{})
	env.Group.Add(func() error {
		close(started)
		<-finished
		return nil
	}, func(error) { close(stopping) })
	code := make(chan int, 1)
	stop := catchStopSignals()
	go func() { code <- runActors(env, stop) }()
	<-started
	for range 3 {
		require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
		select {
		case <-stopping:
		case <-time.After(5 * time.Second):
			t.Fatal("the first signal did not stop the actors")
		}
		time.Sleep(50 * time.Millisecond)
	}
	close(finished)
	require.Equal(t, exitOK, <-code)
}

// Guards against a process that never stops because its SIGTERM came while it started.
func TestStopSignalDuringTheStartIsNotLost(t *testing.T) {
	env := &Env{Log: evlog.Discard(), Group: &run.Group{}}
	stop := catchStopSignals()
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	time.Sleep(50 * time.Millisecond)
	code := make(chan int, 1)
	go func() { code <- runActors(env, stop) }()
	select {
	case got := <-code:
		require.Equal(t, exitOK, got)
	case <-time.After(5 * time.Second):
		t.Fatal("the signal was lost")
	}
}
