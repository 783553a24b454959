package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one attempt of an ordinary client.
type attempt struct {
	id     string
	client int
	method string
	at     time.Time
	// status is 0 if there was no whole answer; end tells why then.
	status int
	end    string
}

const (
	// connectTime is how long a client allows a new connection to be established.
	connectTime = time.Second
	// ordinaryClients is the number of ordinary clients of a machine, each of which makes an attempt on a new connection every clientPause.
	ordinaryClients = 8
	clientPause     = 500 * time.Millisecond
)

// ask makes one attempt of an ordinary client on a new connection: an order or a status request.
func (r *rig) ask(m *machine, client int, order bool) attempt {
	a := attempt{id: r.nextID('a'), client: client, method: http.MethodGet, at: time.Now()}
	target, body := "/status/7", ""
	if order {
		a.method, target, body = http.MethodPost, "/order/7", `{"posts":2}`
	}
	conn, err := net.DialTimeout("tcp", m.callers, connectTime)
	if err != nil {
		a.end = "no connection: " + reason(err)
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(a.at.Add(time.Duration(r.site.orderMs) * time.Millisecond))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		a.method, target, host, a.id, r.site.orderMs, callerKey, len(body), body)
	if err != nil {
		a.end = "no answer: " + reason(err)
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.end = "no answer: " + reason(err)
		return a
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		a.end = "no whole answer: " + reason(err)
		return a
	}
	a.status = resp.StatusCode
	return a
}

// reason returns the cause of a network error without addresses.
func reason(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Err.Error()
	}
	return err.Error()
}

// ordinary plays the ordinary clients of one machine until stop is closed, and returns their attempts.
func (r *rig) ordinary(m *machine, stop <-chan struct{}) []attempt {
	var mu sync.Mutex
	var all []attempt
	var clients sync.WaitGroup
	for client := range ordinaryClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(clientPause):
				}
				a := r.ask(m, client, n%2 == 1)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}
		})
		time.Sleep(clientPause / ordinaryClients)
	}
	clients.Wait()
	return all
}

// recordAttempts writes what became of the attempts at a machine, and returns the number of orders that ran and have no answer.
func (r *rig) recordAttempts(m *machine, all []attempt) int {
	lost := 0
	n := make(map[string]int)
	for _, a := range all {
		end := a.end
		if a.status != 0 {
			end = fmt.Sprintf("status %d", a.status)
		}
		n[a.method+" "+end]++
		if runs := r.runsOf(a.id); a.method == http.MethodPost && a.status == 0 && runs > 0 {
			lost++
			r.record("%s: order %s ran %d times, its client got: %s", m.name, a.id, runs, a.end)
		}
	}
	for end, count := range n {
		r.record("%s: ordinary clients, %s: %d", m.name, end, count)
	}
	return lost
}
