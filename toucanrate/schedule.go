package toucanrate

import "time"

const (
	// minPerSecond is the least rate in requests a second, also under a limit of zero. An endpoint to which nobody sends could
	// never say that its limit is over.
	minPerSecond = 0.1
	// unusedTime is how long a slot that nobody took can still be used.
	unusedTime = 250 * time.Millisecond
)

// schedule gives out the slots of a limit, one after another at equal intervals. It is not safe for concurrent use.
type schedule struct {
	interval time.Duration
	// next is when the next slot begins. It is at most unusedTime before the time of the last call.
	next time.Time
}

// newSchedule returns a schedule whose first slot begins after one interval, since another entry may have given out the
// present one.
func newSchedule(now time.Time, perSecond float64) *schedule {
	s := &schedule{interval: intervalOf(perSecond)}
	s.next = now.Add(s.interval)
	return s
}

func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
}

// setRate changes the rate. The next slot begins after one interval of the new rate at the latest.
func (s *schedule) setRate(now time.Time, perSecond float64) {
	interval := intervalOf(perSecond)
	if interval == s.interval {
		return
	}
	s.interval = interval
	if latest := now.Add(interval); s.next.After(latest) {
		s.next = latest
	}
}

// wait returns the time until the next slot begins.
func (s *schedule) wait(now time.Time) time.Duration { return max(s.next.Sub(now), 0) }

// reserve takes the next slot if it begins within patience, and returns the time until it begins. It returns false and that
// time if it does not.
func (s *schedule) reserve(now time.Time, patience time.Duration) (time.Duration, bool) {
	wait := s.wait(now)
	if wait > patience {
		return wait, false
	}
	s.spend(now)
	return wait, true
}

// spend takes the next slot, whenever it begins.
func (s *schedule) spend(now time.Time) {
	if oldest := now.Add(-unusedTime); s.next.Before(oldest) {
		s.next = oldest
	}
	s.next = s.next.Add(s.interval)
}

// pause lets the next slot begin after one interval at the earliest.
func (s *schedule) pause(now time.Time) {
	if earliest := now.Add(s.interval); s.next.Before(earliest) {
		s.next = earliest
	}
}
