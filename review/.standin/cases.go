package main

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// playCalls sends calls, one after another at an interval, to the entries in turn, and returns their outcomes.
func (s *scene) playCalls(calls []call, interval time.Duration) []outcome {
	outcomes := make([]outcome, len(calls))
	var wg sync.WaitGroup
	for i, k := range calls {
		s.group.expect(k.id, k.bodyLength)
		wg.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			outcomes[i] = k.do(s.entries[i%len(s.entries)].front, s.rec)
		})
	}
	wg.Wait()
	return outcomes
}

// countWhole records how many answers are whole.
func (s *scene) countWhole(outcomes []outcome) {
	for _, o := range outcomes {
		if o.status == 200 && o.complete {
			s.rec.count("whole answers")
		}
	}
}

// resumedBody takes away one engine of seven with a notice while it runs streams. Half of the requests have a body of some hundred
// kilobytes, the other half a short one.
func resumedBody(s *scene) error {
	if err := s.start(7, 0, 2); err != nil {
		return err
	}
	var calls []call
	for i := range 28 {
		length := 8 << 10
		if i%4 < 2 {
			length = (300 + 50*(i%5)) << 10
		}
		calls = append(calls, call{
			id: newID(), path: proposalPath + "2f", key: clientKey, prompt: 1500, out: 800, deadline: 39 * time.Second,
			bodyLength: length, burst: length, closes: true,
		})
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		if s.trouble {
			time.Sleep(4 * time.Second)
			s.drainBusiest()
		}
	}()
	outcomes := s.playCalls(calls, 50*time.Millisecond)
	<-left
	s.countWhole(outcomes)
	if s.trouble && s.rec.counted("resumed runs") == 0 {
		return errors.New("no run went on at another engine")
	}
	return nil
}

// serveAfterNotice is how long an engine serves after its notice: DrainMs and a little longer.
const serveAfterNotice = 3 * time.Second

// drainBusiest makes the engine with the most runs report that it drains, and ends it after serveAfterNotice.
func (s *scene) drainBusiest() {
	e := s.engines[0]
	for _, other := range s.engines {
		if other.runCount() > e.runCount() {
			e = other
		}
	}
	s.rec.line("engine %s drains with %d runs", e.id, e.runCount())
	e.list("draining")
	time.Sleep(serveAfterNotice)
	e.end()
}

// oddEvery is how many answers an engine gives for each one out of the ordinary, 0.02 of them.
const oddEvery = 50

// oddShare makes half of the engines give one answer in oddEvery out of the ordinary.
func (s *scene) oddShare(encodes bool) {
	for i, e := range s.engines {
		if s.trouble && i%2 == 0 {
			e.mu.Lock()
			e.oddEvery, e.encodes = oddEvery, encodes
			e.mu.Unlock()
		}
	}
}

// earlyAnswer has engines that begin some answers before they have read a long body, and read on while they answer.
func earlyAnswer(s *scene) error {
	if err := s.start(4, 0, 2); err != nil {
		return err
	}
	s.oddShare(false)
	var calls []call
	for i := range 240 {
		calls = append(calls, call{
			id: newID(), path: proposalPath + "2f", key: clientKey, prompt: 300, out: 120, deadline: 39 * time.Second,
			bodyLength: 400 << 10, burst: 280 << 10, piece: 8 << 10, pause: 40 * time.Millisecond, chunked: i%2 == 1,
		})
	}
	s.countWhole(s.playCalls(calls, 60*time.Millisecond))
	time.Sleep(6 * time.Second) // The engines wait up to 5 s for the rest of a body.
	if s.trouble && s.rec.counted("early answers") == 0 {
		return errors.New("no engine answered early")
	}
	return nil
}

// encodedStream has engines that give some of their answers with a Content-Encoding.
func encodedStream(s *scene) error {
	if err := s.start(4, 0, 2); err != nil {
		return err
	}
	s.oddShare(true)
	var calls []call
	for range 240 {
		calls = append(calls, call{
			id: newID(), path: questionPath + "2f", key: clientKey, prompt: 300, out: 80, deadline: 6 * time.Second, bodyLength: 200, burst: 200,
		})
	}
	outcomes := s.playCalls(calls, 60*time.Millisecond)
	s.countWhole(outcomes)
	for i, o := range outcomes {
		if o.status == 200 && o.complete && (o.wrong > 0 || o.header.Get("Content-Encoding") != "") {
			s.rec.violation("MIXED", "the client got of %s a whole success with Content-Encoding %q; first wrong event %d",
				calls[i].id, o.header.Get("Content-Encoding"), o.wrong)
		}
	}
	if s.trouble && s.rec.counted("encoded answers") == 0 {
		return errors.New("no answer was encoded")
	}
	return nil
}

const (
	// crowdedRate is the number of requests a second in leftClients, a little more than the engines can serve.
	crowdedRate = 25
	// giveUpAfter is the time after which a client leaves, within half of the route's objective of 1,800 ms.
	giveUpAfter = 400 * time.Millisecond
	// giveUpFrom and giveUpFor say when clients leave, and leavingOneIn which share of them.
	giveUpFrom   = 8 * time.Second
	giveUpFor    = 5500 * time.Millisecond
	leavingOneIn = 5
	// few is the number of late arrivals at engines that still counts as a few.
	few = 5
)

