package toucanforward

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"toucanport/toucanbody"
	"toucanport/toucancrash"
	"toucanport/toucangeneration"
	"toucanport/toucanlatestop"
	"toucanport/toucanlog"
	"toucanport/toucanpace"
	"toucanport/toucanpacemove"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanrank"
	"toucanport/toucanrate"
	"toucanport/toucanrefusal"
	"toucanport/toucanrelay"
	"toucanport/toucanretry"
	"toucanport/toucanroom"
	"toucanport/toucanstop"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
	"toucanport/toucanwait"
)

const (
	// unsentAttempts plus the route's MaxAttempts bounds all attempts of a request. MaxAttempts alone bounds those that
	// may have run.
	unsentAttempts = 8
	// defaultBodyMemory is the memory in bytes for long bodies, unless one is configured.
	defaultBodyMemory = 16 << 20
	// defaultAnswerMemory is the memory in bytes for long answers and events, unless one is configured.
	defaultAnswerMemory = 16 << 20
	// successSampleRate is the number of plain successful requests for each one that is logged.
	successSampleRate = 64
)

// Server is an http.Handler that forwards callers' requests to endpoints. It is safe for concurrent use.
type Server struct {
	codec       Codec
	mover       toucangeneration.Mover
	stopper     toucanlatestop.Stopper
	moves       toucangeneration.MoveCoordinator
	traffic     *toucantraffic.Current
	placer      *toucanplace.Placer
	pool        *toucanupstream.Pool
	budget      *toucanretry.Budget
	log         *slog.Logger
	metrics     *metrics
	generations *toucangeneration.Registry
	paceMoves   *toucanpacemove.Mover
	estimates   lengthEstimates
	rooms       *toucanroom.Decider
	quarantine  *toucanquarantine.Table
	watch       *toucancrash.Watch
	limits      *toucanrate.Limits
	paces       *toucanpace.Learner
	returns     *toucanrate.Returns
	bodies      *toucanbody.Memory
	answers     *toucanbody.Memory
	active      toucanstop.Requests
	started     time.Time
	// lastBreak is the time of the last break of a stream at an endpoint that was not draining, in nanoseconds since
	// started; zero means never. It is taken from the monotonic clock, since the wall clock can jump.
	lastBreak atomic.Int64
}

// Config holds the dependencies of a Server. All fields but Quarantine, Limits, Paces, Bodies, Ranks, Answers and Metrics are
// required.
type Config struct {
	Codec   Codec
	Mover   toucangeneration.Mover
	Moves   toucangeneration.MoveCoordinator
	Traffic *toucantraffic.Current
	Placer  *toucanplace.Placer
	Pool    *toucanupstream.Pool
	Budget  *toucanretry.Budget
	Log     *slog.Logger
	// Quarantine holds the parts of prompts that end engines; nil for a table that no one else uses.
	Quarantine *toucanquarantine.Table
	// Limits keeps the limits that endpoints name. The Placer must use the same; nil for limits that no one else uses.
	Limits *toucanrate.Limits
	// Paces learns the paces of endpoints. The Placer must use the same; nil for a learner that no one else uses.
	Paces *toucanpace.Learner
	// Bodies bounds the memory for long bodies of requests; nil for defaultBodyMemory.
	Bodies *toucanbody.Memory
	// Ranks learns the requests of each rank, and shares them with the other entries; nil for this entry's alone.
	Ranks *toucanrank.Table
	// Answers bounds the memory for long answers and events; nil for defaultAnswerMemory.
	Answers *toucanbody.Memory
	Metrics Metrics
}

