// Package toucanplace selects an endpoint for each request from the known load of every endpoint: slots in use, tokens
// in memory and prompt tokens not yet processed. It is built for loads that exhaust token memory before slots, with
// several entries that send to the same endpoints. It performs no I/O.
package toucanplace

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"toucanport/toucanplain"
	"toucanport/toucanuneven"
)

var (
	// ErrNoEndpoint means that a service has no endpoint that takes new requests.
	ErrNoEndpoint = errors.New("service has no endpoint")
	// ErrFull means that every endpoint of a service is full.
	ErrFull = errors.New("every endpoint of the service is full")
	// ErrDeferred means that every endpoint of a service has asked this entry for no requests for a time. It wraps
	// ErrFull.
	ErrDeferred = errors.Wrap(ErrFull, "every endpoint has asked for no requests")
	// ErrLimited means that every endpoint of a service takes no more requests a second, or has asked for none for a time. It
	// wraps ErrFull.
	ErrLimited = errors.Wrap(ErrFull, "every endpoint takes no more requests a second")
	// ErrTooLarge means that a request needs more memory than any endpoint has.
	ErrTooLarge = errors.New("request is larger than an endpoint's memory")
	// ErrNoTime means that a request would end too late at every endpoint of a service. It wraps ErrFull.
	ErrNoTime = errors.Wrap(ErrFull, "the request would end too late at every endpoint")
)

// Endpoint describes an endpoint from the platform's list. It is immutable.
type Endpoint struct {
	// ID identifies one start of an endpoint. A new start at the same address has another ID.
	ID string
	// StartMillis is the start time in Unix milliseconds; zero if it is unknown.
	StartMillis   int64
	Address       string
	FailureDomain string
	Service       string
	Slots         int
	// MemoryTokens is the number of tokens that fit into memory; zero for services without model engines.
	MemoryTokens int
	// Leaving is true for an endpoint that takes no new requests.
	Leaving bool
	// Evacuated is true for an endpoint in a failure domain that the operator has evacuated: it gets nothing new, and its
	// generations go on.
	Evacuated bool
	// ResumeUntil is until when a generation that was stopped may go on at an evacuated endpoint; zero for never.
	ResumeUntil time.Time
	// ColdLimit is how many requests the endpoint takes in any one second from all entries of the cell while it is cold;
	// zero for no limit.
	ColdLimit int
	// ColdTime is how long the endpoint is cold after a start.
	ColdTime time.Duration
	// OtherCell is true for an endpoint that is assigned to other entries. This entry uses it only when its own
	// endpoints have no capacity.
	OtherCell bool
	// Warm is the time at which the endpoint reaches full speed; zero if it is warm already.
	Warm time.Time
}

// Key returns the hash of ID and StartMillis that identifies the endpoint in reports between entries.
func (e Endpoint) Key() uint64 {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], uint64(e.StartMillis))
	d := xxhash.New()
	_, _ = d.WriteString(e.ID) // A digest's Write never fails.
	_, _ = d.Write(start[:])
	return d.Sum64()
}

// Demand is the estimated token usage of a request. It is zero for requests that generate no output.
type Demand struct {
	Prompt int
	// Output is the estimated length of the output.
	Output int
	// Made is the length of the output so far, for a generation that is copied from another endpoint.
	Made int
	// MaxGap is the longest pause between two events of the output that is on time; zero for none, and for a stream that is late
	// already.
	MaxGap time.Duration
	// Movable is true if the generation can be moved to another endpoint after its first event.
	Movable bool
	// Goal is the time that is left for the first event to be on time; zero for no such bound.
	Goal time.Duration
	// Left is the time that is left to the deadline of a request that generates nothing; zero for no such bound.
	Left time.Duration
}

// Tokens returns the estimated memory, in tokens, at the end of the output.
func (d Demand) Tokens() int { return d.Prompt + d.Output }

// held returns the memory, in tokens, that the request takes as soon as it runs.
func (d Demand) held() int { return d.Prompt + d.Made }

// Use is the load that one entry has placed on one endpoint.
type Use struct {
	Requests int
	// Tokens is the sum of the requests' estimated memory at their ends.
	Tokens int
	// Unread is the number of prompt tokens of requests that have no first event yet.
	Unread int
	// Held is the number of tokens in memory of requests that have a first event, and of copies on their way.
	Held int
	// Exposed is the number of streams that a longer pause would make late.
	Exposed int
}

