// Command carobctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/carobstile/carobstile/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	env := ctl.DefaultEnv()
	env.Keygen = ctl.GenerateKeys
	code := ctl.Main(ctx, os.Args[1:], env)
	stop()
	os.Exit(code)
}
