package toucanforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucangeneration"
	"toucanport/toucanlogtest"
	"toucanport/toucanmoveorder"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanrate"
	"toucanport/toucanretry"
	"toucanport/toucanstop"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
)

// TestScripts sends requests to scripted endpoints and compares what the caller got, which requests each endpoint
// received, which copies were requested and what was logged. It also checks that no secret is logged and that every
// message occurs. Of a script that was passed over or failed, it is not known which messages it causes.
func TestScripts(t *testing.T) {
	logged := make(map[string]bool)
	unplayed, err := filepath.Glob(scripts + "/*")
	assert.NilError(t, err)
	datadriven.Walk(t, scripts, func(t *testing.T, path string) {
		sc := &deployment{t: t, traffic: &toucantraffic.Current{}, log: &toucanlogtest.Log{}}
		t.Cleanup(func() {
			if t.Failed() {
				t.Log(sc.log.All())
			}
		})
		sc.start()
		datadriven.RunTest(t, path, sc.run)
		assert.Assert(t, !strings.Contains(sc.log.All(), secretMark), "a secret is in the log")
		sc.log.Messages(t, logged)
		unplayed = slices.DeleteFunc(unplayed, func(p string) bool { return p == path })
	})
	missing := slices.DeleteFunc(slices.Clone(requestMessages), func(msg string) bool { return logged[msg] })
	if len(unplayed) > 0 && len(missing) > 0 {
		t.Logf("scripts were passed over or failed: %q; whether they cause these messages is not known: %q", unplayed, missing)
		return
	}
	assert.Assert(t, len(missing) == 0, "no script causes the messages %q", missing)
}

const (
	// scripts is the directory of the scripts.
	scripts       = "testdata/scripts"
	headerID      = "X-Id"
	headerGenuine = "X-Genuine"
	headerNotRun  = "X-Unrun"
	headerResume  = "X-Resume"
	headerLast    = "X-Last"
	headerLeft    = "X-Left"
	headerBackup  = "X-Backup"
	headerTokens  = "X-Tokens"
	headerParts   = "X-Parts"
	headerLeaving = "X-Leaving"
	headerLimit   = "X-Limit"
	headerPrivate = "X-Private"
	// maxBody is the longest body in bytes that callers may send.
	maxBody = 4 << 20
	// secretMark is part of every key, header, query, body and answer, none of which may be logged.
	secretMark = "hush"
	// testTimeout bounds every wait of a script. A wait that takes as long has failed.
	testTimeout = 10 * time.Second
	// testEndWait is how long the end of an answer without a length is held back while its endpoint lives.
	testEndWait = time.Second
)

// testCodec is a minimal codec with one header for each value.
type testCodec struct{}

func (testCodec) Request(h http.Header) (Request, error) {
	if h.Get(headerID) == "" {
		return Request{}, ErrMalformed
	}
	tokens, _ := strconv.Atoi(h.Get(headerTokens))
	r := Request{ID: h.Get(headerID), Key: h.Get("X-Key"), Patience: testTimeout, Prompt: tokens, MaxOutput: tokens}
	r.SharedParts = parseParts(h.Get(headerParts))
	r.LastEvent = h.Get(headerLast)
	return r, nil
}

// parseParts parses parts in the form a.b, each a hexadecimal number.
func parseParts(text string) []toucanquarantine.Part {
	var parts []toucanquarantine.Part
	for _, id := range strings.Split(text, ".") {
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			parts = append(parts, toucanquarantine.Part(n))
		}
	}
	return parts
}

func (testCodec) Outgoing(h http.Header, a Attempt) http.Header {
	h.Del("X-Key")
	h.Del(headerLast)
	if a.LastEvent != "" {
		h.Set(headerLast, a.LastEvent)
	}
	h.Set(headerLeft, fmt.Sprint(a.Left <= testTimeout && a.Left > 0))
	if a.Backup != "" {
		h.Set(headerBackup, a.Backup)
	}
	if a.Resume != nil {
		h.Set(headerResume, a.Resume.Handle)
		h.Set(headerLast, a.Resume.LastEvent)
	}
	return h
}

func (testCodec) Belongs(h http.Header, id string) bool {
	return h.Get(headerID) == "" || h.Get(headerID) == id
}

func (testCodec) Answer(_ int, h http.Header, id string) Answer {
	seconds, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	return Answer{
		Genuine: h.Get(headerGenuine) != "", NotRun: h.Get(headerNotRun) != "", Named: h.Get(headerID) == id,
		RetryAfter: time.Duration(seconds * float64(time.Second)),
		Leaving:    h.Get(headerLeaving) != "",
		Limit:      toucanrate.ParseNotice(h.Get(headerLimit)),
	}
}

