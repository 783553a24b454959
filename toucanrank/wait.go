package toucanrank

import (
	"math/rand/v2"
	"time"
)

const (
	// turnStep is the time that an entry leaves to each request at other entries that precedes its own, so that the report of
	// what that one took arrives before it tries.
	turnStep = 4 * time.Millisecond
	// maxTurn bounds the time left to the requests at other entries.
	maxTurn = 100 * time.Millisecond
)

// Turn returns how long a waiting request leaves freed room to requests that wait at other entries. It answers room that many
// entries see at once, such as an engine that joins during a burst: without it, all take it in the same moment, and their
// prompts are read one after the other at that engine. Of requests of the same rank, those that may have waited
// longer go first.
func Turn(now time.Time, r *Request, flows []Flow) time.Duration {
	waited := now.Sub(r.Arrived)
	ahead := 0.0
	for i := range flows {
		f := &flows[i]
		ahead += float64(f.Waiting) * f.shareAhead(r, waited)
	}
	bound := min(time.Duration(ahead*float64(turnStep)), maxTurn)
	return bound/2 + rand.N(bound/2+turnStep)
}

// shareAhead returns which share of the flow's waiting requests goes before r, which has waited so long: all that are more urgent
// and those that have waited longer of the same rank, but none that leave room free for r.
func (f *Flow) shareAhead(r *Request, waited time.Duration) float64 {
	switch {
	case r.timing().isBrief(f.timing()):
		return 0
	case f.Rank < r.Rank:
		return 1
	case f.Rank > r.Rank || f.Oldest <= waited:
		return 0
	}
	return float64(f.Oldest-waited) / float64(f.Oldest)
}

// maxForecast bounds a forecast. No request waits as long.
const maxForecast = time.Hour

// Forecast returns a lower bound of the time until r gets room: that in which the endpoints give back as much room as the waiting
// requests that precede it need, if all their memory were held by requests that end at the known rate. It is zero if
// nothing is known.
func Forecast(now time.Time, r *Request, flows []Flow, size Endpoints) time.Duration {
	ahead := 0.0
	busy, load := 0.0, 0.0
	waited := now.Sub(r.Arrived)
	for i := range flows {
		f := &flows[i]
		work := f.PerSecond * f.Tokens
		load += work
		busy += work * f.Hold.Seconds()
		ahead += float64(f.WaitingTokens) * f.shareAhead(r, waited)
	}
	memory := float64(size.Count) * float64(size.Memory)
	if load <= 0 || memory <= 0 {
		return 0
	}
	seconds := ahead / memory * busy / load
	return time.Duration(min(seconds, maxForecast.Seconds()) * float64(time.Second))
}

// maxReturnShare is the share of a caller's time left that it waits at most before it comes back.
const maxReturnShare = 1.0 / 3

// ReturnAfter returns when the caller of a rejected request is to come back: between the time at which there is room by the forecast
// and twice that, so that those who were rejected together don't come back together. It is at least least, and at most a third
// of the time left, as callers honour no more.
func ReturnAfter(forecast, least, left time.Duration) time.Duration {
	base := max(forecast, least)
	after := base + rand.N(base+time.Millisecond)
	return min(after, max(time.Duration(float64(left)*maxReturnShare), 0))
}
