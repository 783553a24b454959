package toucanpace

import (
	"math"
	"slices"
	"time"
)

// spans holds the average event times of the last slotCount spans.
type spans struct {
	slots [slotCount]span
	// cached is the result of usual when the spans changed last, evaluated in the span cachedIn.
	cached   time.Duration
	cachedIn int64
}

// span holds the events in one slotLength.
type span struct {
	number int64
	took   time.Duration
	events int
}

func spanNumber(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

// add adds events. Those that are older than the kept spans have no effect.
func (s *spans) add(now time.Time, took time.Duration, events int) {
	number := spanNumber(now)
	slot := &s.slots[number%slotCount]
	if number < slot.number {
		return
	}
	if number > slot.number {
		*slot = span{number: number}
	}
	slot.took += took
	slot.events += events
}

// usual returns the lower third of the whole spans' average event times; zero if fewer than minSlots have enough events. Moments that
// differ from the rest are slow ones, and can fill more than half of few spans.
func (s *spans) usual(now time.Time) time.Duration {
	number := spanNumber(now)
	if s.cachedIn == number {
		return s.cached
	}
	var means [slotCount]time.Duration
	n := 0
	for _, slot := range s.slots {
		if slot.events < minSlotEvents || slot.number >= number || number-slot.number > slotCount {
			continue
		}
		means[n] = slot.took / time.Duration(slot.events)
		n++
	}
	s.cachedIn, s.cached = number, 0
	if n >= minSlots {
		slices.Sort(means[:n])
		s.cached = means[n/3]
	}
	return s.cached
}

const (
	// slowdownSteps is the number of steps of slowdownStep in which slowdowns are counted, from 1 on.
	slowdownSteps = 32
	slowdownStep  = 1.1
	// slowdownQuantile is the share of events that are not slower than the forecast. Slow moments last for more than the rest.
	slowdownQuantile = 0.98
	// minSlowdowns is the least number of events from which the share is known, maxSlowdowns the one at which the counts are
	// halved.
	minSlowdowns = 100
	maxSlowdowns = 4000
)

// slowdowns counts by how much single events took longer than usual at their endpoint, over all endpoints.
type slowdowns struct {
	counts [slowdownSteps]int
	total  int
}

// add counts an event that took ratio times as long as usual.
func (s *slowdowns) add(ratio float64) {
	step := 0
	if ratio > 1 && !math.IsInf(ratio, 0) {
		step = min(int(math.Log(ratio)/math.Log(slowdownStep)), slowdownSteps-1)
	}
	s.counts[step]++
	s.total++
	if s.total < maxSlowdowns {
		return
	}
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// newSlowdowns returns the slowdowns with given counts. Counts beyond slowdownSteps and maxSlowdowns are ignored.
func newSlowdowns(counts []uint32) slowdowns {
	var s slowdowns
	for step, n := range counts[:min(len(counts), slowdownSteps)] {
		s.counts[step] = min(int(n), maxSlowdowns)
		s.total += s.counts[step]
	}
	return s
}

// trimmed returns the counts without the zeros at the end.
func (s *slowdowns) trimmed() []uint32 {
	var counts []uint32
	for step, n := range s.counts {
		if n == 0 {
			continue
		}
		for len(counts) < step {
			counts = append(counts, 0)
		}
		counts = append(counts, uint32(n))
	}
	return counts
}

// merge adds the counts of another entry.
func (s *slowdowns) merge(other slowdowns) {
	for step, n := range other.counts {
		s.counts[step] += n
	}
	s.total += other.total
}

// high returns how many times longer than usual an event can take, at slowdownQuantile; 1 until enough events were counted.
func (s *slowdowns) high() float64 {
	if s.total < minSlowdowns {
		return 1
	}
	below := 0
	for step, n := range s.counts {
		below += n
		if float64(below) >= slowdownQuantile*float64(s.total) {
			return math.Pow(slowdownStep, float64(step)+0.5)
		}
	}
	return 1
}

const (
	// readUnit is the number of tokens to which Forecast.ReadTime refers.
	readUnit = 1000
	// minReadTokens is the least number of tokens whose reading tells how fast an endpoint reads; maxRead bounds the time.
	minReadTokens = 500
	maxRead       = 10 * time.Second
	// readCount is the number of readings that are kept, minReads the least number from which the share is known.
	readCount = 63
	minReads  = 8
)

// reads holds how long the reading of one token took in the last readings, as a share of an event's time beside a prompt at the
// endpoint. Endpoints of any speed have the same share.
type reads struct {
	shares [readCount]float64
	next   int
	count  int
}

func (r *reads) add(share float64) {
	r.shares[r.next] = share
	r.next = (r.next + 1) % readCount
	r.count = min(r.count+1, readCount)
}

// median returns the median share; zero until there are minReads.
func (r *reads) median() float64 {
	if r.count < minReads {
		return 0
	}
	sorted := r.shares
	return medianOf(sorted[:r.count])
}

// recentCount is the number of an endpoint's readings that are kept.
const recentCount = 5

// recentReads holds how long the reading of one token took, in nanoseconds, in the last readings of an endpoint.
type recentReads struct {
	times [recentCount]float64
	next  int
	count int
}

func (r *recentReads) add(perToken float64) {
	r.times[r.next] = perToken
	r.next = (r.next + 1) % recentCount
	r.count = min(r.count+1, recentCount)
}

// usual returns the lower median, since slow moments and queues only prolong a reading; zero if there is none.
func (r *recentReads) usual() float64 {
	sorted := r.times
	return medianOf(sorted[:r.count])
}