// deployment is a server and its endpoints under the control of one script.
type deployment struct {
	t       *testing.T
	traffic *toucantraffic.Current
	placer  *toucanplace.Placer
	server  *Server
	front   *httptest.Server
	// closed receives a value each time front is done with a connection.
	closed chan struct{}
	// bodies bounds the memory for long bodies; nil for the default.
	bodies *toucanbody.Memory
	// sent is the body of the last request.
	sent string
	// endpoints holds the endpoints in the order of the script's list.
	endpoints []*endpoint
	mover     *scriptedMover
	serial    int
	// evacuateTargets is when targets of copies are evacuated: at the first or at the last copy; empty for never.
	evacuateTargets string
	// resumable lets stopped generations go on at these targets.
	resumable bool
	// pending gets what the caller got of the request that was begun last; answered is closed before.
	pending  chan string
	answered chan struct{}
	// evacuated are the names of the evacuated endpoints, with the time until which stopped generations may go on there.
	evacuated map[string]time.Time
	// draining is the name of the endpoint that drains; empty for none.
	draining string
	// abandon cancels the request that was begun last, as its caller would.
	abandon context.CancelFunc
	log     *toucanlogtest.Log
}

// start replaces the server by a new one without endpoints. The settings stay.
func (sc *deployment) start() {
	limits := toucanrate.New("entry")
	sc.placer = toucanplace.NewPlacer("d1", toucanplace.WithRateLimits(limits))
	if sc.mover != nil {
		sc.mover.retire()
	}
	sc.mover = &scriptedMover{deployment: sc}
	sc.endpoints, sc.evacuated = nil, nil
	sc.server = New(Config{
		Codec:   testCodec{},
		Mover:   sc.mover,
		Moves:   &coordinatorWithoutPeers{},
		Traffic: sc.traffic,
		Placer:  sc.placer,
		Pool: toucanupstream.NewPool(toucanupstream.WithEndWait(testEndWait), toucanupstream.WithDialTimeout(testTimeout),
			toucanupstream.WithUnackedTimeout(testTimeout)),
		Budget: toucanretry.NewBudget(toucanretry.WithReserve(100)),
		Log:    sc.log.Logger(),
		Limits: limits,
		Bodies: sc.bodies,
	})
	front := sc.startFront()
	ctx, cancel := context.WithCancel(sc.t.Context())
	done := make(chan struct{})
	server := sc.server
	go func() {
		server.RunMoves(ctx)
		close(done)
	}()
	quarantineDone := make(chan struct{})
	go func() {
		server.RunQuarantine(ctx)
		close(quarantineDone)
	}()
	sc.t.Cleanup(func() {
		cancel()
		<-done
		<-quarantineDone
		front.Close()
	})
}

func (sc *deployment) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "settings":
		sc.settings(d)
	case "endpoints":
		sc.startEndpoints(d)
	case "answers":
		sc.endpoint(d.CmdArgs[0].Key).script(d.Input)
	case "evacuateTargets":
		sc.mover.locked(func() { sc.evacuateTargets, sc.resumable = d.CmdArgs[0].Key, d.HasArg("resumable") })
	case "moves":
		sc.mover.locked(func() { sc.mover.outcomes = strings.Fields(d.Input) })
	case "request":
		return sc.request(t.Context(), d)
	case "begin":
		sc.pending, sc.answered = make(chan string, 1), make(chan struct{})
		sc.mover.locked(func() { sc.mover.lateDrops = d.HasArg("lateDrops") })
		began := sc.endpoint(d.CmdArgs[1].Key).expectHold()
		ctx, abandon := context.WithCancel(t.Context())
		t.Cleanup(abandon)
		sc.abandon = abandon
		go func(pending chan<- string, answered chan<- struct{}) {
			got := sc.answer(ctx, d)
			close(answered)
			pending <- got
		}(sc.pending, sc.answered)
		wait(t, began)
	case "abandon":
		events := 0
		d.ScanArgs(t, "events", &events)
		sc.awaitEvents(events)
		sc.abandon()
		<-sc.pending
	case "leave":
		return sc.leave(d)
	case "awaitEvents":
		n := 0
		d.ScanArgs(t, "n", &n)
		sc.awaitEvents(n)
	case "peerEnds":
		sc.peerEnds(d)
	case "awaitQuarantine":
		n := 0
		d.ScanArgs(t, "n", &n)
		sc.awaitQuarantine(n)
	case "hint":
		sc.server.recordHints(toucanplace.Endpoint{ID: d.CmdArgs[0].Key}, time.Now(), Answer{Leaving: true})
	case "limit":
		notice := toucanrate.ParseNotice(d.CmdArgs[1].Key)
		sc.server.recordHints(toucanplace.Endpoint{ID: d.CmdArgs[0].Key}, time.Now(), Answer{Limit: notice})
	case "stop":
		ms := 0
		d.ScanArgs(t, "ms", &ms)
		sc.server.BeginStop(toucanstop.Stop{Began: time.Now(), End: time.Now().Add(time.Duration(ms) * time.Millisecond)})
	case "pause":
		ms := 0
		d.ScanArgs(t, "ms", &ms)
		time.Sleep(time.Duration(ms) * time.Millisecond)
	case "evacuate":
		sc.mover.locked(func() { sc.evacuate(d) })
	case "drain":
		sc.mover.locked(func() { sc.publishEndpoints(d.CmdArgs[0].Key) })
	case "lines":
		n := 0
		d.MaybeScanArgs(t, "n", &n)
		text := sc.normalize(sc.log.Next(t, n))
		if d.HasArg("sorted") {
			// The order of lines of different goroutines varies.
			lines := strings.SplitAfter(text, "\n")
			sort.Strings(lines)
			text = strings.Join(lines, "")
		}
		return text
	case "uses":
		return sc.endpointsInUse()
	case "kill":
		sc.endpoint(d.CmdArgs[0].Key).kill()
	case "awaitCopies":
		n, drops := 0, 0
		d.ScanArgs(t, "n", &n)
		d.MaybeScanArgs(t, "drops", &drops)
		sc.mover.await(t, n, drops)
	case "release":
		sc.endpoint(d.CmdArgs[0].Key).release()
	case "end":
		select {
		case got := <-sc.pending:
			// What happens in the background can come after the answer.
			return got + sc.receivedRequests()
		case <-time.After(testTimeout):
			t.Fatal("the request did not end in time")
		}
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

// peerEnds adds a peer's evidence that n endpoints ended, a second apart, under requests with the given parts and one of
// their own.
func (sc *deployment) peerEnds(d *datadriven.TestData) {
	n, parts := 0, ""
	d.ScanArgs(sc.t, "n", &n)
	d.ScanArgs(sc.t, "parts", &parts)
	now := time.Now()
	var e toucanquarantine.Evidence
	for i := range n {
		own := toucanquarantine.Part(1<<20 + sc.serial*100 + i)
		run := toucanquarantine.Run{Parts: append(parseParts(parts), own)}
		e.Crashes = append(e.Crashes, toucanquarantine.Crash{
			Endpoint: uint64(own), Service: "s", At: now.Add(-time.Duration(i+1) * time.Second), Runs: []toucanquarantine.Run{run},
		})
	}
	sc.server.quarantine.Apply(now, e)
}

// awaitQuarantine waits until there are n quarantines.
func (sc *deployment) awaitQuarantine(n int) {
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if len(sc.server.quarantine.Verdicts(time.Now())) == n {
			return
		}
	}
	sc.t.Fatalf("timed out before there were %d quarantines", n)
}

// awaitEvents waits until the only running stream has passed on n events.
func (sc *deployment) awaitEvents(n int) {
	passed := func() bool { return sc.server.generations.Events() == n }
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if passed() {
			return
		}
	}
	sc.t.Fatalf("timed out before a stream passed on %d events", n)
}

func wait(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out")
	}
}

// settings sets the only route and service from the command's arguments.
func (sc *deployment) settings(d *datadriven.TestData) {
	kind, attempts, timeout, key, version := "idempotent", 1, testTimeout.String(), "", 1
	d.MaybeScanArgs(sc.t, "kind", &kind)
	d.MaybeScanArgs(sc.t, "attempts", &attempts)
	d.MaybeScanArgs(sc.t, "timeout", &timeout)
	d.MaybeScanArgs(sc.t, "key", &key)
	d.MaybeScanArgs(sc.t, "version", &version)
	bound, err := time.ParseDuration(timeout)
	assert.NilError(sc.t, err)
	kinds := map[string]toucantraffic.Kind{
		"idempotent": toucantraffic.Idempotent, "atMostOnce": toucantraffic.AtMostOnce, "stream": toucantraffic.Stream,
	}
	route := toucantraffic.Route{
		Name: "r", Host: "host", Prefix: "/p/", Kind: kinds[kind], Timeout: bound, MaxAttempts: attempts,
		Resumable: d.HasArg("resumable"), Anonymous: key == "", Shares: []toucantraffic.Share{{Service: "s", Weight: 1}},
	}
	service := toucantraffic.Service{Name: "s"}
	if kind == "stream" {
		service.Engine = &toucantraffic.Engine{Slots: 4, MemoryTokens: 100000, Moves: true, Backups: d.HasArg("backups"), TokensPerEvent: 1}
	}
	var keys []toucantraffic.Key
	if key != "" {
		keys = append(keys, toucantraffic.Key{Secret: key, Workspace: toucantraffic.Workspace{Name: "w"}})
	}
	sc.traffic.Offer(toucantraffic.New(uint64(version), []toucantraffic.Route{route},
		[]toucantraffic.Service{service}, keys, toucantraffic.Limits{BodyBytes: maxBody}))
}

func (sc *deployment) startEndpoints(d *datadriven.TestData) {
	sc.bodies = nil
	if d.HasArg("memory") {
		limit := 0
		d.ScanArgs(sc.t, "memory", &limit)
		sc.bodies = toucanbody.NewMemory(limit)
	}
	sc.start()
	for _, name := range strings.Fields(d.Input) {
		e := &endpoint{name: name, t: sc.t, deployment: sc}
		e.server = httptest.NewUnstartedServer(http.HandlerFunc(e.serve))
		e.server.Config.ConnState = e.endOnAccept
		e.server.Start()
		sc.t.Cleanup(e.kill)
		sc.endpoints = append(sc.endpoints, e)
	}
	sc.mover.locked(func() {
		sc.mover.endpoints = slices.Clone(sc.endpoints)
		sc.publishEndpoints("")
	})
}

// publishEndpoints sets all endpoints in the placer. If leaving is not empty, the endpoint of that name drains.
func (sc *deployment) publishEndpoints(leaving string) {
	sc.draining = leaving
	var list []toucanplace.Endpoint
	for _, e := range sc.endpoints {
		entry := toucanplace.Endpoint{ID: e.name, Address: e.address(), FailureDomain: "d1", Service: "s", Slots: 4, Leaving: e.name == leaving}
		entry.ResumeUntil, entry.Evacuated = sc.evacuated[e.name]
		if table := sc.traffic.Table(); table != nil {
			if s, _ := table.Service("s"); s.Engine != nil {
				entry.MemoryTokens = s.Engine.MemoryTokens
			}
		}
		list = append(list, entry)
	}
	sc.placer.SetEndpoints(list)
}

// evacuate evacuates the named endpoints and takes all others back.
func (sc *deployment) evacuate(d *datadriven.TestData) {
	sc.evacuated = make(map[string]time.Time)
	for _, a := range d.CmdArgs {
		sc.evacuated[a.Key] = time.Time{}
	}
	sc.publishEndpoints(sc.draining)
}

// evacuateTarget evacuates the target of a copy once, if evacuateTargets asks for it. The caller holds sc.mover.mu.
func (sc *deployment) evacuateTarget(target string, last bool) {
	if sc.evacuateTargets == "first" && !last || sc.evacuateTargets == "last" && last {
		sc.evacuateTargets = ""
		until := time.Time{}
		if sc.resumable {
			until = time.Now().Add(testTimeout)
		}
		sc.evacuated = map[string]time.Time{target: until}
		sc.publishEndpoints(sc.draining)
	}
}

func (sc *deployment) endpoint(name string) *endpoint {
	for _, e := range sc.endpoints {
		if e.name == name {
			return e
		}
	}
	sc.t.Fatalf("no endpoint %q", name)
	return nil
}

// request sends a request and returns its answer, the requests that each endpoint received and the requested copies.
func (sc *deployment) request(ctx context.Context, d *datadriven.TestData) string {
	got := sc.answer(ctx, d)
	return got + sc.receivedRequests()
}

// answer sends a request and returns its answer.
func (sc *deployment) answer(ctx context.Context, d *datadriven.TestData) string {
	method, path, key, tokens, parts, last := http.MethodPost, "/p/x", "", "0", "", ""
	d.MaybeScanArgs(sc.t, "parts", &parts)
	d.MaybeScanArgs(sc.t, "path", &path)
	d.MaybeScanArgs(sc.t, "key", &key)
	d.MaybeScanArgs(sc.t, "tokens", &tokens)
	sc.serial++
	r, err := http.NewRequestWithContext(ctx, method, sc.front.URL+path+"?"+secretMark, sc.body(d))
	assert.NilError(sc.t, err)
	r.Host = "host"
	id := fmt.Sprint("request", sc.serial)
	d.MaybeScanArgs(sc.t, "id", &id)
	if id != "none" {
		r.Header.Set(headerID, id)
	}
	r.Header.Set("X-Key", key)
	r.Header.Set(headerTokens, tokens)
	r.Header.Set(headerParts, parts)
	d.MaybeScanArgs(sc.t, "last", &last)
	r.Header.Set(headerLast, last)
	showSignature := d.HasArg("signed") // The command changes when the request runs in the background.
	r.Header.Set(headerPrivate, secretMark)
	for _, e := range sc.endpoints {
		e.reset()
	}
	sc.mover.reset()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !d.HasArg("kept")}, Timeout: testTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return "no answer\n"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	end := ""
	if err != nil {
		end = " (cut)"
	}
	if len(body) > maxBufferedAnswer {
		body = []byte("long")
	}
	later := ""
	if resp.Header.Get("Retry-After") != "" {
		later = " later"
	}
	text := strings.ReplaceAll(strings.TrimSpace(string(body)), "\n\n", " ")
	text = strings.ReplaceAll(text, "\n", "|")
	signed := ""
	if showSignature {
		signed = " signed " + resp.Header.Get(headerGenuine)
	}
	return fmt.Sprintf("%d%s%s %s%s\n", resp.StatusCode, signed, later, text, end)
}

// body returns the body of a request: the command's input, or size bytes. With chunked, its length is not known before. With slow, its
// end never comes.
func (sc *deployment) body(d *datadriven.TestData) io.Reader {
	size := 0
	d.MaybeScanArgs(sc.t, "size", &size)
	sc.sent = d.Input + secretMark
	if size > 0 {
		sc.sent = strings.Repeat(secretMark+"0123456789abcdef", 1+size/len(secretMark))[:size]
	}
	switch {
	case d.HasArg("slow"):
		r, w := io.Pipe()
		go func() { _, _ = io.WriteString(w, sc.sent) }() // The end of the request ends the pipe.
		sc.t.Cleanup(func() { _ = w.Close() })
		return r
	case d.HasArg("chunked"):
		return io.MultiReader(strings.NewReader(sc.sent))
	}
	return strings.NewReader(sc.sent)
}

// leave sends a request whose caller leaves as soon as the server waits for an endpoint, and returns what the server logs.
func (sc *deployment) leave(d *datadriven.TestData) string {
	_ = sc.log.Next(sc.t, 0) // Earlier lines don't matter.
	ctx, cancel := context.WithCancel(sc.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sc.request(ctx, d)
	}()
	held := sc.normalize(sc.log.Next(sc.t, 1))
	cancel()
	<-done
	return held + sc.normalize(sc.log.Next(sc.t, 1))
}

// endpointsInUse returns the number of endpoints with reservations. It waits for the number to become zero, up to
// testTimeout.
func (sc *deployment) endpointsInUse() string {
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline) && len(sc.placer.OwnUse()) > 0; {
		time.Sleep(time.Millisecond)
	}
	return fmt.Sprintf("%d endpoints in use\n", len(sc.placer.OwnUse()))
}

func (sc *deployment) receivedRequests() string {
	var parts []string
	for _, e := range sc.endpoints {
		parts = append(parts, fmt.Sprintf("%s: %s", e.name, strings.Join(e.arrivals(), ", ")))
	}
	return strings.Join(append(parts, sc.mover.shownCopies()...), "\n") + "\n"
}

// coordinatorWithoutPeers is the toucangeneration.MoveCoordinator of an entry without peers.
type coordinatorWithoutPeers struct{}

func (*coordinatorWithoutPeers) Announce(uint64, []toucanmoveorder.Generation) {}
func (*coordinatorWithoutPeers) Ahead(time.Time, uint64, toucanmoveorder.Generation) bool {
	return false
}
func (*coordinatorWithoutPeers) BeginCopy(uint64) func()        { return func() {} }
func (*coordinatorWithoutPeers) Copying(time.Time, uint64) bool { return false }
func (*coordinatorWithoutPeers) CopyingByPeer(time.Time, uint64) bool {
	return false
}

func (*coordinatorWithoutPeers) StoreUnreachable(time.Time) bool { return true }
func (*coordinatorWithoutPeers) Changed() <-chan struct{}        { return make(chan struct{}) }

// scriptedMover answers each Copy with the next outcome of the script: ok, notRunning, ended, unreached, noCapacity, noCapacityStopped,
// unanswered and silent, at once and after the timeout, while the generation goes on, or lost, after it was stopped. With
// repeatedNotRunning and repeatedNoCapacity it was stopped too, its answer was lost, and that of a repeated call is returned. The last
// outcome applies to all further copies; without a script every copy succeeds.
type scriptedMover struct {
	deployment *deployment
	// mu also guards what evacuateTarget uses of the deployment.
	mu sync.Mutex
	// endpoints are those of the deployment when the mover was current. A move can outlast that.
	endpoints []*endpoint
	// retired is true once the deployment has another mover.
	retired  bool
	outcomes []string
	// shown bounds the copies that are shown, since the number of retries of failed moves varies; zero shows all.
	shown int
	seen  []string
	// drops holds the copies that were dropped.
	drops []string
	// lateDrops lets copies be dropped only after the caller has the whole answer.
	lateDrops bool
}

