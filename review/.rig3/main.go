// Command rig3 plays the cases of review/11 and later against the project's own program, with stand-ins for the platform, its store, its
// engines and its clients. All addresses are loopback addresses.
package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"toucanport/platform/toucanstandin"
)

// rig is a small deployment.
type rig struct {
	program, dir string
	site         site
	store        *toucanstandin.Store
	storeAddress string
	machines     []*machine
	engines      []*engine
	models       []*modelEngine
	plans        []*planEngine
	// trouble is false if the case is to be played without its disruption.
	trouble bool
	began   time.Time
	over    atomic.Bool
	serial  atomic.Int64

	mu  sync.Mutex
	out *os.File
}

const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// play is a case: it returns true if the rule was broken.
type play func(*rig) bool

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE PROGRAM RECORD")
		os.Exit(exitCantRun)
	}
	plays := map[string]struct {
		play play
		site site
	}{
		"unread": {playUnread, cordeau},
		"twice":  {playTwice, kahawai},
		"early":  {playEarly, cordeau},
	}
	p, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig3: no such case")
		os.Exit(exitCantRun)
	}
	os.Exit(run(p.play, p.site, os.Args[2], os.Args[3]))
}

func run(p play, s site, program, record string) (code int) {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "rig3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if program, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	r := &rig{program: program, dir: dir, site: s, store: toucanstandin.NewStore(), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), out: out}
	server := httptest.NewServer(r.store)
	r.storeAddress = server.Listener.Addr().String()
	defer func() {
		p := recover()
		r.over.Store(true)
		for _, m := range r.machines {
			m.stop()
		}
		if p != nil {
			r.record("the case could not run: %v", p)
			code = exitCantRun
		}
	}()
	if p(r) {
		r.record("result: the rule was broken")
		return exitBroken
	}
	r.record("result: the rule held")
	return exitHeld
}

func (r *rig) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (r *rig) isOver() bool { return r.over.Load() }

// record writes a line to the record and to the standard output.
func (r *rig) record(format string, args ...any) {
	line := fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.out, line)
	fmt.Println(line)
}

// nextID returns the id of the next request, of which each kind of client has its own.
func (r *rig) nextID(kind byte) string { return fmt.Sprintf("%c%015x", kind, r.serial.Add(1)) }
