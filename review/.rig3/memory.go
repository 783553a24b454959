package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

const (
	// unreadClients is the number of clients that nobody controls, at each of the machines to which they come.
	unreadClients = 250
	// uploads and uploadBytes are the requests that each of them sends first on its connection, inside MaxBodyBytes, and whose answers it
	// reads. The kernel grows the receive buffer of a connection that brings much.
	uploads, uploadBytes = 3, 1 << 20
)

// playUnread: clients that nobody controls send requests one after the other on their connections, and read no answer.
func playUnread(r *rig) bool {
	r.deploy(3)
	for _, m := range r.machines {
		m.countsUnread = true
	}
	body := strings.Repeat("x", uploadBytes)
	text := []byte(strings.Repeat("GET /none/7 HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: c0\r\n\r\n", 200))
	what := fmt.Sprintf("%d clients that nobody controls each send %d requests with a body of %d bytes on one connection, and then small ones without reading an answer",
		unreadClients, uploads, uploadBytes)
	return r.playMemory(what, func(m *machine, stop <-chan struct{}) {
		var all sync.WaitGroup
		for range unreadClients {
			all.Go(func() {
				for {
					r.fill(m, body, text, stop)
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
				}
			})
			time.Sleep(2 * time.Millisecond)
		}
		all.Wait()
	})
}

// fill uploads on a new connection, and then sends text until the connection ends or stop is closed, and reads nothing more.
func (r *rig) fill(m *machine, body string, text []byte, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", m.callers, connectTime)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4096) // Smaller answers are enough then.
	}
	answers := bufio.NewReader(conn)
	for range uploads {
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // What follows fails too if it does.
		_, err := fmt.Fprintf(conn, "POST /order/7 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
			host, r.nextID('c'), r.site.orderMs, callerKey, len(body), body)
		if err != nil {
			return
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return
		}
	}
	for err == nil || os.IsTimeout(err) {
		select {
		case <-stop:
			return
		default:
		}
		_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // As above.
		_, err = conn.Write(text)
	}
}
