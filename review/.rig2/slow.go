package main

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowCallers is the number of clients that nobody controls, which come back when their connection is closed.
	slowCallers = 2500
	// slowTime is how long the ordinary callers are watched once the crowd is there.
	slowTime = 25 * time.Second
	// contactTime is ContactMs of the settings, and minCallers the number of clients that must have tried in that time.
	contactTime = 3 * time.Second
	minCallers  = 7
	// ordinaryCallers is the number of ordinary clients, each on a new connection for each request.
	ordinaryCallers = 10
)

// try is one request of an ordinary client on a new connection.
type try struct {
	caller int
	outcome
}

// slowCase: clients that nobody controls send all of a request but the last byte of its body, each on one connection.
func slowCase(r *rig) int {
	for i := range 3 {
		if _, err := r.newPlain(i, 6, 30*time.Millisecond); err != nil {
			return couldNot
		}
	}
	if _, err := r.newStream(10); err != nil {
		return couldNot
	}
	r.configure(1)
	e, err := r.startEntry(1, nil)
	if err != nil || !e.awaitReady() {
		return couldNot
	}
	var mu sync.Mutex
	var tries []try
	stop := make(chan struct{})
	var ordinary, crowd sync.WaitGroup
	for i := range ordinaryCallers {
		ordinary.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				o := newCaller(false).request(e.front(), "/order/2f", []byte("order"), 1500*time.Millisecond)
				mu.Lock()
				tries = append(tries, try{i, o})
				mu.Unlock()
			}
		})
	}
	var unready []time.Time
	ordinary.Go(func() { unready = watchReady(e, stop) })
	time.Sleep(3 * time.Second)
	began := time.Now()
	var open atomic.Int64
	if r.trouble {
		r.logf("%d clients begin to send", slowCallers)
		for range slowCallers {
			crowd.Go(func() { sendSlowly(e.front(), &open, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	r.logf("%d of these clients have a connection", open.Load())
	time.Sleep(slowTime)
	end := time.Now()
	close(stop)
	ordinary.Wait()
	crowd.Wait()
	slices.SortFunc(tries, func(a, b try) int { return a.at.Compare(b.at) })
	var list []outcome
	for _, t := range tries {
		list = append(list, t.outcome)
	}
	r.logOutcomes(list)
	n, good := served(list, r.began, began)
	r.logf("before: %d ordinary requests, %d served", n, good)
	if n == 0 || good < n {
		return couldNot
	}
	n, good = served(list, began, end)
	r.logf("from then on: %d ordinary requests, %d served; the machine said %d times that it is not ready", n, good, len(unready))
	statuses := map[int]int{}
	for _, o := range list {
		if o.at.After(began) {
			statuses[o.status]++
		}
	}
	r.logf("answers by status, 0 for a connection that was closed without one: %v", statuses)
	longest, callers := longestWithout(tries, unready, began, end)
	r.logf("longest time without an answer on a new connection while the machine said that it is ready: %.1f s, in which %d clients tried", longest.Seconds(), callers)
	if longest >= contactTime && callers >= minCallers {
		return broken
	}
	return held
}

// watchReady asks for readiness once a second, as the platform does, and returns when the answer was not 200.
func watchReady(e *entry, stop chan struct{}) []time.Time {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var unready []time.Time
	for {
		select {
		case <-stop:
			return unready
		case <-time.After(time.Second):
		}
		resp, err := c.Get("http://" + e.ip + ":8749/readiness")
		if err != nil || resp.StatusCode != http.StatusOK {
			unready = append(unready, time.Now())
		}
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// longestWithout returns the longest time between two moments at which a client got an answer or the machine was not ready, and the number
// of clients that tried meanwhile.
func longestWithout(tries []try, unready []time.Time, from, to time.Time) (longest time.Duration, callers int) {
	marks := append(slices.Clone(unready), from, to)
	for _, t := range tries {
		if t.status != 0 {
			marks = append(marks, t.at)
		}
	}
	slices.SortFunc(marks, time.Time.Compare)
	for i := range marks[:len(marks)-1] {
		if d := marks[i+1].Sub(marks[i]); d > longest {
			tried := map[int]bool{}
			for _, t := range tries {
				if t.at.After(marks[i]) && t.at.Before(marks[i+1]) {
					tried[t.caller] = true
				}
			}
			longest, callers = d, len(tried)
		}
	}
	return longest, callers
}

// sendSlowly sends a request but for the last byte of its body. It does so again when the connection is closed.
func sendSlowly(front string, open *atomic.Int64, stop chan struct{}) {
	for {
		c, err := net.DialTimeout("tcp", front, time.Second)
		if err == nil {
			open.Add(1)
			_, _ = c.Write(crowdRequest("/draft/2f", 39*time.Second, 1000)) // The entry may have closed the connection.
			ended := make(chan struct{})
			go func() {
				_, _ = c.Read(make([]byte, 1))
				close(ended)
			}()
			select {
			case <-ended:
			case <-stop:
			}
			open.Add(-1)
			_ = c.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