// New returns a server. RunMoves must run for generations to be moved.
func New(cfg Config) *Server {
	m := newMetrics(cfg.Metrics)
	if cfg.Quarantine == nil {
		cfg.Quarantine = toucanquarantine.New()
	}
	if cfg.Limits == nil {
		cfg.Limits = toucanrate.New("")
	}
	if cfg.Ranks == nil {
		cfg.Ranks = toucanrank.NewTable()
	}
	if cfg.Bodies == nil {
		cfg.Bodies = toucanbody.NewMemory(defaultBodyMemory)
	}
	if cfg.Answers == nil {
		cfg.Answers = toucanbody.NewMemory(defaultAnswerMemory)
	}
	moves := toucangeneration.Config{Placer: cfg.Placer, Moves: cfg.Moves, Mover: cfg.Mover, Log: cfg.Log, Scope: m.scope}
	generations := toucangeneration.New(moves)
	return &Server{
		codec:      cfg.Codec,
		mover:      cfg.Mover,
		stopper:    toucanlatestop.Stopper{Mover: cfg.Mover, Log: cfg.Log, Observe: m.stopped},
		moves:      cfg.Moves,
		traffic:    cfg.Traffic,
		placer:     cfg.Placer,
		pool:       cfg.Pool,
		budget:     cfg.Budget,
		log:        cfg.Log,
		quarantine: cfg.Quarantine,
		watch:      toucancrash.New(cfg.Quarantine, cfg.Pool, cfg.Log),
		limits:     cfg.Limits,
		paces:      newPaces(cfg.Paces),
		returns:    toucanrate.NewReturns(),
		rooms:      toucanroom.New(cfg.Ranks, cfg.Placer),
		bodies:     cfg.Bodies,
		answers:    cfg.Answers,
		metrics:    m,

		generations: generations,
		paceMoves:   toucanpacemove.New(moves, generations),
		started:     time.Now(),
	}
}

// RunMoves moves generations off draining endpoints, and to endpoints with a better pace. It returns when ctx ends.
func (s *Server) RunMoves(ctx context.Context) {
	go s.paceMoves.Run(ctx)
	s.generations.Move(ctx)
}

// RunQuarantine ends the requests that fall under a new quarantine. It returns when ctx ends.
func (s *Server) RunQuarantine(ctx context.Context) { s.watch.Run(ctx) }

