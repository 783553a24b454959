package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// modelEngines is the number of engines, of which losers lose answers: 3 of 7, 0.43.
	modelEngines, losers = 7, 3
	// lossTime is how long answers are lost, and lossShare the share of the requests that these engines run meanwhile.
	lossTime  = 4 * time.Second
	lossShare = 0.05
	// streamPause is the time between two requests at each machine.
	streamPause = 40 * time.Millisecond
	// smallPrompt and largePrompt are the lengths of prompts in tokens, of which each largeEvery-th is large, and output the length of
	// the answers.
	smallPrompt, largePrompt = 2200, 6000
	largeEvery               = 6
	smallOutput, largeOutput = 12, 36
	// workedOn is how long an engine may still work on a request that has gone on at another one.
	workedOn = 400 * time.Millisecond
)

// askModel makes one request for a stream that may be resumed, and returns how it ended.
func (r *rig) askModel(m *machine, large bool) (id, end string) {
	id = r.nextID('q')
	prompt, output := smallPrompt, smallOutput
	if large {
		prompt, output = largePrompt, largeOutput
	}
	conn, err := net.DialTimeout("tcp", m.callers, connectTime)
	if err != nil {
		return id, "no connection: " + reason(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /brief/7 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Count: %d,%d\r\nPrompt-Prefix: 5c1e07a2:210,%s:%d\r\nDeadline-Ms: 6000\r\nX-Api-Key: %s\r\nContent-Length: 2\r\n\r\n{}",
		host, id, prompt, output, id[1:], prompt-210, callerKey)
	if err != nil {
		return id, "no answer: " + reason(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return id, "no answer: " + reason(err)
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return id, "no whole answer: " + reason(err)
	}
	return id, fmt.Sprintf("status %d", resp.StatusCode)
}

// playTwice: engines lose answers before their heads, and run on. It returns true if a request has gone on at another engine while the one
// before still works on it 400 ms later and was not told to stop.
func playTwice(r *rig) bool {
	for i := range modelEngines {
		r.addModelEngine(fmt.Sprintf("i-91be07f%d", i), r.site.zones[i%len(r.site.zones)])
	}
	r.deploy(2)
	var mu sync.Mutex
	ends := make(map[string]int)
	endOf := make(map[string]string)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range r.machines {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(streamPause):
				}
				clients.Go(func() {
					id, end := r.askModel(m, n%largeEvery == 0)
					mu.Lock()
					ends[end]++
					endOf[id] = end
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	if r.trouble {
		r.loseAnswers()
	} else {
		time.Sleep(lossTime)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	r.record("clients: %v", ends)
	broken := 0
	for _, id := range r.modelRequests() {
		broken += r.countTwice(id, endOf[id])
	}
	r.record("requests that went on at another engine while the one before still worked on them 400 ms later: %d", broken)
	return broken > 0
}

// loseAnswers lets some engines lose one answer each at a time, as many as lossShare allows.
func (r *rig) loseAnswers() {
	r.record("for %v, %d of %d engines lose at most %.2f of their answers", lossTime, losers, modelEngines, lossShare)
	for _, e := range r.models[:losers] {
		e.mu.Lock()
		e.ran = 0
		e.mu.Unlock()
	}
	for end := time.Now().Add(lossTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ran, lost := 0, 0
		for _, e := range r.models[:losers] {
			e.mu.Lock()
			ran, lost = ran+e.ran, lost+len(e.lost)+e.toLose
			e.mu.Unlock()
		}
		if float64(lost+1) <= lossShare*float64(ran) {
			e := r.models[lost%losers]
			e.mu.Lock()
			e.toLose++
			e.mu.Unlock()
		}
	}
	ran, lost := 0, 0
	for _, e := range r.models[:losers] {
		e.mu.Lock()
		e.toLose = 0
		ran, lost = ran+e.ran, lost+len(e.lost)
		e.mu.Unlock()
	}
	r.record("%d of %d answers of these engines were lost (%.3f)", lost, ran, float64(lost)/float64(max(ran, 1)))
}

// modelRequests returns the ids of all requests that ran.
func (r *rig) modelRequests() []string {
	ids := make(map[string]bool)
	for _, e := range r.models {
		e.mu.Lock()
		for id := range e.works {
			ids[id] = true
		}
		e.mu.Unlock()
	}
	list := make([]string, 0, len(ids))
	for id := range ids {
		list = append(list, id)
	}
	sort.Strings(list)
	return list
}

// countTwice returns 1 if another engine began to work on a request, and one before still worked on it 400 ms later without having been
// told to stop.
func (r *rig) countTwice(id, end string) int {
	var works []work
	for _, e := range r.models {
		e.mu.Lock()
		for _, w := range e.works[id] {
			works = append(works, *w)
		}
		e.mu.Unlock()
	}
	sort.Slice(works, func(i, j int) bool { return works[i].began.Before(works[j].began) })
	for i, later := range works {
		for _, before := range works[:i] {
			if before.engine == later.engine || !before.told.IsZero() || !before.end.After(later.began.Add(workedOn)) {
				continue
			}
			r.record("%s (client: %s): engine %s works on it from %.3f to %.3f, engine %s from %.3f to %.3f; %s was not told to stop", id, end,
				before.engine, r.at(before.began), r.at(before.end), later.engine, r.at(later.began), r.at(later.end), before.engine)
			return 1
		}
	}
	return 0
}

// at returns a time in seconds from the beginning of the case.
func (r *rig) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }
