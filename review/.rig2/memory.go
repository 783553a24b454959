package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMb is MemoryMb of the settings, in MiB.
	memoryMb = 134
	// crowdCallers is the number of clients that nobody controls, and crowdBody the length of their bodies in bytes, far below MaxBodyBytes.
	crowdCallers = 1850
	crowdBody    = 65500
	// crowdPause is the time between two of these clients.
	crowdPause = 2 * time.Millisecond
	// memoryEnds is how often the processes of two machines end by themselves in a day that counts 0.
	memoryEnds = 3
	// memoryTime is how long one machine meets the crowd at most, and restartDelay the time until the platform starts a process again.
	memoryTime   = 35 * time.Second
	restartDelay = 300 * time.Millisecond
)

// crowdRequest is a request but for the last byte of its body.
func crowdRequest(path string, deadline time.Duration, length int) []byte {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nX-Api-Key: %s\r\nDeadline-Ms: %d\r\nToken-Count: 1460,80\r\nModel: m\r\nContent-Length: %d\r\n\r\n",
		path, host, newID(), secret, deadline.Milliseconds(), length)
	return append([]byte(head), make([]byte, length-1)...)
}

// guard is the platform on one machine: it ends a process that exceeds its memory, and starts it again.
type guard struct {
	entry *entry
	peak  int
	ends  int
}

func (g *guard) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		kb := g.entry.anonymous()
		g.peak = max(g.peak, kb)
		if kb > memoryMb<<10 {
			g.entry.rig.logf("%s: %d kB of anonymous memory, over MemoryMb = %d (%d kB): the platform ends the process", g.entry.name, kb, memoryMb, memoryMb<<10)
			g.entry.signal(syscall.SIGKILL)
		}
		if g.entry.running() {
			continue
		}
		g.ends++
		if g.ends == memoryEnds {
			return
		}
		time.Sleep(restartDelay)
		if g.entry.start() != nil || !g.entry.awaitReady() {
			g.entry.rig.logf("%s: did not start again", g.entry.name)
			return
		}
	}
}

// sendAll sends the crowd's requests to an entry until its process ends.
func sendAll(e *entry, stop chan struct{}) []net.Conn {
	var crowd []net.Conn
	for range crowdCallers {
		select {
		case <-stop:
			return crowd
		default:
		}
		c, err := net.DialTimeout("tcp", e.front(), time.Second)
		if err != nil {
			return crowd
		}
		crowd = append(crowd, c)
		time.Sleep(crowdPause)
		_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, _ = c.Write(crowdRequest("/draft/2f", 39*time.Second, crowdBody)) // The process may have ended.
	}
	return crowd
}

// memoryCase: clients that nobody controls send requests with bodies of 65.5 kB, but for the last byte.
func memoryCase(r *rig) int {
	for i := range 3 {
		if _, err := r.newPlain(i, 6, 30*time.Millisecond); err != nil {
			return couldNot
		}
	}
	if _, err := r.newStream(10); err != nil {
		return couldNot
	}
	r.configure(1)
	var guards []*guard
	for i := range 2 {
		e, err := r.startEntry(1+i, nil)
		if err != nil || !e.awaitReady() {
			return couldNot
		}
		guards = append(guards, &guard{entry: e})
	}
	seen := &outcomes{}
	stopOrdinary := make(chan struct{})
	var ordinary sync.WaitGroup
	for i := range 6 {
		ordinary.Go(func() { callNow(seen, guards[i%2].entry, stopOrdinary) })
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	for _, g := range guards {
		g.meet(r.trouble)
	}
	close(stopOrdinary)
	ordinary.Wait()
	list := seen.list()
	r.logOutcomes(list)
	n, good := served(list, r.began, began)
	r.logf("before: %d ordinary requests, %d served", n, good)
	if n == 0 || good < n {
		return couldNot
	}
	n, good = served(list, began, time.Now())
	r.logf("from then on: %d ordinary requests, %d served", n, good)
	over := 0
	for _, g := range guards {
		r.logf("%s: ended by itself %d times; most anonymous memory %d kB of %d kB", g.entry.name, g.ends, g.peak, memoryMb<<10)
		if g.ends >= memoryEnds {
			over++
		}
	}
	if over == len(guards) {
		return broken
	}
	return held
}

// meet lets the machine meet the crowd until its process has ended memoryEnds times, or for memoryTime. Without trouble, it waits.
func (g *guard) meet(trouble bool) {
	stop := make(chan struct{})
	var work sync.WaitGroup
	ended := make(chan struct{})
	work.Go(func() {
		g.run(stop)
		close(ended)
	})
	wait := memoryTime
	if !trouble {
		wait = 8 * time.Second
	}
	timer := time.After(wait)
	if trouble {
		work.Go(func() { g.crowd(ended, stop) })
	}
	select {
	case <-ended:
	case <-timer:
	}
	close(stop)
	work.Wait()
}

// crowd sends the crowd's requests, again each time that the process has ended and is ready again.
func (g *guard) crowd(ended, stop chan struct{}) {
	for {
		conns := sendAll(g.entry, stop)
		if len(conns) > 100 {
			g.entry.rig.logf("%d clients have sent all but the last byte to %s", len(conns), g.entry.name)
		}
		for alive := len(conns) == crowdCallers; alive; {
			select {
			case <-ended:
				alive = false
			case <-stop:
				alive = false
			case <-time.After(50 * time.Millisecond):
				alive = g.entry.running()
			}
		}
		for _, c := range conns {
			_ = c.Close()
		}
		select {
		case <-ended:
			return
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// callNow makes ordinary requests on new connections, ten a second, until stop is closed.
func callNow(seen *outcomes, e *entry, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		seen.add(newCaller(false).request(e.front(), "/order/2f", []byte("order"), 1500*time.Millisecond))
	}
}
