package toucanforward

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"toucanport/toucanbody"
	"toucanport/toucangeneration"
	"toucanport/toucanlatestop"
	"toucanport/toucanlog"
	"toucanport/toucanpace"
	"toucanport/toucanplace"
	"toucanport/toucanquarantine"
	"toucanport/toucanrank"
	"toucanport/toucanrate"
	"toucanport/toucanretry"
	"toucanport/toucanroom"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
	"toucanport/toucanwait"
)

const (
	// unsentAttempts plus the route's MaxAttempts bounds all attempts of a request. MaxAttempts alone bounds those that
	// may have run.
	unsentAttempts = 8
	// retryAfterFull is the Retry-After value when no endpoint could take the request.
	retryAfterFull = 300 * time.Millisecond
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
	moves       toucangeneration.MoveCoordinator
	traffic     *toucantraffic.Current
	placer      *toucanplace.Placer
	pool        *toucanupstream.Pool
	budget      *toucanretry.Budget
	log         *slog.Logger
	metrics     *metrics
	generations *toucangeneration.Registry
	estimates   lengthEstimates
	rooms       *toucanroom.Decider
	quarantine  *toucanquarantine.Table
	starting    startingRequests
	limits      *toucanrate.Limits
	paces       *toucanpace.Learner
	returns     *toucanrate.Returns
	bodies      *toucanbody.Memory
	answers     *toucanbody.Memory
	active      activeRequests
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
	return &Server{
		codec:      cfg.Codec,
		mover:      cfg.Mover,
		moves:      cfg.Moves,
		traffic:    cfg.Traffic,
		placer:     cfg.Placer,
		pool:       cfg.Pool,
		budget:     cfg.Budget,
		log:        cfg.Log,
		quarantine: cfg.Quarantine,
		limits:     cfg.Limits,
		paces:      newPaces(cfg.Paces),
		returns:    toucanrate.NewReturns(),
		rooms:      toucanroom.New(cfg.Ranks, cfg.Placer),
		bodies:     cfg.Bodies,
		answers:    cfg.Answers,
		metrics:    m,
		generations: toucangeneration.New(toucangeneration.Config{
			Placer: cfg.Placer,
			Moves:  cfg.Moves,
			Mover:  cfg.Mover,
			Log:    cfg.Log,
			Scope:  m.scope,
		}),
		started: time.Now(),
	}
}

// RunMoves moves generations off draining endpoints, and to endpoints with a better pace. It returns when ctx ends.
func (s *Server) RunMoves(ctx context.Context) {
	go s.generations.MoveByPace(ctx)
	s.generations.Move(ctx)
}

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
	// cancel ends the request with a cause. It is set before the request is in activeRequests.
	cancel context.CancelCauseFunc
	// brokenStarts counts the connections to endpoints that broke before the request was proven. Without shared parts, only
	// those to endpoints that have ended count.
	brokenStarts int
	// wholePart caches fingerprint; zero until it was needed.
	wholePart toucanquarantine.Part
	// allParts caches parts; nil until it was needed.
	allParts []toucanquarantine.Part
	// startedAt is when the last attempt began.
	startedAt time.Time
	// admission is why the request was sent to an endpoint while the server stops; empty otherwise.
	admission admission
	// head is the answer of a stream whose head was not passed on to the caller yet; nil otherwise.
	head *answer
	// written is the number of bytes of an answer's body that were passed on to the caller.
	written int64
	// reading is true while the body is read. It is guarded by activeRequests.mu.
	reading bool
	// cut is true once the caller's connection is to be aborted.
	cut bool
	// proven is true once an engine has answered so far that the request can't be what ends engines.
	proven bool
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isStopping() {
		w.Header().Set("Connection", "close")
	}
	j, refusal := s.accept(w, r)
	ctx, cancelCause := context.WithCancelCause(r.Context())
	defer cancelCause(nil)
	j.cancel = cancelCause
	s.active.add(j)
	defer s.active.remove(j)
	if refusal != nil {
		s.refuse(j, *refusal)
		return
	}
	if !s.canEnd(j) {
		s.refuse(j, stopRefusal(j, true))
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if refusal := s.readBody(ctx, j); refusal != nil {
		s.refuse(j, *refusal)
		return
	}
	defer s.releaseBody(j)
	if s.isQuarantined(j) {
		s.refuse(j, quarantineRefusal())
		return
	}
	defer j.releaseBackup()
	defer s.starting.remove(j)
	s.runAttempts(ctx, j)
}

// runAttempts makes attempts until one succeeds or no further one is allowed, and delivers the result.
func (s *Server) runAttempts(ctx context.Context, j *job) {
	var endpointAnswer *answer
	for {
		reservation, err := s.place(ctx, j)
		if err != nil {
			s.deliverFailure(ctx, j, endpointAnswer, placeRefusal(ctx, j, err, s.delayFor(j, err)))
			return
		}
		got, failure := s.attempt(ctx, j, reservation)
		if failure == nil {
			s.deliver(ctx, j, got)
			return
		}
		if failure.answer != nil {
			endpointAnswer = failure.answer
		}
		if !s.waitForRetry(ctx, j, failure) {
			s.deliverFailure(ctx, j, endpointAnswer, failure.refusal(ctx, j, s.deferredFor(j)))
			return
		}
	}
}

// deferredFor returns how long every endpoint of the request's service has asked for no requests; zero if one has not.
func (s *Server) deferredFor(j *job) time.Duration {
	return s.placer.DeferredFor(time.Now(), j.service.Name)
}

// waitForRetry waits until the next attempt is due. It returns false without waiting if none is allowed, and false if
// ctx ends first.
func (s *Server) waitForRetry(ctx context.Context, j *job, f *failure) bool {
	j.tried[f.endpoint] = true
	if !f.notRun {
		j.maybeRun++
	}
	if ctx.Err() != nil || !j.body.Repeatable() || j.maybeRun >= j.route.MaxAttempts || !s.mayStartAgain(j) {
		return false
	}
	if !s.hasEndpointFor(j) {
		return false
	}
	delay, ok := j.plan.Next(time.Now(), toucanretry.Failure{
		NotRun:        f.notRun,
		AnswerStarted: j.written > 0,
		Resumable:     j.route.CanResume(),
		Idempotent:    j.route.IsIdempotent(),
		Unsent:        f.unsent,
	})
	if !ok {
		return false
	}
	j.logged = true
	s.log.Info(toucanlog.MsgRequestRetried,
		toucanlog.RequestID, j.ID,
		toucanlog.Endpoint, f.endpoint,
		toucanlog.Cause, f.Error(),
		toucanlog.NotRun, f.notRun,
		toucanlog.Attempts, j.plan.Attempts(),
		toucanlog.DelayMs, delay.Milliseconds(),
	)
	s.metrics.retries.Inc(1)
	return toucanwait.Sleep(ctx, delay)
}

// deliverFailure delivers the endpoint's own 5xx answer if there is one, and a refusal otherwise.
func (s *Server) deliverFailure(ctx context.Context, j *job, endpointAnswer *answer, r refusal) {
	if endpointAnswer != nil {
		s.deliver(ctx, j, endpointAnswer)
		return
	}
	s.refuse(j, r)
}
