package toucanadmit

import "time"

// shares follows how much of the engine each workspace holds, so that one that holds far more than its share leaves
// room for the others' next requests.
type shares struct {
	holders map[string]*holder
	// weight and work are the sums over holders.
	weight float64
	work   float64
}

// holder is a workspace that was active lately.
type holder struct {
	weight float64
	// work is the expected cost of its running requests, in tokens.
	work    float64
	running int
	seen    time.Time
}

const (
	// holderLifetime is how long a workspace counts after its last request.
	holderLifetime = 15 * time.Second
	// overShareFactor is how many times its share a workspace may hold before it must leave room.
	overShareFactor = 2
	// overShareRoom is the part of the memory and of the batch that such a workspace leaves free.
	overShareRoom = 0.3
	// overSharePrefill is the part of the prompt computation in flight that such a workspace may fill.
	overSharePrefill = 0.3
)

func newShares() shares { return shares{holders: make(map[string]*holder)} }

func (s *shares) offered(now time.Time, workspace string, weight float64) {
	h, ok := s.holders[workspace]
	if !ok {
		h = &holder{}
		s.holders[workspace] = h
	}
	s.weight += weight - h.weight
	h.weight = weight
	h.seen = now
}

func (s *shares) started(workspace string, cost float64) {
	if h, ok := s.holders[workspace]; ok {
		h.running++
		h.work += cost
		s.work += cost
	}
}

func (s *shares) ended(workspace string, cost float64) {
	if h, ok := s.holders[workspace]; ok {
		h.running--
		h.work -= cost
		s.work -= cost
	}
}

// expire forgets workspaces that have been away.
func (s *shares) expire(now time.Time) {
	for name, h := range s.holders {
		if h.running == 0 && now.Sub(h.seen) > holderLifetime {
			s.weight -= h.weight
			s.work -= h.work
			delete(s.holders, name)
		}
	}
}

// over says whether a workspace would hold far more than its share with one more request.
func (s *shares) over(workspace string, cost float64) bool {
	h, ok := s.holders[workspace]
	if !ok || len(s.holders) < 2 {
		return false
	}
	fair := (s.work + cost) * h.weight / s.weight
	return h.work+cost > overShareFactor*fair
}
