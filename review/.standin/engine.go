package main

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// tokensPerEvent, kvTokens, kvTokenBytes and kvLinkMbps are the figures of the engines in the configuration.
	tokensPerEvent = 4
	kvTokens       = 34321
	kvTokenBytes   = 327680.0
	kvLinkMbps     = 47000.0
	engineSlots    = 24
	// promptTokensPerMs is the rate at which prompts are read, eventTime the time for one event.
	promptTokensPerMs = 14
	eventTime         = 40 * time.Millisecond
	// earlyBytes is the number of bytes of a long body after which an early answer begins.
	earlyBytes = 64 << 10
)

// engineGroup holds the engines and the copies of memory that they hold for each other. It is safe for concurrent use.
type engineGroup struct {
	rec   *record
	store *store

	mu sync.Mutex
	// bodies holds the length of the body that the client sends with a request, by the request's id.
	bodies map[string]int
	// byAddress holds the running engines.
	byAddress map[string]*engine
	// leftAt holds when the client of a request has closed its connection.
	leftAt map[string]time.Time
	// copies holds the memory from which a run can go on, by ADDRESS/HANDLE.
	copies map[string]memoryCopy
	serial int
}

// memoryCopy is the memory of a run.
type memoryCopy struct {
	id     string
	events int
}

func newEngineGroup(rec *record, s *store) *engineGroup {
	return &engineGroup{rec: rec, store: s, bodies: make(map[string]int), leftAt: make(map[string]time.Time), byAddress: make(map[string]*engine), copies: make(map[string]memoryCopy)}
}

// expect records the body that a client sends.
func (g *engineGroup) expect(id string, length int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies[id] = length
}

func (g *engineGroup) bodyLength(id string) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, ok := g.bodies[id]
	return n, ok
}

// left records that the client of a request has closed its connection.
func (g *engineGroup) left(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leftAt[id] = time.Now()
	g.rec.line("client of %s has closed its connection", id)
}

// arrived records that a request reaches an engine, and counts it if its client left more than lateArrival before.
func (g *engineGroup) arrived(e *engine, id string) {
	g.mu.Lock()
	at, left := g.leftAt[id]
	length := g.bodies[id]
	g.mu.Unlock()
	if !left {
		return
	}
	late := time.Since(at)
	g.rec.line("%s reaches engine %s %v after its client has closed its connection", id, e.id, late.Round(time.Millisecond))
	if late > lateArrival {
		if length > 256<<10 {
			g.rec.count(lateLong)
		} else {
			g.rec.count(lateShort)
		}
	}
}

// lateArrival is the time after a client's close from which an arrival at an engine counts.
const lateArrival = 500 * time.Millisecond

// Names of counts of arrivals after the client has left.
const (
	lateLong  = "late arrivals of long bodies"
	lateShort = "late arrivals of short bodies"
)

func (g *engineGroup) putCopy(address, handle string, c memoryCopy) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byAddress[address] == nil {
		return false
	}
	g.copies[address+"/"+handle] = c
	return true
}

// takeCopy returns and removes a copy of the run with an id, since each can be used once.
func (g *engineGroup) takeCopy(key, id string) (memoryCopy, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.copies[key]
	if !ok || c.id != id {
		return memoryCopy{}, false
	}
	delete(g.copies, key)
	return c, true
}

func (g *engineGroup) newHandle() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serial++
	return "h" + strconv.Itoa(g.serial)
}

// engine is a stand-in of a model engine, or of a plain service if it gets plain requests. It is safe for concurrent use.
type engine struct {
	group             *engineGroup
	id, service, zone string
	address           string
	listener          net.Listener
	bornMillis        int64
	// oddEvery is how many answers the engine gives for each one that is out of the ordinary; zero for none. An odd answer is given
	// with a Content-Encoding if encodes is true or without a length if unframed is true; otherwise it begins after earlyBytes of a longer body.
	oddEvery int
	encodes  bool
	// unframed makes the odd answers end with their connection, without a length.
	unframed bool
	// open is true for an engine in a process of its own, which takes requests with any id.
	open bool
	// idleDrop is the time after which the engine drops an idle connection without notice; zero for never.
	idleDrop time.Duration
	// loses returns the event of a stream after which its answer is lost: the connection is closed in the middle, and the run goes on.
	// Zero means that the answer is not lost.
	loses func(id string, total int) int

	mu   sync.Mutex
	runs map[string]*run
	// answers is the number of answers to clients so far.
	answers int
	// moving holds the ids of runs for which a copy call is in progress.
	moving map[string]bool
	conns  map[net.Conn]bool
	ended  bool
}

