package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// memoryPlay is how long clients that nobody controls come, at most.
	memoryPlay = 40 * time.Second
	// faultEnds and faultMachines are those of the rule Fault: processes end three times on a tenth of the machines, two at least.
	faultEnds, faultMachines = 3, 2
)

// playMemory plays ordinary clients at three machines, and what come does at the first two of them. It returns true if the rule Fault is
// broken.
func (r *rig) playMemory(what string, come func(m *machine, stop <-chan struct{})) bool {
	stop := make(chan struct{})
	var players sync.WaitGroup
	results := make([][]attempt, len(r.machines))
	for i, m := range r.machines {
		players.Go(func() { results[i] = r.ordinary(m, stop) })
	}
	time.Sleep(3 * time.Second)
	struck := r.machines[:faultMachines]
	if r.trouble {
		r.record("%s, at %s and %s", what, struck[0].name, struck[1].name)
		for _, m := range struck {
			players.Go(func() { come(m, stop) })
		}
	}
	for end := time.Now().Add(memoryPlay); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if countFaulty(struck) == len(struck) {
			break
		}
	}
	close(stop)
	players.Wait()
	lost := 0
	for i, m := range r.machines {
		lost += r.recordAttempts(m, results[i])
		over, ended, peak := m.ends()
		r.record("%s: at most %d kB were in use, MemoryMb is %d kB; processes ended over MemoryMb: %d, by themselves: %d", m.name, peak, r.site.memoryMb<<10, over, ended)
	}
	r.record("orders that ran and have no answer: %d", lost)
	return countFaulty(r.machines) >= faultMachines
}

// countFaulty returns the number of machines on which processes have ended faultEnds times.
func countFaulty(machines []*machine) int {
	n := 0
	for _, m := range machines {
		if over, ended, _ := m.ends(); over+ended >= faultEnds {
			n++
		}
	}
	return n
}

// playUnread: clients that nobody controls send requests one after the other on their connections, and read no answer.
func playUnread(r *rig) bool {
	const clients = 1500
	r.deploy(3)
	for _, m := range r.machines {
		m.countsUnread = true
	}
	text := []byte(strings.Repeat("GET /none/7 HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: c0\r\n\r\n", 200))
	return r.playMemory(fmt.Sprintf("%d clients that nobody controls each send requests on one connection and read no answer", clients),
		func(m *machine, stop <-chan struct{}) {
			var all sync.WaitGroup
			for range clients {
				all.Go(func() {
					for fill(m.callers, text, stop) {
						time.Sleep(20 * time.Millisecond)
					}
				})
				time.Sleep(time.Millisecond)
			}
			all.Wait()
		})
}

// fill sends on a new connection until it ends, and reads nothing. It returns false once stop is closed.
func fill(address string, text []byte, stop <-chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", address, connectTime)
	if err == nil {
		defer func() { _ = conn.Close() }()
	}
	for {
		select {
		case <-stop:
			return false
		default:
		}
		if err != nil && !os.IsTimeout(err) {
			return true
		}
		if conn == nil {
			return true
		}
		_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // The write fails too if it does.
		_, err = conn.Write(text)
	}
}
