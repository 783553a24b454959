package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// entry is a process of the project, started with the command of the deploy file.
type entry struct {
	name, zone   string
	front, ready string
	// ip and peerPort locate the ports for other entries.
	ip       string
	peerPort int
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
	log      *os.File
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newEntry writes the settings of an entry into dir. The settings are those of a front machine of a small deployment.
func newEntry(dir, ip, zone string, n int, storeAddress string) (*entry, error) {
	e := &entry{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: ip}
	var ports [3]int
	for i := range ports {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	e.front, e.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	e.peerPort = ports[2]
	settings := map[string]any{
		"Node": e.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front"},
		"IpAddress": ip, "Zone": zone, "Region": "lima",
		"Zones":             map[string]string{"lima-a": "lima", "lima-b": "lima", "lima-c": "lima"},
		"ListenAddresses":   map[string]string{"FrontHttp": e.front, "Readiness": e.ready},
		"InternalPortRange": []int{e.peerPort, e.peerPort + 15},
		"SeedNodes":         []string{}, "Bootstrap": true, "CountTowardTolerance": false,
		"Limits":        map[string]any{"CpuShare": 0.304, "CpuCores": 1, "MemoryMb": 284, "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDirectory": nil, "Discovery": "platform", "Entry": "virtual_ip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"FaultTolerance": map[string]int{"Machines": 2, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AcknowledgeMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
			"LossSlackMs": 200, "ConfigurationApplyMs": 2000, "RollbackSlackMs": 250, "StretchMaxMs": 5000, "FailClosed": false,
			"RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 56, "RecoveryS": 12, "PassMs": 120,
			"ReuseWindowS": 7,
		},
		"Platform": map[string]any{
			"Address": storeAddress, "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000,
		},
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	e.settings = filepath.Join(dir, e.name+".json")
	if err := os.WriteFile(e.settings, encoded, 0o600); err != nil {
		return nil, err
	}
	e.log, err = os.Create(filepath.Join(dir, e.name+".log"))
	return e, err
}

// start starts the process, from the repository's root.
func (e *entry) start() error {
	e.cmd = exec.Command("target/toucanport", "platform")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TOUCANPORT_SETTINGS=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go func() {
		_ = e.cmd.Wait()
		close(e.ended)
	}()
	return nil
}

// awaitReady waits until the entry answers the readiness check with 200.
func (e *entry) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, limit)
}

// running reports whether the process runs.
func (e *entry) running() bool {
	select {
	case <-e.ended:
		return false
	default:
		return e.cmd != nil
	}
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) error { return e.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.ended
	_ = e.log.Close()
}