func (u Use) plus(v Use) Use {
	return Use{Requests: u.Requests + v.Requests, Tokens: u.Tokens + v.Tokens, Unread: u.Unread + v.Unread, Held: u.Held + v.Held, Exposed: u.Exposed + v.Exposed}
}

func (u Use) minus(v Use) Use {
	return Use{Requests: u.Requests - v.Requests, Tokens: u.Tokens - v.Tokens, Unread: u.Unread - v.Unread, Held: u.Held - v.Held, Exposed: u.Exposed - v.Exposed}
}

// taken returns the memory, in tokens, that requests hold now or as soon as their prompts are read.
func (u Use) taken() int { return u.Held + u.Unread }

const (
	// memoryShare limits the sum of the requests' estimated memory at their ends, as a share of the engine's memory. It
	// can exceed 1 because requests don't all end at the same time, and because an engine delays a request when its
	// actual memory is full.
	memoryShare = 1.1
	// copyShare replaces memoryShare for generations that lose their endpoint: being preempted for a while is better
	// than being lost.
	copyShare = 1.6
	// takenShare limits the memory that requests take now, as a share of the engine's memory, when a request is placed. An engine
	// whose memory is full queues a request, and refuses copies for as long as it has a queue.
	takenShare = 0.97
	// copyTakenShare replaces takenShare for copies. The engine refuses a copy that does not fit.
	copyTakenShare = 1.0
	// backupShare limits the estimated memory of requests and backups, as a share of the engine's memory, when a backup
	// of another engine's generation is placed.
	backupShare = 0.5
	// unreadScale is the number of unread prompt tokens that cost as much as a full memory.
	unreadScale = 12000
	// slotWeight is the cost of an endpoint whose slots are all used, where a full memory costs 1.
	slotWeight = 0.5
	// warmupCost is the cost of an endpoint that is not yet warm.
	warmupCost = 0.3
	// failureCost is the cost of an endpoint that fails every request, and of one that this entry suspects.
	failureCost = 3
	// peerSuspectCost is the cost of an endpoint that a peer could not reach. It is below failureCost because the fault
	// can be the peer's.
	peerSuspectCost = 1
	// peerSuspectDuration is how long peerSuspectCost applies after a peer's report.
	peerSuspectDuration = 500 * time.Millisecond
	// reachedMemory is how long an answer shows that an endpoint can be reached.
	reachedMemory = 500 * time.Millisecond
	// limitedCopyCost is the cost of an endpoint with a limit on requests a second as the target of a copy. The request that
	// resumes the generation there exceeds the limit for a while.
	limitedCopyCost = 3
	// slotWaitCost is the cost of each second that a request waits for its slot at an endpoint with a limit.
	slotWaitCost = 5
	// failureGain is the weight of one outcome in the moving average of an endpoint's failures.
	failureGain = 0.15
	// failureDecay is the time in which the share of failures decays by a factor of e without requests.
	failureDecay = 5 * time.Second
	// suspectDuration is how long failureCost applies to an endpoint after the first failure to reach it. It doubles
	// with each further failure in a row, up to suspectDoublings times.
	suspectDuration  = time.Second
	suspectDoublings = 3
	// leavingMemory is how long an endpoint's word that it drains is kept while the platform does not list it.
	leavingMemory = 10 * time.Minute
	// maxDeferral limits how long an endpoint can keep requests away with one answer.
	maxDeferral = 10 * time.Minute
	// peerUsesTTL is how long a peer's last report counts.
	peerUsesTTL = 3 * time.Second
)

// endpointState holds an endpoint, this entry's load on it, and its recent failures.
type endpointState struct {
	Endpoint
	// key caches the endpoint's Key.
	key uint64
	// reportedLeaving is true while a peer reports that the endpoint is draining.
	reportedLeaving bool
	// saidLeaving is true once the endpoint said in an answer that it drains.
	saidLeaving bool
	// goneAt is when the list lost the endpoint; zero while it is listed.
	goneAt time.Time
	// own is the load that this entry has placed.
	own Use
	// reported is the load that peers have reported within peerUsesTTL.
	reported Use
	// failures is the moving average of failed requests at failuresAt, between 0 and 1.
	failures   float64
	failuresAt time.Time
	// suspectUntil is the time until which the endpoint is avoided because this entry could not reach it.
	suspectUntil time.Time
	// peerSuspectUntil is the time until which the endpoint is avoided because a peer could not reach it.
	peerSuspectUntil time.Time
	// deferredUntil is the time until which the endpoint has asked this entry for no requests.
	deferredUntil time.Time
	// answeredAt is when the endpoint last answered this entry without a failure.
	answeredAt time.Time
	// unreachableInARow counts the failures to reach the endpoint since its last success.
	unreachableInARow int
	// pace compares the endpoint with the shortest bound on pauses. isUneven sets it.
	pace toucanuneven.Endpoint
	cold coldState
	// service is how long an endpoint without a model engine takes for a request.
	service toucanplain.ServiceTime
}

