// Command harness-3 plays the scripted cases of the third review: it starts carobedge processes before stand-ins of the platform's store,
// of servers and of requesters, brings a disruption about unless TROUBLE is 0, and judges a rule by what requesters and servers saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(rec *record, trouble bool) (verdict, error){
	"store-restored": storeRestored,
	"silent-server":  silentServer,
	"cut-off":        cutOff,
	"deadly-part":    deadlyPrompts,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.file.Close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		endAll()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, trouble %v", os.Args[1], trouble)
	out, err := cases[os.Args[1]](rec, trouble)
	endAll()
	if err != nil {
		rec.line("not run: %v", err)
		fmt.Println("not run:", err)
		if !errors.Is(err, errSetUp) {
			fmt.Println("(unexpected error)")
		}
		return exitNotRun
	}
	rec.line("%s", out.text)
	fmt.Println(out.text)
	if out.broken {
		return exitBroken
	}
	return exitHeld
}

// deployments holds what has to be ended.
var deployments []*deployment

func endAll() {
	for _, d := range deployments {
		d.stop()
	}
	deployments = nil
}