func (m *scriptedMover) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen, m.drops, m.shown = nil, nil, 0
}

// locked calls f under m.mu.
func (m *scriptedMover) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// retire keeps the moves that still go on from the deployment, whose endpoints are replaced.
func (m *scriptedMover) retire() { m.locked(func() { m.retired = true }) }

// await waits until n copies were requested and drops copies were dropped. Copies after the n-th are not shown.
func (m *scriptedMover) await(t *testing.T, n, drops int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		m.mu.Lock()
		enough := len(m.seen) >= n && len(m.drops) >= drops
		m.shown = n
		m.mu.Unlock()
		if enough {
			return
		}
	}
	t.Fatalf("timed out before %d copies were requested", n)
}

func (m *scriptedMover) shownCopies() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.seen
	if m.shown > 0 {
		seen = seen[:m.shown]
	}
	return append(append([]string(nil), seen...), m.drops...)
}

func (m *scriptedMover) Copy(ctx context.Context, source, _, target string, last bool) (string, error) {
	from, to := m.name(source), m.name(target)
	m.mu.Lock()
	if !m.retired {
		m.deployment.evacuateTarget(to.name, last)
	}
	outcome := "ok"
	if len(m.outcomes) > 0 {
		outcome = m.outcomes[0]
	}
	if len(m.outcomes) > 1 {
		m.outcomes = m.outcomes[1:]
	}
	m.seen = append(m.seen, fmt.Sprintf("copy %s to %s last=%t: %s", from.name, to.name, last, outcome))
	m.mu.Unlock()
	switch outcome {
	case "notRunning":
		return "", toucangeneration.ErrNotRunning
	case "unreached":
		return "", toucangeneration.ErrUnreached
	case "ended":
		return "", toucangeneration.ErrEnded
	case "unanswered":
		return "", io.ErrUnexpectedEOF
	case "silent":
		<-ctx.Done()
		return "", ctx.Err()
	case "noCapacity":
		return "", toucangeneration.ErrNoCapacity
	case "noCapacityStopped":
		from.stop()
		return "handle", toucangeneration.ErrNoCapacity
	case "lost":
		from.stop()
		return "", io.ErrUnexpectedEOF
	case "repeatedNotRunning":
		from.stop()
		return "", fmt.Errorf("%w: %w", toucangeneration.ErrRepeated, toucangeneration.ErrNotRunning)
	case "repeatedNoCapacity":
		from.stop()
		return "", fmt.Errorf("%w: %w", toucangeneration.ErrRepeated, toucangeneration.ErrNoCapacity)
	}
	if last {
		from.stop()
	}
	return "handle", nil
}

func (m *scriptedMover) Drop(_ context.Context, source, handle string) error {
	dropped := fmt.Sprintf("drop %s at %s", handle, m.name(source).name)
	late := false
	m.locked(func() { late = m.lateDrops })
	if late {
		<-m.deployment.answered
	}
	m.locked(func() { m.drops = append(m.drops, dropped) })
	return nil
}

func (m *scriptedMover) name(address string) *endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.endpoints {
		if e.address() == address {
			return e
		}
	}
	return &endpoint{name: "nobody"}
}

// endpoint is a fake endpoint that answers by a script with one step a line:
//
//	status N BODY    a complete answer; "leaving N BODY" says that the endpoint leaves
//	notRun           a refusal that reports that the request did not run
//	later SECONDS    a refusal that asks for no request for so long
//	limited N        a complete answer that names a limit of N requests a second
//	foreign BODY     an answer to another request, before that of the next line on the same connection
//	garbage          bytes that are not HTTP
//	cutBody          an answer that ends early
//	halfHead N       N percent of the head of an answer with an empty body; the connection is closed
//	longBody         an answer longer than maxBufferedAnswer that ends early
//	reset            no answer; the connection is closed
//	silent           nothing until released or stopped, then no answer
//	events A B hold  events A to B, then wait until released or stopped
//	events A B cut   events A to B, then the connection breaks
//	events A B end   events A to B, then the stream's end
//	events A B cutInside  the same, inside the event after B
//	events A B keep  the same as end, and the connection stays open for another request
//	rest B ...       the same as events A B, from the event after the one that the request names
//	early ...        the step that follows, before the body was read
//	drop             no answer on a connection that was kept; the connection is closed, and the request is not recorded
//	events A B encoded       the same as end, with a Content-Encoding
//	events A B unframed      events A to B without length or chunks, which end with the connection
//	events A B unframedHold  the same, and wait until released or stopped before the connection ends
//	events A B unframedReset the same as unframed, and the connection is reset
//	events A B unframedHalf  the same, with half an event at the end
//	events A B unframedDeath the same without it, and the endpoint ends too
//	events A B unframedDying the same, but its listener accepts one more connection before it ends
//	unframed BODY    an answer without length, which ends with its connection
//	unframed BODY death       the same, and the endpoint ends too; with long before death, longer than maxBufferedAnswer
//	unframed BODY reset       the same, and the connection is reset
//	unframed BODY dying       the same as death, but its listener accepts one more connection before it ends
type endpoint struct {
	t      *testing.T
	name   string
	server *httptest.Server
	// deployment knows the body that the endpoint is to get.
	deployment *deployment

	mu    sync.Mutex
	steps []string
	seen  []string
	began chan struct{}
	held  chan bool
	// keeps is true if the connection of the last step stays open.
	keeps bool
	// dying is true if the endpoint ends with the next connection that it accepts.
	dying atomic.Bool
	// resets is true once a step ends with a reset of its connection.
	resets atomic.Bool
}

