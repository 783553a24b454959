package toucanforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"toucanport/toucanbody"
	"toucanport/toucanlogtest"
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
