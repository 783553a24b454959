package toucanfakestore

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults configures the faults of the fake store. The zero value is a healthy store.
type Faults struct {
	// Down refuses every call. Refused calls have no effect.
	Down bool
	// Delay is added to each call, before it takes effect.
	Delay time.Duration
	// LostReplyShare is the share of writes, from 0 to 1, whose reply is lost after the write has taken effect.
	LostReplyShare float64
	// LostRequestShare is the share of writes, from 0 to 1, that are lost before they take effect. Callers cannot
	// distinguish a lost request from a lost reply.
	LostRequestShare float64
	// StallWatches makes watches wait until their timeout even if keys change.
	StallWatches bool
	// ReadsPerSecond and WritesPerSecond are the rates above which calls are refused; zero is unlimited.
	ReadsPerSecond, WritesPerSecond float64
}

// Counts holds the numbers of calls that reached the fake store. A watch counts once, however long it waits.
type Counts struct {
	Reads, Writes, Watches, Refused int64
	// WrittenBytes is the total size of the values written.
	WrittenBytes int64
}

// outcome is the result that the fault injector chooses for a call.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeUnavailable
	outcomeRequestLost
	outcomeReplyLost
	outcomeRateLimited
)

// faultInjector counts calls and decides their outcome. It is safe for concurrent use.
type faultInjector struct {
	mu            sync.Mutex
	faults        Faults
	rand          *rand.Rand
	reads, writes *rate.Limiter
	counts        Counts
	// repliesToLose is the number of next writes whose reply is lost, regardless of Faults.LostReplyShare.
	repliesToLose int
}

func newFaultInjector(seed uint64) *faultInjector {
	f := &faultInjector{rand: rand.New(rand.NewPCG(seed, seed))}
	f.set(Faults{})
	return f
}

func (f *faultInjector) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.reads = newLimiter(faults.ReadsPerSecond)
	f.writes = newLimiter(faults.WritesPerSecond)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (f *faultInjector) loseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repliesToLose = n
}

func (f *faultInjector) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultInjector) snapshot() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func (f *faultInjector) addWrittenBytes(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.WrittenBytes += int64(n)
}

func (f *faultInjector) readOutcome(watch bool) outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	if watch {
		f.counts.Watches++
	} else {
		f.counts.Reads++
	}
	return f.admit(f.reads)
}

func (f *faultInjector) writeOutcome() outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Writes++
	if o := f.admit(f.writes); o != outcomeServed {
		return o
	}
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return outcomeReplyLost
	}
	p := f.rand.Float64()
	switch {
	case p < f.faults.LostReplyShare:
		return outcomeReplyLost
	case p < f.faults.LostReplyShare+f.faults.LostRequestShare:
		return outcomeRequestLost
	}
	return outcomeServed
}

func (f *faultInjector) admit(l *rate.Limiter) outcome {
	if f.faults.Down {
		f.counts.Refused++
		return outcomeUnavailable
	}
	if !l.Allow() {
		f.counts.Refused++
		return outcomeRateLimited
	}
	return outcomeServed
}
