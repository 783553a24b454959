package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is the stand-in for one front machine of the platform: it starts the command of the deploy file with a settings file, kills a
// process that exceeds MemoryMb, and starts the next one a short delay after one has ended.
type machine struct {
	rig            *rig
	name           string
	callers, ready string
	file           string
	// countsUnread is true if bytes that were received and not yet read count toward MemoryMb.
	countsUnread bool

	mu sync.Mutex
	// cmd is the running process; nil while there is none.
	cmd *exec.Cmd
	// overMemory counts the processes that the platform killed over MemoryMb, and ended those that ended by themselves.
	overMemory, ended int
	peakKB            int
	stopped           bool
	checks            []check
}

// check is the result of a readiness check.
type check struct {
	at time.Time
	ok bool
}

// restartDelay is the time from the end of a process to the start of the next one.
const restartDelay = 500 * time.Millisecond

func (r *rig) addMachine(name, host, zone string) {
	m := &machine{rig: r, name: name, callers: freeAddress(host), ready: freeAddress(host)}
	peer := freePort(host)
	zones := make(map[string]string)
	for _, z := range r.site.zones {
		zones[z] = r.site.region
	}
	encoded, err := json.Marshal(map[string]any{
		"Node": name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front"}, "IpAddress": host, "Zone": zone, "Region": r.site.region, "Zones": zones,
		"ListenAddresses":   map[string]string{"FrontHttp": m.callers, "Readiness": m.ready},
		"InternalPortRange": []int{peer, peer}, "SeedNodes": []string{}, "Bootstrap": true, "CountTowardTolerance": false,
		"Limits": map[string]any{
			"CpuShare": r.site.cpuShare, "CpuCores": 1, "MemoryMb": r.site.memoryMb, "FileDescriptors": r.site.descriptors, "LinkMbps": r.site.linkMbps, "DiskMb": 0,
		},
		"DataDirectory": nil, "Discovery": "platform", "Entry": "virtual_ip", "HeartbeatMs": heartbeat.Milliseconds(),
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"FaultTolerance": map[string]int{"Machines": 2, "Zones": 0, "Regions": 0},
		"Bounds":         r.site.bounds,
		"Platform":       map[string]any{"Address": r.storeAddress, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
	})
	r.must(err)
	m.file = filepath.Join(r.dir, name+".json")
	r.must(os.WriteFile(m.file, encoded, 0o600))
	r.machines = append(r.machines, m)
}

// start starts the process of the machine and watches it.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	cmd := exec.Command(m.rig.program, "platform")
	cmd.Env = append(os.Environ(), "TOUCANPORT_SETTINGS="+m.file, "GOMAXPROCS=1")
	log, err := os.OpenFile(filepath.Join(m.rig.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.rig.record("%s: %v", m.name, err)
		return
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = log.Close() // The process has its own.
	if err != nil {
		m.rig.record("%s: %v", m.name, err)
		return
	}
	m.cmd = cmd
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // What ended it is known.
		close(done)
	}()
	go m.watch(cmd, done)
}

// watch kills the process if it exceeds the memory of the machine, and starts the next one once it has ended.
func (m *machine) watch(cmd *exec.Cmd, done chan struct{}) {
	over := false
	for {
		select {
		case <-done:
			if m.recordEnd(over) {
				time.Sleep(restartDelay)
				m.start()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		anonymous, unread := anonymousKB(cmd.Process.Pid), 0
		if m.countsUnread {
			unread = unreadKB(m.callers)
		}
		m.mu.Lock()
		m.peakKB = max(m.peakKB, anonymous+unread)
		m.mu.Unlock()
		if limit := m.rig.site.memoryMb << 10; !over && anonymous+unread > limit {
			over = true
			m.rig.record("%s: %d kB are in use (%d kB received and not yet read), MemoryMb is %d (%d kB): the platform kills the process",
				m.name, anonymous+unread, unread, m.rig.site.memoryMb, limit)
			_ = cmd.Process.Kill() // It may have ended.
		}
	}
}

// recordEnd records the end of a process, and returns true if another one is to be started.
func (m *machine) recordEnd(over bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = nil
	if m.stopped {
		return false
	}
	if over {
		m.overMemory++
	} else {
		m.ended++
		m.rig.record("%s: the process has ended", m.name)
	}
	return true
}

// ends returns how many processes have ended.
func (m *machine) ends() (overMemory, ended, peakKB int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overMemory, m.ended, m.peakKB
}

// anonymousKB returns the resident anonymous memory of a process, without its program file and without what the kernel holds for it.
func anonymousKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}

// unreadKB returns the bytes, in kB, that were received on the connections to an address and that their process has not read.
func unreadKB(address string) int {
	name, portText, _ := net.SplitHostPort(address)
	ip := net.ParseIP(name).To4()
	port, _ := strconv.Atoi(portText)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listening = "0A"
	sum := int64(0)
	for line := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return int(sum >> 10)
}

// signal sends a signal to the running process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s) // It may have ended.
	}
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	m.stopped = true
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // It may have ended.
	}
	for m.runs() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (m *machine) runs() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd != nil
}

// checkReady makes one readiness check.
func (m *machine) checkReady() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c := check{at: time.Now()}
	resp, err := client.Get("http://" + m.ready + "/readiness")
	if err == nil {
		c.ok = resp.StatusCode == http.StatusOK
		_ = resp.Body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checks = append(m.checks, c)
}

// inRotation reports whether the platform sends new connections to the machine: no two misses in a row.
func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.checks)
	return n > 0 && (m.checks[n-1].ok || n > 1 && m.checks[n-2].ok)
}

// readyBetween reports whether all readiness checks in a span had status 200.
func (m *machine) readyBetween(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, c := range m.checks {
		if c.at.Before(from) || c.at.After(to) {
			continue
		}
		if !c.ok {
			return false
		}
		n++
	}
	return n > 0
}

// runChecks makes a readiness check of each machine every second.
func (r *rig) runChecks() {
	for !r.isOver() {
		for _, m := range r.machines {
			go m.checkReady()
		}
		time.Sleep(time.Second)
	}
}

func freeAddress(host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// freePort returns a port that is free for TCP and UDP.
func freePort(host string) int {
	for {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			panic(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", host, port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
}