// suspect adds failureCost to the endpoint's cost for a time that doubles with each call in a row.
func (s *endpointState) suspect(now time.Time) {
	s.suspectUntil = now.Add(suspectDuration << min(s.unreachableInARow, suspectDoublings))
	s.unreachableInARow++
	s.suspectCold(now)
}

// failureShare returns the average of failed requests, decayed until now.
func (s *endpointState) failureShare(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp(-now.Sub(s.failuresAt).Seconds()/failureDecay.Seconds())
}

// recordOutcome updates the failures after a request. A success resets unreachableInARow.
func (s *endpointState) recordOutcome(now time.Time, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	} else {
		s.unreachableInARow = 0
		s.answeredAt = now
	}
	s.failures = s.failureShare(now)*(1-failureGain) + outcome*failureGain
	s.failuresAt = now
}

// isDeferred reports whether the endpoint has asked for no requests now.
func (s *endpointState) isDeferred(now time.Time) bool { return now.Before(s.deferredUntil) }

// isDraining reports whether the platform, a peer or the endpoint itself says that it is draining.
func (s *endpointState) isDraining() bool {
	return s.Leaving || s.reportedLeaving || s.saidLeaving || !s.goneAt.IsZero()
}

// memoryLimits are limits on an endpoint's memory, as shares of it.
type memoryLimits struct {
	// end limits the sum of the requests' estimated memory at their ends, taken the memory that they take now.
	end, taken float64
	// reserve is the memory, in tokens, that is left free for other requests, unless the endpoint holds none yet.
	reserve int
	// unread limits the prompt tokens that are not yet processed, with those of the request; zero for no limit. A request always
	// fits where there are none.
	unread int
}

// room returns why the endpoint has no room for d in addition to the load u; LeftOutNone if it has.
func (s *endpointState) room(u *Use, d *Demand, limits *memoryLimits) LeftOut {
	if s.MemoryTokens == 0 {
		return s.plainRoom(u, d)
	}
	if !s.fits(u, d, limits) {
		return LeftOutFull
	}
	return LeftOutNone
}

// plainRoom is room for an endpoint without a model engine, which only has a limit on requests.
func (s *endpointState) plainRoom(u *Use, d *Demand) LeftOut {
	switch s.service.Decide(u.Requests, s.Slots, d.Left) {
	case toucanplain.Full:
		return LeftOutFull
	case toucanplain.Late:
		return LeftOutLate
	}
	return LeftOutNone
}

// fits reports whether the endpoint, one with a model engine, has a free slot and memory for d in addition to the load u.
func (s *endpointState) fits(u *Use, d *Demand, limits *memoryLimits) bool {
	if limits.unread > 0 && u.Unread > 0 && u.Unread+d.Prompt > limits.unread {
		return false
	}
	memory := float64(s.MemoryTokens)
	if u.Requests > 0 {
		memory = max(memory-float64(limits.reserve), 0)
	}
	return u.Requests < s.Slots && float64(u.Tokens+d.Tokens()) <= limits.end*memory && float64(u.taken()+d.held()) <= limits.taken*memory
}

// fitsBackup reports whether the endpoint has memory for a backup of d in addition to the load u. The limit is lower
// than in fits, to leave memory for new requests.
func (s *endpointState) fitsBackup(u Use, d Demand) bool {
	return float64(u.Tokens+d.Tokens()) <= backupShare*float64(s.MemoryTokens)
}

// cost returns the cost of placing a request on the endpoint with the load u. It has no unit; lower is better.
func (s *endpointState) cost(now time.Time, u *Use) float64 {
	c := slotWeight * float64(u.Requests) / float64(max(s.Slots, 1))
	if s.MemoryTokens > 0 {
		c += float64(u.Tokens)/float64(s.MemoryTokens) + float64(u.Unread)/unreadScale
	}
	if now.Before(s.Warm) {
		c += warmupCost
	}
	if now.Before(s.suspectUntil) {
		c += failureCost
	}
	if now.Before(s.peerSuspectUntil) {
		c += peerSuspectCost
	}
	return c + failureCost*s.failureShare(now)
}