// job is the state of one caller's request. Only the request's own goroutine changes it.
type job struct {
	Request
	in        *http.Request
	w         http.ResponseWriter
	route     toucantraffic.Route
	service   toucantraffic.Service
	workspace string
	// version is the version of the settings that the request is served by.
	version uint64
	arrived time.Time
	// timer measures the events of a stream.
	timer eventTimer
	// firstEventAt is the time of a stream's first event; zero before.
	firstEventAt time.Time
	// lastEventAt is the time of its last event, and pauseLogged is true once a pause beyond its bound was logged.
	lastEventAt time.Time
	pauseLogged bool
	// placed is the time of the last reservation.
	placed   time.Time
	deadline time.Time
	demand   toucanplace.Demand
	// rank is the request's urgency, 0 first.
	rank int
	// mixed is true if the requests of its service differ in goal or priority, so that toucanrank decides on their room.
	mixed bool
	// waiting caches room; nil until it was needed.
	waiting *toucanroom.Request
	// releaseBroken releases the reservation at the endpoint whose stream broke; nil before a stream breaks.
	releaseBroken func()
	// unreadBefore is the number of unread prompt tokens at the endpoint of the last reservation before the request's own.
	unreadBefore int
	// body tells whether the request can be sent again.
	body *toucanbody.Body
	// buffers is the memory for what is buffered of answers.
	buffers *toucanbody.Reservation
	// maxBody is the longest body in bytes that the caller may send; zero for any.
	maxBody int64
	plan    *toucanretry.Plan
	// lastEvent is the id of the event after which the stream of the next endpoint is to begin; empty for the first event.
	lastEvent string
	// backup is the reservation for the generation's backup; nil for none.
	backup *toucanplace.Reservation
	// lateStops stop the request's generation at endpoints that were not reached.
	lateStops toucanlatestop.Stops
	// maybeRun counts the failed attempts that the endpoint may have run.
	maybeRun int
	// logged is true once a log line names the request. Its end is then logged too, whether or not it is sampled.
	logged bool
	// tried holds the ids of the endpoints at which an attempt failed.
	tried map[string]bool
	// progress ends the request when the server stops, and when it is quarantined.
	progress toucanstop.Handle
	// started tells whether the request may be what ends engines. It is set once the body was read.
	started toucancrash.Request
	// startedAt is when the last attempt began.
	startedAt time.Time
	// admission is why the request was sent to an endpoint while the server stops; empty otherwise.
	admission toucanstop.Admission
	// part is the generation while an endpoint makes a part of the stream.
	part runningPart
	// out is where endpoints' answers are passed on to the caller.
	out toucanrelay.Writer
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopping() {
		w.Header().Set("Connection", "close")
	}
	j, refusal := s.accept(w, r)
	ctx, cancelCause := context.WithCancelCause(r.Context())
	defer cancelCause(nil)
	j.progress = toucanstop.NewHandle(cancelCause, w)
	s.active.Add(&j.progress)
	defer s.active.Remove(&j.progress)
	if refusal != nil {
		s.refuse(j, *refusal)
		return
	}
	if !s.canEnd(j) {
		s.refuse(j, toucanrefusal.Stopping(j.maybeRun == 0))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	_ = http.NewResponseController(w).SetWriteDeadline(j.deadline) // Not every writer has deadlines.
	if refusal := s.readBody(ctx, j); refusal != nil {
		s.refuse(j, *refusal)
		return
	}
	defer j.body.Release()
	defer j.buffers.Release()
	j.started = toucancrash.NewRequest(j.crashSpec())
	if s.watch.IsQuarantined(&j.started) {
		s.refuse(j, toucanrefusal.Quarantined())
		return
	}
	defer j.releaseBackup()
	defer s.watch.End(&j.started)
	s.runAttempts(ctx, j)
}

// crashSpec returns the request's description for toucancrash, which finds the requests that end engines.
func (j *job) crashSpec() toucancrash.Spec {
	return toucancrash.Spec{
		ID:          j.ID,
		Route:       j.route.Name,
		Service:     j.service.Name,
		Workspace:   j.workspace,
		Key:         j.Key,
		PromptParts: j.PromptParts,
		SharedParts: j.SharedParts,
		In:          j.in,
		Body:        j.body,
		Ender:       &j.progress,
	}
}

// runAttempts makes attempts until one succeeds or no further one is allowed, and delivers the result.
func (s *Server) runAttempts(ctx context.Context, j *job) {
	var endpointAnswer *answer
	var lost *brokenStream
	for {
		reservation, err := s.place(ctx, j)
		if err != nil {
			s.deliverFailure(ctx, j, endpointAnswer, toucanrefusal.OfPlacement(ctx, err, j.maybeRun > 0, s.delayFor(j, err)))
			return
		}
		if err := s.stopLost(ctx, j, lost, reservation); err != nil {
			s.deliverFailure(ctx, j, endpointAnswer, lost.failure.Refusal(ctx, true, s.deferredFor(j)))
			return
		}
		got, failure := s.attempt(ctx, j, reservation)
		if failure == nil {
			s.deliver(ctx, j, got)
			return
		}
		if got != nil {
			endpointAnswer = got
		}
		if !s.waitForRetry(ctx, j, failure) {
			s.deliverFailure(ctx, j, endpointAnswer, failure.Refusal(ctx, j.maybeRun > 0, s.deferredFor(j)))
			return
		}
		lost = lostAnswer(reservation.Endpoint, failure)
	}
}

// deferredFor returns how long every endpoint of the request's service has asked for no requests; zero if one has not.
func (s *Server) deferredFor(j *job) time.Duration {
	return s.placer.DeferredFor(time.Now(), j.service.Name)
}

// waitForRetry waits until the next attempt is due. It returns false without waiting if none is allowed, and false if
// ctx ends first.
func (s *Server) waitForRetry(ctx context.Context, j *job, f *toucanrefusal.Failure) bool {
	j.tried[f.Endpoint] = true
	if !f.NotRun {
		j.maybeRun++
	}
	if ctx.Err() != nil || !j.body.Repeatable() || j.maybeRun >= j.route.MaxAttempts || !s.watch.MayStartAgain(&j.started) {
		return false
	}
	if !s.hasEndpointFor(j) {
		return false
	}
	delay, ok := j.plan.Next(time.Now(), toucanretry.Failure{
		NotRun:        f.NotRun,
		AnswerStarted: j.out.Written() > 0,
		Resumable:     j.route.CanResume(),
		Idempotent:    j.route.IsIdempotent(),
		Unsent:        f.Unsent,
	})
	if !ok {
		return false
	}
	j.logged = true
	s.log.Info(toucanlog.MsgRequestRetried,
		toucanlog.RequestID, j.ID,
		toucanlog.Endpoint, f.Endpoint,
		toucanlog.Cause, f.Error(),
		toucanlog.NotRun, f.NotRun,
		toucanlog.Attempts, j.plan.Attempts(),
		toucanlog.DelayMs, delay.Milliseconds(),
	)
	s.metrics.retries.Inc(1)
	return toucanwait.Sleep(ctx, delay)
}

// deliverFailure delivers the endpoint's own 5xx answer if there is one, and a refusal otherwise.
func (s *Server) deliverFailure(ctx context.Context, j *job, endpointAnswer *answer, r toucanrefusal.Refusal) {
	if endpointAnswer != nil {
		s.deliver(ctx, j, endpointAnswer)
		return
	}
	s.refuse(j, r)
}