// run is a stream that is being produced.
type run struct {
	mu     sync.Mutex
	events int
	tokens int
	stop   chan struct{}
	once   sync.Once
}

func (r *run) halt() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.once.Do(func() { close(r.stop) })
	return r.events
}

// halted reports whether the run was stopped.
func (r *run) halted() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// advance counts an event, unless the run was stopped.
func (r *run) advance(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stop:
		return false
	default:
		r.events = n
		return true
	}
}

// startEngine starts an engine and lists it in the store.
func (g *engineGroup) startEngine(ip, service, zone string, n int) (*engine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		group: g, id: fmt.Sprintf("i-%s%02d%06x", service[:1], n, time.Now().UnixNano()&0xffffff), service: service, zone: zone,
		address: l.Addr().String(), listener: l, bornMillis: time.Now().UnixMilli(),
		loses: func(string, int) int { return 0 },
		runs:  make(map[string]*run), moving: make(map[string]bool), conns: make(map[net.Conn]bool),
	}
	g.mu.Lock()
	g.byAddress[e.address] = e
	g.mu.Unlock()
	go e.accept()
	e.list("ready")
	return e, nil
}

// list writes the engine's entry with a state into the store.
func (e *engine) list(state string) {
	e.group.store.put("servers/"+e.id, map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": engineSlots, "State": state,
		"ColdRemainingMs": 0, "Stage": "both", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Sequence": 1,
		"born": e.bornMillis,
	})
	e.group.rec.line("engine %s at %s is listed as %s, accepted by the store", e.id, e.address, state)
}

// end ends the engine as its process does after its drain: its connections are closed and its entry is removed.
func (e *engine) end() {
	e.group.mu.Lock()
	delete(e.group.byAddress, e.address)
	e.group.mu.Unlock()
	_ = e.listener.Close()
	e.mu.Lock()
	e.ended = true
	for c := range e.conns {
		_ = c.Close()
	}
	for _, r := range e.runs {
		r.halt()
	}
	e.mu.Unlock()
	e.group.store.remove("servers/" + e.id)
	e.group.rec.line("engine %s has ended", e.id)
}