func (e *endpoint) address() string {
	if e.server == nil {
		return ""
	}
	return e.server.Listener.Addr().String()
}

func (e *endpoint) script(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps = strings.Split(strings.TrimSpace(text), "\n")
}

func (e *endpoint) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = nil
}

func (e *endpoint) arrivals() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seen...)
}

func (e *endpoint) expectHold() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.began, e.held = make(chan struct{}), make(chan bool, 1)
	return e.began
}

// beginHold reports that the endpoint holds its answer back, and returns the channel that ends this.
func (e *endpoint) beginHold() <-chan bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.began)
	return e.held
}

func (e *endpoint) stop()    { e.endHeldStream(false) }
func (e *endpoint) release() { e.endHeldStream(true) }

// endHeldStream ends a held stream: with its proper end if whole is true, and by breaking the connection otherwise.
func (e *endpoint) endHeldStream(whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil {
		return
	}
	select {
	case e.held <- whole:
	default:
	}
}

// kill closes the endpoint's listener and connections.
func (e *endpoint) kill() {
	_ = e.server.Listener.Close()
	e.stop()
	e.server.CloseClientConnections()
}

// endOnAccept ends a dying endpoint with its first connection, as an operating system does that closes a listener last.
func (e *endpoint) endOnAccept(c net.Conn, state http.ConnState) {
	if state != http.StateNew || !e.dying.Load() {
		return
	}
	_ = e.server.Listener.Close()
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// readBody reads the body of a request and reports whether it is the one that the caller sent. A step that begins with early answers
// before it has read the body.
func (e *endpoint) readBody(r *http.Request) bool {
	e.mu.Lock()
	early := len(e.steps) > 0 && strings.HasPrefix(e.steps[0], "early ")
	if early {
		e.steps[0] = strings.TrimPrefix(e.steps[0], "early ")
	}
	e.mu.Unlock()
	if early {
		return true
	}
	body, err := io.ReadAll(r.Body)
	return err == nil && string(body) == e.deployment.sent
}

func (e *endpoint) record(r *http.Request, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	what := "run"
	if r.Header.Get(headerLast) != "" {
		what += " after " + r.Header.Get(headerLast)
	}
	if r.Header.Get(headerResume) != "" {
		what = fmt.Sprintf("resume %s after %s", r.Header.Get(headerResume), r.Header.Get(headerLast))
		if r.Header.Get(headerResume) == r.Header.Get(headerID) {
			what = "resume backup after " + r.Header.Get(headerLast)
		}
	}
	if r.Header.Get("X-Key") != "" || r.Header.Get(headerLeft) != "true" {
		what += " with wrong headers"
	}
	if !whole {
		what += " with a wrong body"
	}
	e.seen = append(e.seen, what)
}

func (e *endpoint) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.steps) == 0 {
		return "status 200 default"
	}
	step := e.steps[0]
	e.steps = e.steps[1:]
	return step
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	whole := e.readBody(r)
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for r != nil {
		e.record(r, whole)
		for e.answer(rw, r) {
		}
		_ = rw.Flush() // The connection may be gone.
		if e.resets.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		r = e.nextOnKept(rw)
	}
}

// nextOnKept returns the next request on a connection that the last step kept open; nil if it did not, or if the next step drops it.
func (e *endpoint) nextOnKept(rw *bufio.ReadWriter) *http.Request {
	e.mu.Lock()
	kept := e.keeps
	e.keeps = false
	e.mu.Unlock()
	if !kept {
		return nil
	}
	r, err := http.ReadRequest(rw.Reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body) // Only bodies on new connections are checked.
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.steps) > 0 && e.steps[0] == "drop" {
		e.steps = e.steps[1:]
		return nil
	}
	return r
}

