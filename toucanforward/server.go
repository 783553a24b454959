package toucanforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"toucanport/toucanplace"
	"toucanport/toucanretry"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
	"toucanport/toucanwait"
)

const (
	// bufferedBody is how much of a request's body is held, so that it can be sent again.
	bufferedBody = 256 << 10
	// bufferedAnswer is how much of an answer is read before the first byte is passed on, so that an answer that
	// turns out to be cut becomes a plain failure.
	bufferedAnswer = 256 << 10
	// unsentAttempts bounds the attempts that are known not to have run.
	unsentAttempts = 8
	// comeBackUnready is when a caller may ask again while this entry has no settings yet.
	comeBackUnready = 500 * time.Millisecond
	// comeBackFull is when a caller may ask again when every endpoint is full.
	comeBackFull = 300 * time.Millisecond
	// waitShare is the share of the time left that a request waits for room at most.
	waitShare = 0.3
	// waitGoals is how many times the route's goal a request waits for room at most.
	waitGoals = 2
	// recheckInterval is the longest time between two looks for room.
	recheckInterval = 100 * time.Millisecond
	// successSample is how many successes stand for one log line.
	successSample = 64
)

// Server is the handler for callers' requests.
type Server struct {
	codec   Codec
	mover   Mover
	board   Board
	traffic *toucantraffic.Current
	book    *toucanplace.Book
	pool    *toucanupstream.Pool
	budget  *toucanretry.Budget
	log     *slog.Logger
	metrics *metrics
	runs    runTable
	lengths lengths
	waiting waiting
	// answered counts successes, to sample their log lines.
	answered atomic.Uint64
	// closing is true when connections should be closed behind the next answer.
	closing atomic.Bool
	// brokeAt is when a stream last broke without notice, in Unix nanoseconds of this process.
	brokeAt atomic.Int64
}

// Config holds what a Server works with.
type Config struct {
	Codec   Codec
	Mover   Mover
	Board   Board
	Traffic *toucantraffic.Current
	Book    *toucanplace.Book
	Pool    *toucanupstream.Pool
	Budget  *toucanretry.Budget
	Log     *slog.Logger
	Metrics Metrics
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{
		codec:   cfg.Codec,
		mover:   cfg.Mover,
		board:   cfg.Board,
		traffic: cfg.Traffic,
		book:    cfg.Book,
		pool:    cfg.Pool,
		budget:  cfg.Budget,
		log:     cfg.Log,
		metrics: newMetrics(cfg.Metrics),
		runs:    runTable{runs: make(map[*run]struct{})},
	}
}

