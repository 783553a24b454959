package toucanforward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"toucanport/toucanlog"
	"toucanport/toucanplace"
	"toucanport/toucanretry"
	"toucanport/toucanrun"
	"toucanport/toucantraffic"
	"toucanport/toucanupstream"
	"toucanport/toucanwait"
)

const (
	// unsentAttempts bounds the attempts that are known not to have run.
	unsentAttempts = 8
	// comeBackFull is when a caller may ask again when every endpoint is full.
	comeBackFull = 300 * time.Millisecond
	// successSample is how many plain successes stand for one that is logged.
	successSample = 64
)

// Server is the handler for callers' requests.
type Server struct {
	codec   Codec
	mover   toucanrun.Mover
	board   toucanrun.Board
	traffic *toucantraffic.Current
	book    *toucanplace.Book
	pool    *toucanupstream.Pool
	budget  *toucanretry.Budget
	log     *slog.Logger
	metrics *metrics
	runs    *toucanrun.Runs
	lengths lengths
	waiting waiting
	// closing is true when connections should be closed behind the next answer.
	closing atomic.Bool
	started time.Time
	// brokeAfter is how long after started a stream last broke without notice, in nanoseconds; zero for never. It does not
	// follow the time of day, which may jump.
	brokeAfter atomic.Int64
}

// Config holds what a Server works with.
type Config struct {
	Codec   Codec
	Mover   toucanrun.Mover
	Board   toucanrun.Board
	Traffic *toucantraffic.Current
	Book    *toucanplace.Book
	Pool    *toucanupstream.Pool
	Budget  *toucanretry.Budget
	Log     *slog.Logger
	Metrics Metrics
}

// New returns a server.
func New(cfg Config) *Server {
	m := newMetrics(cfg.Metrics)
	return &Server{
		codec:   cfg.Codec,
		mover:   cfg.Mover,
		board:   cfg.Board,
		traffic: cfg.Traffic,
		book:    cfg.Book,
		pool:    cfg.Pool,
		budget:  cfg.Budget,
		log:     cfg.Log,
		metrics: m,
		runs: toucanrun.New(toucanrun.Config{
			Book:  cfg.Book,
			Board: cfg.Board,
			Mover: cfg.Mover,
			Log:   cfg.Log,
			Scope: m.scope,
		}),
		started: time.Now(),
	}
}

// RunMoves moves generations off endpoints that leave until ctx ends.
func (s *Server) RunMoves(ctx context.Context) { s.runs.Move(ctx) }

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
	// logged is true once a line speaks of the request, so that its end must have one too.
	logged bool
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
	if !s.book.Offers(j.service.Name, j.untried) {
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

// finish gives the caller an endpoint's own failure if there is one, and a refusal otherwise.
func (s *Server) finish(ctx context.Context, j *job, kept *answer, r refusal) {
	if kept != nil {
		s.deliver(ctx, j, kept)
		return
	}
	s.refuse(j, r)
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
