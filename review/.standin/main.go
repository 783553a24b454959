// Command standin plays one case of the review: it starts a store, engines and clients, and the project's entries as processes of
// their own. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	clientHost = "ficu95.example"
	clientKey  = "xd9dnn2ctnfzs989anu6"
	// proposalPath and questionPath are the prefixes of the two streaming routes.
	proposalPath = "/lohu930/"
	questionPath = "/pufi791/"
	orderPath    = "/pule252/"
	statusPath   = "/puxa403/"
	// longest is the longest time that a case may take.
	longest = 110 * time.Second
)

// scene is the deployment of a case.
type scene struct {
	rec     *record
	trouble bool
	network string
	dir     string
	store   *store
	group   *engineGroup
	entries []*entry
	engines []*engine
	// processes are the engines that run in processes of their own.
	processes []*engineProcess
}

var zones = []string{"lima-a", "lima-b", "lima-c"}

// cases holds the cases by name. Each returns an error if it couldn't run.
var cases = map[string]func(*scene) error{
	"resumed-body":   resumedBody,
	"early-answer":   earlyAnswer,
	"encoded-stream": encodedStream,
	"left-clients":   leftClients,
	"crash":          crash,
	"lost-answer":    lostAnswer,
}

func main() {
	if len(os.Args) == 6 && os.Args[1] == "engine" {
		os.Exit(runEngine(os.Args[2], os.Args[3], os.Args[4], os.Args[5] == "true"))
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	s := &scene{rec: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer s.close()
	s.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	if s.store, err = startStore(s.network + "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s.group = newEngineGroup(rec, s.store)
	rec.line("case %s, trouble %v", name, s.trouble)
	done := make(chan error, 1)
	go func() { done <- f(s) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case err = <-done:
	case got := <-signals:
		err = fmt.Errorf("ended by signal %v", got)
	case <-time.After(longest):
		err = fmt.Errorf("the case takes longer than %v", longest)
	}
	if err != nil {
		rec.line("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			s.keepLogs(keep)
		}
		return 2
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		s.keepLogs(keep)
	}
	rec.line("counts: %v; broken: %d", rec.counts, rec.broken())
	fmt.Printf("%s: trouble %v, %v, broken %d times\n", name, s.trouble, rec.counts, rec.broken())
	if rec.broken() > 0 {
		return 1
	}
	return 0
}

// keepLogs copies the logs of the entries to a folder.
func (s *scene) keepLogs(folder string) {
	for _, e := range s.entries {
		if text, err := os.ReadFile(filepath.Join(s.dir, e.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(folder, e.name+".log"), text, 0o600)
		}
	}
}

// close ends all processes that the case has started.
func (s *scene) close() {
	for _, e := range s.entries {
		e.kill()
	}
	for _, p := range s.processes {
		p.kill()
	}
}

// engineLog returns the file to which an engine's process writes its log.
func (s *scene) engineLog(id string) string { return filepath.Join(s.dir, id+".log") }

// start writes the configuration and starts engines and entries, one in each zone in turn, and waits until the entries are ready.
func (s *scene) start(engines, plain, entries int) error {
	s.configure(7)
	if err := s.startEngines(engines, plain); err != nil {
		return err
	}
	return s.startEntries(entries)
}

// startEngines starts model engines and plain services in this process.
func (s *scene) startEngines(engines, plain int) error {
	for i := range engines + plain {
		service := "assistant"
		if i >= engines {
			service = "workshop"
		}
		e, err := s.group.startEngine(fmt.Sprintf("%s%d", s.network, 100+i), service, zones[i%len(zones)], i)
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	return nil
}

// startEntries starts entries and waits until they are ready.
func (s *scene) startEntries(entries int) error {
	for i := range entries {
		e, err := newEntry(s.dir, fmt.Sprintf("%s%d", s.network, 10+i), zones[i%len(zones)], 1+i/len(zones), s.store.address)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := e.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // Let the entries find each other.
	return nil
}

// configure writes a version of the configuration.
func (s *scene) configure(version int) {
	route := func(name, prefix, kind, service string, timeout, goal float64, generates bool) map[string]any {
		r := map[string]any{
			"Name": name, "Host": clientHost, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout, "LatencyGoalMs": goal, "Priority": 0,
			"Service": service, "MaxAttempts": 1, "AllowAnonymous": false, "StickySessions": generates, "ResumeStreams": false,
		}
		if kind == "streaming" {
			r["GapTargetMs"] = 180
		}
		if kind == "safe" {
			r["MaxAttempts"] = 2
		}
		return r
	}
	s.store.put("op/config", map[string]any{
		"Version": version,
		"Routes": []any{
			route("r-proposal", proposalPath, "streaming", "assistant", 39000, 1800, true),
			route("r-question", questionPath, "streaming", "assistant", 6000, 1500, true),
			route("r-order", orderPath, "unsafe", "workshop", 1500, 100, false),
			route("r-status", statusPath, "safe", "workshop", 1500, 100, false),
		},
		"Services": []any{
			map[string]any{
				"Name": "assistant", "HealthPath": "/health", "MaxConnections": 232, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{
					"Slots": engineSlots, "KvCacheTokens": kvTokens, "KvTokenBytes": kvTokenBytes, "LinkMbps": kvLinkMbps, "Moves": true,
					"Backups": true, "Stride": tokensPerEvent, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0,
					"Models": []any{map[string]any{"Name": "m"}},
				},
			},
			map[string]any{"Name": "workshop", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "huka270", "ApiKeys": []string{clientKey}, "Priority": 1}},
	})
	s.rec.line("configuration %d is accepted by the store", version)
}

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
