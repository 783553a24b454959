package toucanadmit

import "time"

// naive sends every request to the engine in order of arrival and leaves admission control to the engine.
type naive struct {
	queue   []Request
	running map[string]int
	report  EngineReport
}

// NewNaive returns the policy that sends every request to the engine immediately, first come, first served.
func NewNaive(_ Config) Policy {
	return &naive{running: make(map[string]int)}
}

func (n *naive) Offer(_ time.Time, r Request) error {
	n.queue = append(n.queue, r)
	return nil
}

func (n *naive) Next(_ time.Time) []Start {
	if len(n.queue) == 0 {
		return nil
	}
	starts := make([]Start, 0, len(n.queue))
	for _, r := range n.queue {
		n.running[r.ID] = r.PromptTokens
		starts = append(starts, Start{ID: r.ID})
	}
	n.queue = n.queue[:0]
	return starts
}

func (n *naive) Expired(now time.Time) []string {
	var expired []string
	kept := n.queue[:0]
	for _, r := range n.queue {
		if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
			expired = append(expired, r.ID)
			continue
		}
		kept = append(kept, r)
	}
	n.queue = kept
	return expired
}

func (n *naive) Progress(time.Time, string, int) {}

func (n *naive) Done(_ time.Time, id string, _ int, _ bool) {
	delete(n.running, id)
	for i, r := range n.queue {
		if r.ID == id {
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			return
		}
	}
}

func (n *naive) Report(_ time.Time, e EngineReport) {
	if e.At.Before(n.report.At) {
		return
	}
	n.report = e
}

func (n *naive) Load(time.Time) Load {
	queued := 0
	for _, r := range n.queue {
		queued += r.PromptTokens
	}
	return Load{
		Running:        len(n.running),
		Queued:         len(n.queue),
		QueuedTokens:   queued,
		UsedBlocks:     n.report.UsedBlocks,
		TotalBlocks:    n.report.TotalBlocks,
		ForecastBlocks: n.report.UsedBlocks,
		StepTime:       n.report.StepTime,
	}
}

func (n *naive) Wake(now time.Time) time.Time {
	if len(n.queue) == 0 {
		return time.Time{}
	}
	return now
}