// runCount returns the number of streams that the engine produces.
func (e *engine) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.ended {
			_ = c.Close()
		}
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 16<<10)
	for idleSince := time.Now(); ; idleSince = time.Now() {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if e.idleDrop > 0 && time.Since(idleSince) > e.idleDrop {
			e.group.rec.line("engine %s resets a connection that was idle for %v: %s %s %s is not read",
				e.id, time.Since(idleSince).Round(time.Millisecond), req.Method, req.URL.Path, req.Header.Get("Attempt-Id"))
			e.group.rec.count("requests on dropped connections")
			reset(c)
			return
		}
		if !e.answer(c, req) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (e *engine) answer(c net.Conn, req *http.Request) bool {
	path := req.URL.Path
	switch {
	case req.Method == http.MethodGet && path == "/health":
		return e.reply(c, req, http.StatusOK, map[string]string{"Instance-Id": e.id}, "")
	case req.Method == http.MethodGet && path == "/report":
		return e.reply(c, req, http.StatusOK, nil, fmt.Sprintf(`{"Stage":"both","Busy":false,"Sequence":1,"QueueDepth":0,"ActiveRequests":%d,"KvCacheUsed":0,"KvCacheTotal":%d,"Handles":0}`, e.runCount(), kvTokens))
	case req.Method == http.MethodPost && path == "/kv-move":
		return e.move(c, req)
	case req.Method == http.MethodDelete && strings.HasPrefix(path, "/kv-handle/"):
		return e.reply(c, req, http.StatusOK, nil, "")
	}
	return e.client(c, req)
}

// reply writes a short answer after the request's body.
func (e *engine) reply(c net.Conn, req *http.Request, status int, header map[string]string, body string) bool {
	_, _ = io.Copy(io.Discard, req.Body)
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// move copies the memory of a run to another engine.
func (e *engine) move(c net.Conn, req *http.Request) bool {
	var order struct {
		Id, Target string
		Last       bool
	}
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		return e.reply(c, req, http.StatusBadRequest, nil, "")
	}
	e.mu.Lock()
	current, busy := e.runs[order.Id], e.moving[order.Id]
	e.moving[order.Id] = true
	e.mu.Unlock()
	if busy {
		return e.reply(c, req, http.StatusConflict, nil, "")
	}
	defer func() {
		e.mu.Lock()
		delete(e.moving, order.Id)
		e.mu.Unlock()
	}()
	if current == nil {
		return e.reply(c, req, http.StatusNotFound, nil, "")
	}
	copyTime := time.Duration(float64(current.tokens) * kvTokenBytes * 8 / (kvLinkMbps * 1e6) * float64(time.Second))
	handle := e.group.newHandle()
	m := memoryCopy{id: order.Id}
	if order.Last {
		m.events = current.halt()
		copyTime /= 10
		e.group.putCopy(e.address, handle, m)
	}
	time.Sleep(copyTime)
	if !order.Last {
		current.mu.Lock()
		m.events = current.events
		current.mu.Unlock()
	}
	e.group.rec.line("engine %s copies the memory of %s to %s, last %v, events %d", e.id, order.Id, order.Target, order.Last, m.events)
	if !e.group.putCopy(order.Target, handle, m) {
		body := "{}"
		if order.Last {
			body = fmt.Sprintf(`{"Handle":%q}`, handle)
		}
		return e.reply(c, req, http.StatusServiceUnavailable, nil, body)
	}
	return e.reply(c, req, http.StatusOK, nil, fmt.Sprintf(`{"Handle":%q,"CreateRevision":%d}`, handle, m.events))
}

// client answers a client's request that was passed on.
func (e *engine) client(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Attempt-Id")
	if instance := req.Header.Get("Expect-Instance"); instance != "" && instance != e.id {
		return e.reply(c, req, http.StatusMisdirectedRequest, map[string]string{"Instance-Id": e.id}, "")
	}
	length, known := e.group.bodyLength(id)
	if e.open {
		_, _ = io.Copy(io.Discard, req.Body)
		return e.stream(c, req, id, 1, form{unframed: e.nextIsOdd()})
	}
	if !known {
		e.group.rec.violation("UNASKED", "engine %s got request %q, which no client sent", e.id, id)
		return false
	}
	check := newBodyCheck(id, length)
	e.group.arrived(e, id)
	from := req.Header.Get("Kv-From")
	first := 1
	if from != "" {
		m, ok := e.group.takeCopy(from, id)
		if !ok {
			e.group.rec.line("engine %s has no memory %s for %s", e.id, from, id)
			return e.reply(c, req, http.StatusServiceUnavailable, map[string]string{"Not-Run": "1", "Attempt-Id": id}, "")
		}
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		_ = m
		first = last + 1
	}
	odd := e.nextIsOdd()
	if odd && !e.encodes && !e.unframed && from == "" && length > earlyBytes {
		return e.clientEarly(c, req, id, check)
	}
	if err := check.readAll(req.Body); err != nil {
		e.group.rec.line("engine %s: the body of %s is cut after %d bytes: %v", e.id, id, check.read, err)
		return false
	}
	e.judge(id, check, first)
	return e.stream(c, req, id, first, form{encoded: odd && e.encodes})
}

// nextIsOdd counts an answer and reports whether it is one of those out of the ordinary.
func (e *engine) nextIsOdd() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	return e.oddEvery > 0 && e.answers%e.oddEvery == 0
}

// judge records that a run begins, and whether its body is the client's.
func (e *engine) judge(id string, check *bodyCheck, first int) {
	e.group.rec.count("runs")
	if first > 1 {
		e.group.rec.count("resumed runs")
		go e.watchResumed(id)
	}
	e.group.rec.line("engine %s runs %s from event %d, body of %d bytes, first other byte at %d", e.id, id, first, check.read, check.differs)
	if check.changed() {
		e.group.rec.violation("UNASKED", "engine %s runs %s with a body of %d bytes (first other byte at %d); the client sent %d bytes",
			e.id, id, check.read, check.differs, check.length)
	}
}

// clientEarly begins to answer before it has read a long body, and reads on while it answers.
func (e *engine) clientEarly(c net.Conn, req *http.Request, id string, check *bodyCheck) bool {
	buf := make([]byte, 8<<10)
	for check.read < earlyBytes {
		n, err := req.Body.Read(buf[:min(len(buf), earlyBytes-check.read)])
		check.write(buf[:n])
		if err != nil {
			e.group.rec.line("engine %s: the body of %s is cut after %d bytes: %v", e.id, id, check.read, err)
			return false
		}
	}
	e.group.rec.line("engine %s begins to answer %s after %d bytes of its body", e.id, id, check.read)
	done := make(chan error, 1)
	go func() { done <- check.readAll(req.Body) }()
	if !e.stream(c, req, id, 1, form{}) {
		_ = c.Close()
	}
	select {
	case err := <-done:
		e.group.rec.line("engine %s: rest of the body of %s: %d bytes in all, complete %v, first other byte at %d (%v)", e.id, id, check.read, check.complete, check.differs, err)
	case <-time.After(5 * time.Second):
		e.group.rec.line("engine %s: the rest of the body of %s does not come", e.id, id)
		_ = c.Close()
		<-done
		e.group.rec.line("engine %s: %d bytes of the body of %s, complete %v, first other byte at %d", e.id, check.read, id, check.complete, check.differs)
	}
	e.group.rec.count("early answers")
	if check.changed() {
		e.group.rec.violation("UNASKED", "engine %s got other bytes where the rest of the body of %s is due: first other byte at %d of %d, %d bytes in all, complete %v",
			e.id, id, check.differs, check.length, check.read, check.complete)
		return false
	}
	return check.complete
}