// CloseConnections makes the server close each connection behind its next answer.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// job is one caller's request on its way.
type job struct {
	Request
	in        *http.Request
	w         http.ResponseWriter
	route     toucantraffic.Route
	service   toucantraffic.Service
	workspace string
	version   uint64
	arrived   time.Time
	// placed is when an endpoint was last claimed.
	placed   time.Time
	deadline time.Time
	demand   toucanplace.Demand
	body     []byte
	rest     io.Reader
	plan     *toucanretry.Plan
	// backup holds the place of the run's copy; nil for none.
	backup *toucanplace.Claim
	// maybeRun counts the attempts that may have run.
	maybeRun int
	// tried holds the endpoints that failed the request.
	tried map[string]bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	j, refusal := s.accept(w, r)
	if refusal != nil {
		s.refuse(j, *refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if refusal := s.readBody(ctx, j); refusal != nil {
		s.refuse(j, *refusal)
		return
	}
	defer j.dropBackup()
	s.carry(ctx, j)
}

// accept finds out what a request is and whether it may be made.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*job, *refusal) {
	j := &job{in: r, w: w, arrived: time.Now(), tried: make(map[string]bool)}
	req, err := s.codec.Request(r.Header)
	j.Request = req
	table := s.traffic.Table()
	if table == nil {
		return j, refuseLater(reasonNoSettings, comeBackUnready)
	}
	j.version = table.Version
	if err != nil {
		return j, &refusal{status: http.StatusBadRequest, reason: reasonMalformed, err: err}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := table.Route(r.Host, path)
	if !ok {
		return j, &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	j.route = route
	if workspace, ok := table.Workspace(req.Key); ok {
		j.workspace = workspace.Name
	} else if !route.Anonymous {
		return j, &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	}
	j.service, ok = table.Service(route.Service(req.ID))
	if !ok {
		return j, refuseLater(reasonNoService, comeBackUnready)
	}
	if limit := table.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		return j, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	j.demand = toucanplace.Demand{Prompt: req.Prompt, Output: s.lengths.forecast(route.Name, req, 0)}
	j.deadline = deadline(j.arrived, req.Patience, route.Timeout)
	j.plan = toucanretry.NewPlan(j.arrived, s.budget, j.service.Name, j.deadline,
		toucanretry.WithMaxAttempts(route.MaxAttempts+unsentAttempts))
	return j, nil
}

const longestRequest = 10 * time.Minute

func deadline(arrived time.Time, patience, timeout time.Duration) time.Time {
	left := longestRequest
	if patience > 0 {
		left = min(left, patience)
	}
	if timeout > 0 {
		left = min(left, timeout)
	}
	return arrived.Add(left)
}

// readBody holds a body of bounded size and leaves the rest of a longer one to be sent as it comes.
func (s *Server) readBody(ctx context.Context, j *job) *refusal {
	if j.in.Body == nil || j.in.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(j.deadline) // A missing deadline only means a later end.
	limited := io.LimitReader(j.in.Body, bufferedBody+1)
	body, err := io.ReadAll(limited)
	if err != nil {
		if ctx.Err() != nil {
			return &refusal{status: http.StatusRequestTimeout, reason: reasonCallerSlow, err: err}
		}
		return &refusal{status: http.StatusBadRequest, reason: reasonCallerLeft, err: err}
	}
	j.body = body
	if len(body) > bufferedBody {
		j.rest = j.in.Body
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{}) // As above.
	return nil
}

// carry makes attempts until the request has its final answer.
func (s *Server) carry(ctx context.Context, j *job) {
	var kept *answer
	for {
		claim, err := s.place(ctx, j)
		if err != nil {
			s.finish(ctx, j, kept, placeRefusal(ctx, j, err))
			return
		}
		got, failure := s.attempt(ctx, j, claim)
		if failure == nil {
			s.deliver(ctx, j, got)
			return
		}
		if failure.answer != nil {
			kept = failure.answer
		}
		if !s.again(ctx, j, failure) {
			s.finish(ctx, j, kept, failure.refusal(ctx, j))
			return
		}
	}
}

// again reports whether another attempt may be made, and waits until it is due.
func (s *Server) again(ctx context.Context, j *job, f *failure) bool {
	j.tried[f.endpoint] = true
	if !f.notRun {
		j.maybeRun++
	}
	if ctx.Err() != nil || j.rest != nil || j.maybeRun >= j.route.MaxAttempts {
		return false
	}
	delay, ok := j.plan.Next(time.Now(), toucanretry.Failure{
		NotRun:     f.notRun,
		Repeatable: j.route.Kind == toucantraffic.Idempotent,
		Unsent:     f.unsent,
	})
	if !ok {
		return false
	}
	s.log.Info(msgRetry, "requestId", j.ID, "endpoint", f.endpoint, "cause", f.Error(), "notRun", f.notRun,
		"attempts", j.plan.Attempts(), "delayMs", delay.Milliseconds())
	s.metrics.retries.Inc(1)
	return toucanwait.Sleep(ctx, delay)
}

// place waits for room within the share of the time left, and claims it.
func (s *Server) place(ctx context.Context, j *job) (*toucanplace.Claim, error) {
	now := time.Now()
	until := now.Add(j.patience(now))
	defer s.waiting.leave(j)
	for {
		freed := s.book.Freed()
		claim, err := s.tryPlace(j)
		if err == nil || errors.Is(err, toucanplace.ErrTooLarge) {
			j.placed = time.Now()
			return claim, err
		}
		if errors.Is(err, toucanplace.ErrNoEndpoint) && len(j.tried) > 0 {
			return nil, err
		}
		left := time.Until(until)
		if left <= 0 {
			return nil, err
		}
		s.waiting.join(j)
		toucanwait.Signal(ctx, freed, min(left, recheckInterval))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// patience is how long a request waits for room: a share of the time left, and no longer than a caller of a stream waits
// for its first event.
func (j *job) patience(now time.Time) time.Duration {
	wait := time.Duration(float64(j.deadline.Sub(now)) * waitShare)
	if j.route.Goal > 0 {
		wait = min(wait, waitGoals*j.route.Goal)
	}
	return wait
}

// tryPlace claims an endpoint if there is room and none of those who wait goes first.
func (s *Server) tryPlace(j *job) (*toucanplace.Claim, error) {
	now := time.Now()
	if !s.waiting.mayTry(now, j) {
		return nil, toucanplace.ErrFull
	}
	untried := func(e toucanplace.Endpoint) bool { return !j.tried[e.ID] }
	return s.book.Place(now, j.service.Name, j.demand, untried)
}

// attempt sends the request to a claimed endpoint. It returns an answer to deliver or a failure, and has given the
// claim back unless the answer holds it.
func (s *Server) attempt(ctx context.Context, j *job, claim *toucanplace.Claim) (*answer, *failure) {
	x, err := s.send(ctx, j, claim, nil)
	if err != nil {
		f := newFailure(claim, err)
		claim.Done(time.Now(), f.outcome(ctx))
		return nil, f
	}
	told := s.codec.Answer(x.Status, x.Header, j.ID)
	if told.NotRun {
		x.Close()
		claim.Done(time.Now(), toucanplace.OutcomeFailed)
		return nil, &failure{endpoint: claim.Endpoint.ID, notRun: true, err: errNotRun}
	}
	if x.Status == http.StatusOK && j.route.Kind == toucantraffic.Stream && told.Genuine && isEventStream(x.Header) {
		return &answer{stream: x, claim: claim, status: x.Status, header: x.Header}, nil
	}
	return s.whole(ctx, j, claim, x, told)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// send hands the request to the claimed endpoint, at the place where resume says if it is not nil.
func (s *Server) send(ctx context.Context, j *job, claim *toucanplace.Claim, resume *Resume) (*toucanupstream.Exchange, error) {
	header := s.codec.Outgoing(passable(j.in.Header), Attempt{
		Request:   j.Request,
		Workspace: j.workspace,
		Left:      time.Until(j.deadline),
		Instance:  claim.Endpoint.ID,
		Backup:    s.backUp(j, claim),
		Resume:    resume,
	})
	return s.pool.Send(ctx, claim.Endpoint.Address, j.service.MaxConnections, toucanupstream.Message{
		Method:  j.in.Method,
		Target:  j.in.RequestURI,
		Host:    j.in.Host,
		Header:  header,
		Body:    j.body,
		Rest:    j.rest,
		Belongs: func(h http.Header) bool { return s.codec.Belongs(h, j.ID) },
	})
}

// backUp claims a place for a copy of a stream's memory and returns its address; empty when there is none.
func (s *Server) backUp(j *job, claim *toucanplace.Claim) string {
	j.dropBackup()
	e := j.service.Engine
	if e == nil || !e.Backups || j.route.Kind != toucantraffic.Stream || j.demand.Output < backupOutput || !s.uneasy() {
		return ""
	}
	backup, err := s.book.Backup(time.Now(), claim.Endpoint, j.demand)
	if err != nil {
		s.metrics.unbacked.Inc(1)
		return ""
	}
	j.backup = backup
	return backup.Endpoint.Address
}

// dropBackup gives the place of the run's copy back.
func (j *job) dropBackup() {
	if j.backup != nil {
		j.backup.Done(time.Now(), toucanplace.OutcomeNeutral)
		j.backup = nil
	}
}

// whole reads an answer to its end, or to the bound of what is held.
func (s *Server) whole(ctx context.Context, j *job, claim *toucanplace.Claim, x *toucanupstream.Exchange, told Answer) (*answer, *failure) {
	var body bytes.Buffer
	_, err := io.Copy(&body, io.LimitReader(x.Body, bufferedAnswer+1))
	if err != nil {
		x.Close()
		f := &failure{endpoint: claim.Endpoint.ID, err: err}
		claim.Done(time.Now(), f.outcome(ctx))
		return nil, f
	}
	a := &answer{status: x.Status, header: x.Header, body: body.Bytes(), claim: claim}
	if body.Len() > bufferedAnswer {
		a.rest = x
	} else {
		x.Close()
	}
	f := s.judge(j, claim, told, a)
	if f != nil && a.rest != nil {
		x.Close()
	}
	if f == nil && a.rest == nil {
		claim.Done(time.Now(), toucanplace.OutcomeGood)
	}
	if f != nil {
		claim.Done(time.Now(), toucanplace.OutcomeFailed)
	}
	return a, f
}

// judge tells an answer that the caller should get from one that is no answer to this request.
func (s *Server) judge(j *job, claim *toucanplace.Claim, told Answer, a *answer) *failure {
	f := &failure{endpoint: claim.Endpoint.ID}
	switch {
	case !told.Genuine || !told.Named:
		f.err = errNotGenuine
		return f
	case a.header.Get("Content-Encoding") != "":
		f.err = errEncoded
		return f
	case a.status >= http.StatusInternalServerError:
		f.err = errEndpointFailed
		f.answer = a
		return f
	}
	return nil
}

// finish gives the caller an endpoint's own failure if there is one, and a refusal otherwise.
func (s *Server) finish(ctx context.Context, j *job, kept *answer, r refusal) {
	if kept != nil {
		s.deliver(ctx, j, kept)
		return
	}
	s.refuse(j, r)
}

// retryAfter is a header's value in seconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func splitList(value string) []string {
	var names []string
	for _, name := range strings.Split(value, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
