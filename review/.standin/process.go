package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"time"
)

// engineProcess is an engine in a process of its own, which can be killed.
type engineProcess struct {
	id, address string
	cmd         *exec.Cmd
	ended       chan struct{}
}

// unframedEvery is how many answers such an engine gives for each one without a length.
const unframedEvery = 20

// runEngine is the main function of an engine's process. It ends when it is killed.
func runEngine(id, address, log string, odd bool) int {
	rec, err := newRecord(log)
	if err != nil {
		return 2
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &engine{
		group: newEngineGroup(rec, nil), id: id, address: address, listener: l, open: true, unframed: odd,
		loses: func(string, int) int { return 0 }, runs: make(map[string]*run), moving: make(map[string]bool), conns: make(map[net.Conn]bool),
	}
	if odd {
		e.oddEvery = unframedEvery
	}
	e.accept()
	return 0
}

// startEngineProcess starts an engine in a process of its own and lists it in the store. Its log goes to a file.
func (s *scene) startEngineProcess(n int, odd bool) (*engineProcess, error) {
	ip := fmt.Sprintf("%s%d", s.network, 100+n)
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	p := &engineProcess{id: fmt.Sprintf("i-a%02d%06x", n, time.Now().UnixNano()&0xffffff), address: fmt.Sprintf("%s:%d", ip, port), ended: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], "engine", p.id, p.address, s.engineLog(p.id), fmt.Sprint(odd))
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	s.processes = append(s.processes, p)
	for until := time.Now().Add(5 * time.Second); !p.accepts(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("engine %s does not start", p.id)
		}
	}
	s.store.put("servers/"+p.id, map[string]any{
		"Service": "assistant", "Address": p.address, "Zone": zones[n%len(zones)], "Version": "v1", "Slots": engineSlots, "State": "ready",
		"ColdRemainingMs": 0, "Stage": "both", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	s.rec.line("engine %s at %s is listed as ready, accepted by the store; some answers without a length: %v", p.id, p.address, odd)
	return p, nil
}

// accepts reports whether the engine accepts a connection.
func (p *engineProcess) accepts() bool {
	c, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// kill kills the process and waits for its end.
func (p *engineProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}