// eventData returns the data of an event of a stream.
func eventData(id string, n int) string { return hex.EncodeToString(bodyBytes(id+"/events", n*16, 16)) }

// reset closes a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// workingElsewhere returns another engine that works on the request with an id.
func (g *engineGroup) workingElsewhere(e *engine, id string) (*engine, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.byAddress {
		if other == e {
			continue
		}
		other.mu.Lock()
		r := other.runs[id]
		other.mu.Unlock()
		if r != nil && !r.halted() {
			return other, true
		}
	}
	return nil, false
}

// goesOnTwice is the time after which an engine must have stopped to work on a request that goes on at another one.
const goesOnTwice = 400 * time.Millisecond

// watchResumed checks goesOnTwice after a run has gone on at e whether another engine still works on the request.
func (e *engine) watchResumed(id string) {
	time.Sleep(goesOnTwice)
	other, working := e.group.workingElsewhere(e, id)
	e.mu.Lock()
	here := e.runs[id] != nil
	e.mu.Unlock()
	if working && here {
		e.group.rec.violation("TWICE", "%s goes on at engine %s, and %v later engine %s still works on it", id, e.id, goesOnTwice, other.id)
	}
}

// form is how a stream is answered.
type form struct {
	// encoded is true for an answer with a Content-Encoding, unframed for one that ends with its connection.
	encoded, unframed bool
}

// stream answers with the events from first on. It reports whether the stream came to its end.
func (e *engine) stream(c net.Conn, req *http.Request, id string, first int, f form) bool {
	promptText, outText, _ := strings.Cut(req.Header.Get("Token-Count"), ",")
	prompt, _ := strconv.Atoi(promptText)
	out, _ := strconv.Atoi(outText)
	total := out / tokensPerEvent
	current := &run{events: first - 1, tokens: prompt + first*tokensPerEvent, stop: make(chan struct{})}
	e.mu.Lock()
	e.runs[id] = current
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.runs[id] == current {
			delete(e.runs, id)
		}
		e.mu.Unlock()
	}()
	if first == 1 {
		time.Sleep(time.Duration(prompt/promptTokensPerMs) * time.Millisecond)
	}
	encoding := ""
	if f.encoded {
		encoding = "Content-Encoding: deflate\r\n"
		e.group.rec.count("encoded answers")
		e.group.rec.line("engine %s answers %s with a Content-Encoding", e.id, id)
	}
	framing := "Keep-Alive: timeout=15\r\nTransfer-Encoding: chunked\r\n"
	if f.unframed {
		framing = ""
		e.group.rec.line("engine %s answers %s without a length", e.id, id)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n%s%s\r\n", id, e.id, id, encoding, framing)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	backup := req.Header.Get("Kv-Backup")
	loseAt, lost := 0, false
	if first == 1 {
		loseAt = e.loses(id, total)
	}
	for n := first; n <= total; n++ {
		select {
		case <-time.After(eventTime):
		case <-current.stop:
		}
		if !current.advance(n) {
			e.group.rec.line("engine %s has stopped its run of %s at event %d", e.id, id, n-1)
			return false
		}
		data := eventData(id, n)
		if encoding != "" {
			data = spoil(data)
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, data)
		if lost {
			continue
		}
		if n == loseAt {
			e.group.rec.count("lost answers")
			e.group.rec.line("engine %s: the answer of %s is lost after event %d, backup %q; the run goes on", e.id, id, n, backup)
			_ = c.Close()
			lost = true
			continue
		}
		piece := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if f.unframed {
			piece = event
		}
		if _, err := io.WriteString(c, piece); err != nil {
			e.group.rec.line("engine %s drops %s after event %d: its connection is closed", e.id, id, n)
			return false
		}
		if backup != "" {
			e.group.putCopy(backup, id, memoryCopy{id: id, events: n})
		}
	}
	e.group.rec.line("engine %s has ended its run of %s", e.id, id)
	if lost || f.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// spoil returns other text of the same form, as an encoding that the client does not know would.
func spoil(data string) string {
	out := []byte(data)
	for i := range out {
		out[i] = 'z' - out[i]%20
	}
	return string(out)
}
