package toucanadmit

import "time"

// shares tracks how much running work each workspace has in the engine. A workspace that far exceeds its weighted
// share must leave capacity free for requests of the others.
type shares struct {
	workspaces map[string]*workspaceLoad
	// weight and work are sums over all workspaces.
	weight float64
	work   float64
}

// workspaceLoad is the running work of a recently active workspace.
type workspaceLoad struct {
	weight float64
	// work is the expected output of its running requests, in tokens.
	work    float64
	running int
	seen    time.Time
}

const (
	// workspaceLifetime is how long a workspace counts as active after its last request.
	workspaceLifetime = 15 * time.Second
	// overShareFactor is the multiple of its share above which a workspace must leave capacity free.
	overShareFactor = 2
	// overShareHeadroom is the share of the memory and of the batch that such a workspace must leave free.
	overShareHeadroom = 0.3
	// overSharePrefill is the share of the allowed prompt computation that such a workspace may use.
	overSharePrefill = 0.3
)

func newShares() shares { return shares{workspaces: make(map[string]*workspaceLoad)} }

func (s *shares) recordOffer(now time.Time, workspace string, weight float64) {
	h, ok := s.workspaces[workspace]
	if !ok {
		h = &workspaceLoad{}
		s.workspaces[workspace] = h
	}
	s.weight += weight - h.weight
	h.weight = weight
	h.seen = now
}

func (s *shares) recordStart(workspace string, cost float64) {
	if h, ok := s.workspaces[workspace]; ok {
		h.running++
		h.work += cost
		s.work += cost
	}
}

func (s *shares) recordEnd(workspace string, cost float64) {
	if h, ok := s.workspaces[workspace]; ok {
		h.running--
		h.work -= cost
		s.work -= cost
	}
}

// expire removes workspaces without running requests that were inactive for longer than workspaceLifetime.
func (s *shares) expire(now time.Time) {
	for name, h := range s.workspaces {
		if h.running == 0 && now.Sub(h.seen) > workspaceLifetime {
			s.weight -= h.weight
			s.work -= h.work
			delete(s.workspaces, name)
		}
	}
}

// exceedsShare reports whether one more request of the given cost would bring the workspace above overShareFactor
// times its fair share. It returns false if no other workspace is active.
func (s *shares) exceedsShare(workspace string, cost float64) bool {
	h, ok := s.workspaces[workspace]
	if !ok || len(s.workspaces) < 2 {
		return false
	}
	fair := (s.work + cost) * h.weight / s.weight
	return h.work+cost > overShareFactor*fair
}