// answer performs one step and reports whether another step follows for the same request.
func (e *endpoint) answer(rw *bufio.ReadWriter, r *http.Request) bool {
	step := strings.Fields(e.next())
	id := r.Header.Get(headerID)
	switch step[0] {
	case "leaving":
		body := strings.Join(step[2:], " ")
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 %s Any\r\nConnection: close\r\n%s: %s\r\n%s: yes\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", step[1], headerID, id, headerGenuine, headerLeaving, len(body), body)
	case "status":
		body := strings.Join(step[2:], " ")
		// The connection is closed after every answer; the header keeps the pool from reusing it.
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 %s Any\r\nConnection: close\r\n%s: %s\r\n%s: yes\r\nX-Private: hush\r\nContent-Length: %d\r\n\r\n%s", step[1], headerID, id, headerGenuine, len(body), body)
	case "limited":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 Any\r\nConnection: close\r\n%s: %s\r\n%s: yes\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, id, headerGenuine, headerLimit, step[1])
	case "foreign":
		body := strings.Join(step[1:], " ")
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: yes\r\nX-Private: hush\r\nContent-Length: %d\r\n\r\n%s", headerID, headerGenuine, len(body), body)
		return true
	case "notRun":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 503 Busy\r\nConnection: close\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun)
	case "later":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 503 Busy\r\nConnection: close\r\nRetry-After: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", step[1], headerNotRun)
	case "garbage":
		_, _ = rw.WriteString("no " + secretMark + " answer\r\n\r\n")
	case "cutBody":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nX-Private: hush\r\nContent-Length: 100\r\n\r\nhalf", headerID, id, headerGenuine)
	case "longBody":
		body := strings.Repeat("x", 2*maxBufferedAnswer)
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerGenuine, len(body)+1, body)
	case "unframed":
		_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nX-Private: hush\r\nConnection: close\r\n\r\n%s", headerID, id, headerGenuine, step[1])
		if slices.Contains(step, "long") {
			_, _ = rw.WriteString(strings.Repeat("x", 2*maxBufferedAnswer))
		}
		switch step[len(step)-1] {
		case "death":
			_ = e.server.Listener.Close()
		case "dying":
			e.dying.Store(true)
		case "reset":
			e.resets.Store(true)
		}
	case "halfHead":
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", headerID, id, headerGenuine)
		share, _ := strconv.Atoi(step[1])
		_, _ = rw.WriteString(head[:(len(head)-1)*share/100])
	case "silent":
		<-e.beginHold()
	case "events":
		e.stream(rw, id, step)
	case "rest":
		last, _ := strconv.Atoi(r.Header.Get(headerLast))
		e.stream(rw, id, []string{"events", strconv.Itoa(last + 1), step[1], step[2]})
	}
	return false
}

func (e *endpoint) stream(rw *bufio.ReadWriter, id string, step []string) {
	from, _ := strconv.Atoi(step[1])
	to, _ := strconv.Atoi(step[2])
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nX-Private: hush\r\nContent-Type: text/event-stream\r\n", headerID, id, headerGenuine, e.name)
	if step[3] == "unnamed" {
		head = strings.Replace(head, headerID+": "+id+"\r\n", "", 1)
	}
	if step[3] == "keep" {
		e.mu.Lock()
		e.keeps = true
		e.mu.Unlock()
	} else {
		head += "Connection: close\r\n"
	}
	if step[3] == "encoded" {
		head += "Content-Encoding: deflate\r\n"
	}
	if strings.HasPrefix(step[3], "unframed") {
		_, _ = rw.WriteString(head + "\r\n")
		for i := from; i <= to; i++ {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: t%d\n\n", i, i)
		}
		switch step[3] {
		case "unframedHold":
			_ = rw.Flush()
			<-e.beginHold()
		case "unframedHalf":
			_, _ = fmt.Fprintf(rw, "id: %d\nda", to+1)
		case "unframedReset":
			e.resets.Store(true)
		case "unframedDeath":
			_ = e.server.Listener.Close()
		case "unframedDying":
			e.dying.Store(true)
		}
		return
	}
	_, _ = rw.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for i := from; i <= to; i++ {
		event := fmt.Sprintf("id: %d\ndata: t%d\n\n", i, i)
		_, _ = fmt.Fprintf(rw, "%x\r\n%s\r\n", len(event), event)
	}
	_ = rw.Flush()
	switch step[3] {
	case "end", "keep", "encoded", "unnamed":
		_, _ = rw.WriteString("0\r\n\r\n")
	case "cutInside":
		event := fmt.Sprintf("id: %d\nda", to+1)
		_, _ = fmt.Fprintf(rw, "%x\r\n%s\r\n", len(event), event)
	case "hold":
		if <-e.beginHold() {
			_, _ = rw.WriteString("0\r\n\r\n")
		}
	}
}
