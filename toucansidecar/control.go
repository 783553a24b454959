package toucansidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"toucanport/toucanadmit"
	"toucanport/toucanengine"
	"toucanport/toucanreplicate"
	"toucanport/toucansettings"
	"toucanport/toucanwait"
	"toucanport/toucanwire"
)

const (
	// engineReportInterval is the time between requests for the engine's load report.
	engineReportInterval = 250 * time.Millisecond
	// engineReportTimeout limits the wait for one report.
	engineReportTimeout = time.Second
	// unhealthyAfter is the number of consecutive failed reports after which the endpoint counts as unhealthy.
	unhealthyAfter = 3
)

// reportState numbers the load reports of this process and counts failed reports of the engine. It is safe for
// concurrent use.
type reportState struct {
	sequence atomic.Uint64
	// answeredAt is when an answer last included a report, in Unix nanoseconds.
	answeredAt atomic.Int64

	mu       sync.Mutex
	failures int
}

func (r *reportState) healthy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures < unhealthyAfter
}

func (r *reportState) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
}

func (r *reportState) recordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
}

// pollEngine requests the engine's load report regularly and passes it to the schedule.
func (s *Sidecar) pollEngine(ctx context.Context) {
	for {
		s.requestEngineReport(ctx)
		if !toucanwait.Sleep(ctx, engineReportInterval) {
			return
		}
	}
}

func (s *Sidecar) requestEngineReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineReportTimeout)
	defer cancel()
	r, err := s.cfg.Engine.Report(ctx)
	if err != nil {
		s.reports.recordFailure()
		return
	}
	s.reports.recordSuccess()
	s.schedule.Report(toAdmitReport(r))
	s.engine.Report(r.Preemptions, r.Running, r.UsedBlocks, r.TotalBlocks, s.schedule.Load().Queued)
}

func toAdmitReport(r toucanengine.Report) toucanadmit.EngineReport {
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

// serveControl answers each heartbeat of an entry with a heartbeat.
func (s *Sidecar) serveControl(ctx context.Context, link *toucanwire.Link, stream *toucanwire.Stream) {
	replicaPeer := toucanreplicate.NewPeer(s.cfg.Replica)
	defer replicaPeer.Close()
	for ctx.Err() == nil {
		beat := &toucanwire.Heartbeat{}
		if err := stream.Receive(beat); err != nil {
			return
		}
		if _, err := replicaPeer.Receive(beat); err != nil {
			s.log.Error("settings not taken", "peer", link.Peer.Instance, "error", err.Error())
		}
		answer := &toucanwire.Heartbeat{Sequence: beat.Sequence, Load: s.loadReport()}
		answer.Uses = s.uses.exchange(time.Now(), link.Peer.Instance, beat.Uses)
		if err := replicaPeer.Fill(answer); err != nil {
			s.log.Error("settings not sent", "peer", link.Peer.Instance, "error", err.Error())
		}
		if err := stream.Send(answer); err != nil {
			return
		}
	}
}

// answerReportSpacing is the minimum time between two reports on answers, multiplied by the number of links. An entry
// receives reports of many sidecars, so each sends fewer on answers when there are many links. Heartbeats are not
// affected.
const answerReportSpacing = 25 * time.Millisecond

// answerReport returns the load report for an answer, or nil if the last answer with a report is too recent.
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
		Leaving:  s.refusesNewWork(),
		Healthy:  s.reports.healthy(),
	}
	if s.cfg.Kind == toucansettings.KindPlain {
		r.Running = uint32(s.inProgress.count())
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
