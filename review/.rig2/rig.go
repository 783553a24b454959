// Command rig plays one case of the second review: the project's entries as processes of their own, with stand-ins of the
// platform, the engines and the clients in this process. All addresses are loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	held      = 0
	broken    = 1
	couldNot  = 2
	secret    = "k7f2m9q4"
	host      = "ficu95.example"
	heartbeat = 1200 * time.Millisecond
)

// rig is one deployment.
type rig struct {
	dir     string
	trouble bool
	program string
	net     string
	store   *store
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	entries []*entry
}

// entry is a process of the project's.
type entry struct {
	rig      *rig
	name, ip string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newRig(dir string) (*rig, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", program: filepath.Join(root, "target", "toucanport"), began: time.Now(), record: f,
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	if r.store, err = newStore(r.net + ".1:0"); err != nil {
		return nil, err
	}
	r.logf("trouble: %v", r.trouble)
	return r, nil
}

// logf writes a line into the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// startEntry starts an entry with settings like those of a front machine of Cordeau Laval.
func (r *rig) startEntry(n int, change func(settings map[string]any)) (*entry, error) {
	ip := fmt.Sprintf("%s.%d", r.net, 10+n)
	name := fmt.Sprintf("front-qc-east-a-%d", n)
	settings := map[string]any{
		"Node": name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front"}, "IpAddress": ip,
		"Zone": "qc-east-a", "Region": "qc-east", "Zones": map[string]string{"qc-east-a": "qc-east", "qc-east-b": "qc-east", "qc-east-c": "qc-east"},
		"ListenAddresses":   map[string]string{"FrontHttp": ip + ":8740", "Readiness": ip + ":8749"},
		"InternalPortRange": []int{7200, 7215}, "SeedNodes": []string{}, "Bootstrap": true, "CountTowardTolerance": false,
		"Limits":        map[string]any{"CpuShare": 0.304, "CpuCores": 1, "MemoryMb": 134, "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDirectory": nil, "Discovery": "platform", "Entry": "virtual_ip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"FaultTolerance": map[string]int{"Machines": 2, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AcknowledgeMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigurationApplyMs": 2000, "RollbackSlackMs": 250, "StretchMaxMs": 5000, "FailClosed": false, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
			"BudgetWindowS": 10, "RetryBudgetSlack": 56, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 4.8,
		},
		"Platform": map[string]any{"Address": r.store.addr, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
	}
	if change != nil {
		change(settings)
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	e := &entry{rig: r, name: name, ip: ip, settings: filepath.Join(os.TempDir(), fmt.Sprintf("rig-%d-%s.json", os.Getpid(), name))}
	if err := os.WriteFile(e.settings, encoded, 0o600); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	r.entries = append(r.entries, e)
	return e, nil
}

func (e *entry) start() error {
	out, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	e.cmd = exec.Command(e.rig.program, "platform")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANPORT_SETTINGS=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		e.rig.logf("%s: process ended: %v", e.name, cmd.ProcessState)
		close(ended)
	}(e.cmd, e.ended)
	e.rig.logf("%s: started", e.name)
	return nil
}

// running reports whether the process runs.
func (e *entry) running() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

func (e *entry) signal(s syscall.Signal) {
	e.rig.logf("%s: %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// anonymous returns the anonymous resident memory of the process in KiB, which leaves out the program's file.
func (e *entry) anonymous() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

func (e *entry) front() string { return e.ip + ":8740" }

// awaitReady waits until the readiness check answers 200.
func (e *entry) awaitReady() bool {
	c := http.Client{Timeout: time.Second}
	for range 100 {
		resp, err := c.Get("http://" + e.ip + ":8749/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				e.rig.logf("%s: ready", e.name)
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// end ends all processes and removes the temporary files.
func (r *rig) end() {
	for _, e := range r.entries {
		if e.running() {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
			<-e.ended
		}
		if os.Getenv("KEEPLOG") == "" {
			_ = os.Remove(e.settings + ".log")
		}
		_ = os.Remove(e.settings)
	}
}

// configure writes the operator's configuration: an order route, a status route and a stream route.
func (r *rig) configure(version int) {
	route := func(name, prefix, kind, service string, timeout, goal int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout, "LatencyGoalMs": goal, "Priority": 1,
			"Service": service, "MaxAttempts": 3, "AllowAnonymous": false,
		}
	}
	draft := route("plan-draft", "/draft/", "streaming", "redacteur", 39000, 1800)
	draft["StickySessions"], draft["GapTargetMs"] = true, 180
	r.store.Set("op/config", map[string]any{
		"Version": version,
		"Routes": []any{
			route("order-entry", "/order/", "unsafe", "comptoir", 1500, 150),
			route("order-status", "/status/", "safe", "comptoir", 1500, 150),
			draft,
		},
		"Services": []any{
			map[string]any{"Name": "comptoir", "HealthPath": "/health", "MaxConnections": 110},
			map[string]any{"Name": "redacteur", "HealthPath": "/health", "MaxConnections": 252, "Engine": map[string]any{
				"Slots": 24, "KvCacheTokens": 34319, "KvTokenBytes": 131072, "LinkMbps": 10000, "Moves": true, "Backups": true, "Stride": 4, "HandleS": 5,
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
		"Tenants": []any{map[string]any{"Name": "huka270", "ApiKeys": []string{secret}}},
	})
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// engine is what all stand-ins of engines have: an id, an address, and their heartbeat in the store.
type engine struct {
	rig         *rig
	id, service string
	addr        string
	slots       int
	stop        chan struct{}
	// now makes the next heartbeat come at once.
	now      chan struct{}
	listener net.Listener
	// draining is true from drain on.
	draining atomic.Bool
}

func (r *rig) newEngine(n int, service string, slots int) (*engine, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", r.net, 100+n))
	if err != nil {
		return nil, err
	}
	return &engine{rig: r, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, addr: ln.Addr().String(), slots: slots, stop: make(chan struct{}), now: make(chan struct{}, 1), listener: ln}, nil
}

// beat writes the engine's entry to the store until it is stopped.
func (e *engine) beat() {
	born := time.Now().UnixMilli()
	write := func(seq int) {
		state := "ready"
		if e.draining.Load() {
			state = "draining"
		}
		e.rig.store.Set("servers/"+e.id, map[string]any{
			"Service": e.service, "Address": e.addr, "Zone": "qc-east-a", "Version": 1, "Slots": e.slots, "State": state, "ColdRemainingMs": 0,
			"Sequence": seq, "born": born,
		})
	}
	write(0)
	go func() {
		for seq := 1; ; seq++ {
			select {
			case <-time.After(heartbeat):
				write(seq)
			case <-e.now:
				write(seq)
			case <-e.stop:
				return
			}
		}
	}()
}

// drain reports at once that the engine drains.
func (e *engine) drain() {
	e.draining.Store(true)
	e.now <- struct{}{}
}

func main() {
	cases := map[string]func(*rig) int{"memory": memoryCase, "deferral": deferralCase, "slow": slowCase, "handover": handoverCase, "reader": readerCase, "budget": budgetCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the repository")
		os.Exit(couldNot)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	result := cases[os.Args[1]](r)
	r.end()
	r.logf("result: %d", result)
	fmt.Println([]string{"the rule held", "the rule was broken", "the case couldn't run"}[result])
	os.Exit(result)
}
