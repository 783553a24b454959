// Package toucanplace chooses the endpoint for each request by what every endpoint is known to carry: slots, tokens in
// memory and prompts still to be read. It serves loads where memory for tokens runs out before slots do, and where
// several entries place onto the same endpoints. It does no input or output.
package toucanplace

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

var (
	// ErrNoEndpoint says that a service has no endpoint that takes new requests.
	ErrNoEndpoint = errors.New("service has no endpoint")
	// ErrFull says that every endpoint of a service is full.
	ErrFull = errors.New("every endpoint of the service is full")
	// ErrTooLarge says that a request is larger than the memory of any endpoint.
	ErrTooLarge = errors.New("request is larger than an endpoint's memory")
)

// Endpoint is one endpoint as the platform lists it. It is immutable.
type Endpoint struct {
	// ID names one start of one endpoint, so that an address that is used again is another endpoint.
	ID string
	// Born is the time of the start in Unix milliseconds; zero when it is not told.
	Born          int64
	Address       string
	FailureDomain string
	Service       string
	Slots         int
	// MemoryTokens is how many tokens fit into memory; zero for services without model engines.
	MemoryTokens int
	// Leaving endpoints take no new requests.
	Leaving bool
	// Elsewhere endpoints are for other entries: this one uses them only when none of its own has room.
	Elsewhere bool
	// Warm is when the endpoint has its full speed; zero when it has it already.
	Warm time.Time
}

// Key names the endpoint in reports between entries.
func (e Endpoint) Key() uint64 {
	var born [8]byte
	binary.LittleEndian.PutUint64(born[:], uint64(e.Born))
	d := xxhash.New()
	_, _ = d.WriteString(e.ID) // A digest takes everything.
	_, _ = d.Write(born[:])
	return d.Sum64()
}

// Demand is what a request will take of an endpoint, in tokens. It is zero for requests without generation.
type Demand struct {
	Prompt int
	// Output is the forecast length of the answer.
	Output int
}

// Tokens is the memory at the forecast end of the answer.
func (d Demand) Tokens() int { return d.Prompt + d.Output }

// Use is what one entry has placed on one endpoint.
type Use struct {
	Requests int
	// Tokens is the memory at the forecast end of the requests.
	Tokens int
	// Unread is the tokens of prompts without a first answer.
	Unread int
}

func (u Use) plus(v Use) Use {
	return Use{Requests: u.Requests + v.Requests, Tokens: u.Tokens + v.Tokens, Unread: u.Unread + v.Unread}
}

func (u Use) minus(v Use) Use {
	return Use{Requests: u.Requests - v.Requests, Tokens: u.Tokens - v.Tokens, Unread: u.Unread - v.Unread}
}

const (
	// memoryShare is the share of an engine's memory that the forecast ends of its requests may fill. Not all requests
	// reach their ends at the same time, and an engine that holds a request back for a moment does so by what it has.
	memoryShare = 1.1
	// copyShare is memoryShare for generations that lose their endpoint. One that is pushed aside for a while is better
	// off than one that is lost.
	copyShare = 1.6
	// backupShare is the share of an engine's memory up to which copies of other engines' runs are taken in.
	backupShare = 0.5
	// plainOverflow is how many times its slots a service without model engines may be given; the rest waits there.
	plainOverflow = 2
	// unreadScale is how many unread prompt tokens weigh as much as a full memory.
	unreadScale = 12000
	// slotWeight is the cost of full slots against a full memory.
	slotWeight = 0.5
	// otherDomainCost is the cost of crossing failure domains.
	otherDomainCost = 0.04
	// copyDomainCost is the cost of copying memory to another failure domain.
	copyDomainCost = 0.25
	// copySpread is the cost by which sources prefer different targets, in copySpreadSteps steps.
	copySpread      = 0.12
	copySpreadSteps = 16
	// coldCost is the cost of an endpoint that has just started.
	coldCost = 0.3
	// failureCost is the cost of an endpoint that fails every request.
	failureCost = 3
	// doubtCost is the cost of an endpoint that a peer could not reach; the fault may be the peer's.
	doubtCost = 1
	// doubtFor is how long a peer's word on that holds.
	doubtFor = 500 * time.Millisecond
	// failureGain is the weight of one outcome in an endpoint's share of failures.
	failureGain = 0.15
	// failureDecay is the time in which the share of failures falls by a factor of e without requests.
	failureDecay = 5 * time.Second
	// suspectFor is how long an endpoint that could not be reached gets no requests. It doubles with each time in a row, up
	// to suspectDoublings times.
	suspectFor       = time.Second
	suspectDoublings = 3
	// peerLifetime is how long a peer's account holds without news of it.
	peerLifetime = 3 * time.Second
)

// state is what is known of one endpoint.
type state struct {
	Endpoint
	// key is the endpoint's Key.
	key uint64
	// toldLeaving is true while a peer says that the endpoint leaves.
	toldLeaving bool
	own         Use
	// failures is the share of failed requests lately, between 0 and 1.
	failures     float64
	failuresAt   time.Time
	suspectUntil time.Time
	// doubtedUntil is until when the endpoint is avoided since a peer could not reach it.
	doubtedUntil time.Time
	// unreached counts how often in a row the endpoint could not be reached.
	unreached int
}

// suspect keeps requests from the endpoint for a while.
func (s *state) suspect(now time.Time) {
	s.suspectUntil = now.Add(suspectFor << min(s.unreached, suspectDoublings))
	s.unreached++
}

func (s *state) failureShare(now time.Time) float64 {
	return s.failures * math.Exp(-now.Sub(s.failuresAt).Seconds()/failureDecay.Seconds())
}

func (s *state) observe(now time.Time, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	} else {
		s.unreached = 0
	}
	s.failures = s.failureShare(now)*(1-failureGain) + outcome*failureGain
	s.failuresAt = now
}

// leaves reports whether the endpoint takes no new requests.
func (s *state) leaves() bool { return s.Leaving || s.toldLeaving }

// fits reports whether a demand fits beside what is used, within a share of the memory.
func (s *state) fits(u Use, d Demand, share float64) bool {
	if s.MemoryTokens == 0 {
		return u.Requests < plainOverflow*s.Slots
	}
	return u.Requests < s.Slots && float64(u.Tokens+d.Tokens()) <= share*float64(s.MemoryTokens)
}

// spares reports whether there is room for a copy of a demand beside what is used, so that new requests still find
// theirs.
func (s *state) spares(u Use, d Demand) bool {
	return float64(u.Tokens+d.Tokens()) <= backupShare*float64(s.MemoryTokens)
}

// cost is the expected harm of placing a request on the endpoint; lower is better.
func (s *state) cost(now time.Time, u Use) float64 {
	c := slotWeight * float64(u.Requests) / float64(max(s.Slots, 1))
	if s.MemoryTokens > 0 {
		c += float64(u.Tokens)/float64(s.MemoryTokens) + float64(u.Unread)/unreadScale
	}
	if now.Before(s.Warm) {
		c += coldCost
	}
	if now.Before(s.suspectUntil) {
		c += failureCost
	}
	if now.Before(s.doubtedUntil) {
		c += doubtCost
	}
	return c + failureCost*s.failureShare(now)
}
