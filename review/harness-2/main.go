// Command rig plays the cases of the review that cannot be put as a day of the bench. It starts the project's own programs as separate
// processes on loopback addresses, with stand-ins of the store, the servers and the callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// record is the file record.txt in the folder of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cases maps names to what plays them. trouble is false for the run without the disruption. A case returns whether its rule held.
var cases = map[string]func(c *cluster, r *record, trouble bool) (bool, error){
	"stamp":    playStamp,
	"refused":  playRefused,
	"latebody": playLateBody,
	"entries":  playEntries,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption: %t", name, trouble)
	c, err := newCluster()
	if err != nil {
		r.line("not run: %v", err)
		return notRun
	}
	defer c.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.line("not run: ended by a signal")
		c.stop()
		os.Exit(notRun)
	}()
	ok, err := cases[name](c, r, trouble)
	switch {
	case err != nil:
		r.line("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return notRun
	case !ok:
		r.line("the rule was broken")
		return broken
	}
	r.line("the rule held")
	return held
}
