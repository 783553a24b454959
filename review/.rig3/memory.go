package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowd is what each client of a crowd that nobody controls does: it sends the head of one request of legal size, a part of its body at
// once, and the rest slowly.
type crowd struct {
	clients int
	// length is that of the body, of which atOnce bytes are sent at once, and then one byte each pause.
	length, atOnce int
	pause          time.Duration
}

// play lets the clients of a crowd come to a machine, each with one connection at a time, until stop is closed.
func (c crowd) play(r *rig, m *machine, stop <-chan struct{}, sent *atomic.Int64) {
	body := []byte(strings.Repeat("x", c.atOnce))
	var clients sync.WaitGroup
	for range c.clients {
		clients.Go(func() {
			for {
				sent.Add(1)
				c.request(r, m, body, stop)
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		})
		time.Sleep(time.Millisecond)
	}
	clients.Wait()
}

// request makes one request, until the machine ends the connection.
func (c crowd) request(r *rig, m *machine, body []byte, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", m.callers, connectTime)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	ended := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // Only the end matters.
		close(ended)
	}()
	_, err = fmt.Fprintf(conn, "POST /plan/7 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n",
		host, r.nextID('c'), streamMs, otherKey, c.length)
	if err != nil {
		return
	}
	if _, err = conn.Write(body); err != nil {
		return
	}
	for left := c.length - len(body); left > 0; left-- {
		select {
		case <-stop:
			return
		case <-ended:
			return
		case <-time.After(c.pause):
		}
		if _, err = conn.Write([]byte("x")); err != nil {
			return
		}
	}
	select {
	case <-stop:
	case <-ended:
	}
}

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

// playBodies: clients that nobody controls send bodies of 65,000 bytes, far below MaxBodyBytes.
func playBodies(r *rig) bool {
	r.deploy(3)
	c := crowd{clients: 1800, length: 65000, atOnce: 64000, pause: time.Second}
	var sent atomic.Int64
	broken := r.playMemory(fmt.Sprintf("%d clients that nobody controls each send a body of %d bytes, the last %d of them slowly", c.clients, c.length, c.length-c.atOnce),
		func(m *machine, stop <-chan struct{}) { c.play(r, m, stop, &sent) })
	r.record("requests of the clients that nobody controls: %d, run: none, as none was sent whole", sent.Load())
	return broken
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
