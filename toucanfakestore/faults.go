package toucanfakestore

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Faults are what is wrong with the stand-in at present. The zero value is a healthy store.
type Faults struct {
	// Down refuses every call before it has any effect.
	Down bool
	// Delay is added to each call, before its effect.
	Delay time.Duration
	// LoseReply is the share of writes whose reply is lost after the write has taken effect.
	LoseReply float64
	// LoseRequest is the share of writes that are lost before they take effect; callers can't tell the two apart.
	LoseRequest float64
	// StallWatches keeps watches waiting although keys have changed.
	StallWatches bool
	// ReadsPerSecond and WritesPerSecond refuse calls beyond the rate; zero is unbounded.
	ReadsPerSecond, WritesPerSecond float64
}

// Counts are the calls that reached the stand-in. A waiting watch counts once.
type Counts struct {
	Reads, Writes, Watches, Refused int64
	// WrittenBytes is the sum of the bodies written.
	WrittenBytes int64
}

// fate is what becomes of one call.
type fate int

const (
	fateServed fate = iota
	fateRefused
	fateRequestLost
	fateReplyLost
	fateLimited
)

// faultControl decides the fate of calls; safe for concurrent use.
type faultControl struct {
	mu            sync.Mutex
	faults        Faults
	rand          *rand.Rand
	reads, writes *rate.Limiter
	counts        Counts
	// loseNext is how many of the coming writes lose their reply, whatever the share says.
	loseNext int
}

func newFaultControl(seed uint64) *faultControl {
	f := &faultControl{rand: rand.New(rand.NewPCG(seed, seed))}
	f.set(Faults{})
	return f
}

func (f *faultControl) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.reads = limiter(faults.ReadsPerSecond)
	f.writes = limiter(faults.WritesPerSecond)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (f *faultControl) loseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNext = n
}

func (f *faultControl) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultControl) snapshot() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func (f *faultControl) wrote(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.WrittenBytes += int64(n)
}

func (f *faultControl) read(watch bool) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if watch {
		f.counts.Watches++
	} else {
		f.counts.Reads++
	}
	return f.refuse(f.reads)
}

func (f *faultControl) write() fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Writes++
	if fate := f.refuse(f.writes); fate != fateServed {
		return fate
	}
	if f.loseNext > 0 {
		f.loseNext--
		return fateReplyLost
	}
	p := f.rand.Float64()
	switch {
	case p < f.faults.LoseReply:
		return fateReplyLost
	case p < f.faults.LoseReply+f.faults.LoseRequest:
		return fateRequestLost
	}
	return fateServed
}

func (f *faultControl) refuse(l *rate.Limiter) fate {
	if f.faults.Down {
		f.counts.Refused++
		return fateRefused
	}
	if !l.Allow() {
		f.counts.Refused++
		return fateLimited
	}
	return fateServed
}