// leftClients has clients that leave while the engines are full and their requests are held. Three requests of four have a body of
// some hundred kilobytes, the others a short one.
func leftClients(s *scene) error {
	if err := s.start(6, 0, 2); err != nil {
		return err
	}
	interval := time.Second / crowdedRate
	var calls []call
	for i := range 16 * crowdedRate {
		k := call{id: newID(), path: proposalPath + "2f", key: clientKey, prompt: 3000, out: 360, deadline: 39 * time.Second, bodyLength: 300 << 10, burst: 300 << 10}
		if i%4 == 0 {
			k.bodyLength, k.burst = 8<<10, 8<<10
		}
		at := time.Duration(i) * interval
		if s.trouble && i%leavingOneIn == 0 && at >= giveUpFrom && at < giveUpFrom+giveUpFor {
			k.leaves, k.left = giveUpAfter, func() { s.group.left(k.id) }
		}
		calls = append(calls, k)
	}
	outcomes := s.playCalls(calls, interval)
	s.countWhole(outcomes)
	for _, o := range outcomes {
		if o.status == 503 {
			s.rec.count("refused")
		}
	}
	long, short := s.rec.counted(lateLong), s.rec.counted(lateShort)
	if long+short > few {
		s.rec.violation("GONE", "%d requests with long bodies and %d with short ones reach an engine over %v after their clients closed their connections",
			long, short, lateArrival)
	}
	return nil
}

const (
	// idleDrop is the time after which the engines drop an idle connection without notice. They state 15 s.
	idleDrop = 4 * time.Second
	// shortRate is the number of short streams a second, which come for shortFor.
	shortRate = 130
	shortFor  = 3800 * time.Millisecond
	// longFrom is when the long streams come, longCount how many.
	longFrom  = 2600 * time.Millisecond
	longCount = 98
	// longEvent is the event after which the answer of a long stream is lost, about 8 s after its start.
	longEvent = 195
)

// lostAnswer has three engines of seven that lose the answers of some streams: the connection closes in the middle, and the run goes on.
// All engines drop idle connections sooner than they state.
func lostAnswer(s *scene) error {
	if err := s.start(7, 0, 2); err != nil {
		return err
	}
	for i, e := range s.engines {
		e.idleDrop = idleDrop
		if s.trouble && i%2 == 0 && i < 6 {
			e.loses = loseSome(i / 2)
		}
	}
	var short, long []call
	for range int(shortFor.Seconds() * shortRate) {
		short = append(short, call{id: newID(), path: questionPath + "2f", key: clientKey, prompt: 300, out: 40, deadline: 6 * time.Second, bodyLength: 200, burst: 200})
	}
	for range longCount {
		long = append(long, call{id: newID(), path: proposalPath + "2f", key: clientKey, prompt: 100, out: 1000, deadline: 39 * time.Second, bodyLength: 200, burst: 200})
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.countWhole(s.playCalls(short, time.Second/shortRate)) })
	wg.Go(func() {
		time.Sleep(longFrom)
		s.countWhole(s.playCalls(long, 10*time.Millisecond))
	})
	wg.Wait()
	if s.trouble && s.rec.counted("lost answers") < 6 {
		return errors.New("too few answers were lost")
	}
	return nil
}

// loseSome returns a function for engine.loses. Of the three engines that lose answers, numbered from 0, the first two lose two of their
// answers to short streams, the last one loses one of them and that to its first long stream.
func loseSome(number int) func(string, int) int {
	var mu sync.Mutex
	answers, longs := 0, 0
	return func(_ string, total int) int {
		mu.Lock()
		defer mu.Unlock()
		if total > longEvent {
			longs++
			if number == 2 && longs == 1 {
				return longEvent
			}
			return 0
		}
		answers++
		early := map[int][]int{0: {8, 24}, 1: {12, 28}, 2: {16}}
		if slices.Contains(early[number], answers) {
			return 5
		}
		return 0
	}
}

const (
	// crashEngines is the number of engines in crash, each in a process of its own. One of them is killed.
	crashEngines = 6
	// crashStreams is the number of streams, which fill nearly all slots.
	crashStreams = 22 * crashEngines
	// crashAt is when the engine is killed, counted from the first stream.
	crashAt = 4 * time.Second
	// unlistedAfter is when the entry of a crashed engine is removed: after three heartbeat intervals.
	unlistedAfter = 3600 * time.Millisecond
)

// crash kills the process of one engine of six. Half of the engines give one answer in twenty without a length.
func crash(s *scene) error {
	s.configure(7)
	for n := range crashEngines {
		if _, err := s.startEngineProcess(n, n%2 == 0); err != nil {
			return err
		}
	}
	if err := s.startEntries(2); err != nil {
		return err
	}
	var calls []call
	for range crashStreams {
		calls = append(calls, call{id: newID(), path: proposalPath + "2f", key: clientKey, prompt: 100, out: 800, deadline: 39 * time.Second, bodyLength: 200, burst: 200})
	}
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		time.Sleep(crashAt)
		p := s.processes[0]
		if !s.trouble {
			return
		}
		p.kill()
		s.rec.line("engine %s is killed (SIGKILL); its address accepts connections: %v", p.id, p.accepts())
		time.Sleep(unlistedAfter)
		s.store.remove("servers/" + p.id)
	}()
	outcomes := s.playCalls(calls, 10*time.Millisecond)
	<-killed
	s.countWhole(outcomes)
	for i, o := range outcomes {
		if o.status != 200 || !o.complete {
			s.rec.count("cut or refused")
			continue
		}
		if want := calls[i].out / tokensPerEvent; o.events != want {
			s.rec.violation("ORDER", "the stream of %s ended as complete after %d of %d events", calls[i].id, o.events, want)
		}
	}
	return nil
}
