package toucansidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucanport/toucanadmit"
	"toucanport/toucanengine"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
	"toucanport/toucanwait"
	"toucanport/toucanwire"
)

const (
	// engineReportInterval is the time between reports asked of the engine.
	engineReportInterval = 250 * time.Millisecond
	// engineReportTimeout bounds the wait for one report.
	engineReportTimeout = time.Second
	// unhealthyAfter is how many reports in a row may fail before the endpoint counts as unhealthy.
	unhealthyAfter = 3
)

// reporter numbers this boot's load reports and keeps what the engine said last.
type reporter struct {
	sequence atomic.Uint64
	// answeredAt is when an answer last carried a report, in nanoseconds.
	answeredAt atomic.Int64

	mu       sync.Mutex
	failures int
}

func (r *reporter) healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures < unhealthyAfter
}

func (r *reporter) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
}

func (r *reporter) succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
}

// pollEngine asks the engine for its load and hands it to the schedule.
func (s *Sidecar) pollEngine(ctx context.Context) {
	for {
		s.askEngine(ctx)
		if !toucanwait.Sleep(ctx, engineReportInterval) {
			return
		}
	}
}

func (s *Sidecar) askEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineReportTimeout)
	defer cancel()
	r, err := s.cfg.Engine.Report(ctx)
	if err != nil {
		s.reports.failed()
		return
	}
	s.reports.succeeded()
	s.schedule.Report(admitReport(r))
	s.engine.Report(r.Preemptions, r.Running, r.UsedBlocks, r.TotalBlocks, s.schedule.Load().Queued)
}

func admitReport(r toucanengine.Report) toucanadmit.EngineReport {
	return toucanadmit.EngineReport{
		At:          r.At,
		UsedBlocks:  r.UsedBlocks,
		TotalBlocks: r.TotalBlocks,
		BlockTokens: r.BlockTokens,
		Running:     r.Running,
		Waiting:     r.Waiting,
		StepTime:    r.StepTime,
		Preemptions: r.Preemptions,
	}
}

// serveControl answers each heartbeat of an entry with one of its own.
func (s *Sidecar) serveControl(ctx context.Context, link *toucanwire.Link, stream *toucanwire.Stream) {
	spread := toucanspread.NewPeer(s.cfg.Spread)
	defer spread.Close()
	for ctx.Err() == nil {
		beat := &toucanwire.Heartbeat{}
		if err := stream.Receive(beat); err != nil {
			return
		}
		if _, err := spread.Receive(beat); err != nil {
			s.log.Error("settings not taken", "peer", link.Peer.Instance, "error", err.Error())
		}
		answer := &toucanwire.Heartbeat{Sequence: beat.Sequence, Load: s.loadReport()}
		answer.Uses = s.uses.take(time.Now(), link.Peer.Instance, beat.Uses)
		if err := spread.Fill(answer); err != nil {
			s.log.Error("settings not sent", "peer", link.Peer.Instance, "error", err.Error())
		}
		if err := stream.Send(answer); err != nil {
			return
		}
	}
}

// answerReportSpacing is the time between two reports that ride on answers, for each link. An entry hears of many
// sidecars; with many links each of them tells it less often, and heartbeats go on as they are.
const answerReportSpacing = 25 * time.Millisecond

// answerReport returns the report that an answer carries, or nil when one went out a moment ago.
func (s *Sidecar) answerReport() *toucanwire.LoadReport {
	s.mu.Lock()
	spacing := time.Duration(len(s.links)) * answerReportSpacing
	s.mu.Unlock()
	now := time.Now().UnixNano()
	last := s.reports.answeredAt.Load()
	if now-last < int64(spacing) || !s.reports.answeredAt.CompareAndSwap(last, now) {
		return nil
	}
	return s.loadReport()
}

func (s *Sidecar) loadReport() *toucanwire.LoadReport {
	r := &toucanwire.LoadReport{
		BootId:   s.boot,
		Endpoint: s.cfg.Endpoint,
		Service:  s.cfg.Service,
		Leaving:  s.turnsAway(),
		Healthy:  s.reports.healthy(),
	}
	if s.cfg.Kind == toucansettings.KindPlain {
		r.Running = uint32(s.working.count())
		r.Sequence = s.reports.sequence.Add(1)
		return r
	}
	l := s.schedule.Load()
	r.Running = uint32(l.Running)
	r.Queued = uint32(l.Queued)
	r.QueuedTokens = uint64(l.QueuedTokens)
	r.MemoryUsedBlocks = uint32(l.UsedBlocks)
	r.MemoryTotalBlocks = uint32(l.TotalBlocks)
	r.MemoryForecastBlocks = uint32(l.ForecastBlocks)
	r.StepMicros = uint32(l.StepTime / time.Microsecond)
	r.WaitMillis = uint32(l.Wait / time.Millisecond)
	r.Sequence = s.reports.sequence.Add(1)
	return r
}
