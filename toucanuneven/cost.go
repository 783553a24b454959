// Package toucanuneven says what the placement of a stream costs at endpoints of one service that differ in pace: where the reading of a
// prompt makes the streams beside it late in slow moments, and where it doesn't. It answers a load of long streams with a bound on
// their pauses and short ones whose prompts are as long. Costs have no unit; a full memory costs 1. It performs no I/O.
package toucanuneven

import (
	"math"
	"time"

	"toucanport/toucanpace"
)

const (
	// minExposedOutput is the least number of tokens that a stream still has to generate to be exposed to the prompts of others: a
	// shorter one ends before them.
	minExposedOutput = 64
	// pauseMargin is the share of a stream's longest pause on time that an endpoint may need by itself; the way to the caller needs
	// the rest.
	pauseMargin = 0.85
	// minBreakingPart is the number of endpoints of which one at least must break the bound: single ones are slow for other reasons,
	// such as a recent start.
	minBreakingPart = 8
	// harmCost is the cost of a prompt that makes an exposed stream beside it late if a slow moment comes, slowHarmCost that of one at an
	// endpoint that is slow now.
	harmCost     = 0.5
	slowHarmCost = 1.5
	// slowReadFactor is how much longer an endpoint that is slow now reads.
	slowReadFactor = 2
	// riskCost is the cost of an endpoint where the prompts of others make a stream late in a slow moment.
	riskCost = 0.5
	// moveCost is the cost of an endpoint from which a long stream is moved after its first event.
	moveCost = 0.3
	// soundCost is the cost of a short request at an endpoint where prompts harm no stream, while others are left for it.
	soundCost = 0.15
	// orderCost is the greatest cost by which short requests prefer some of the endpoints at which prompts harm streams, and long
	// streams the others.
	orderCost = 0.3
	// readerCost is the cost of a stream that was read elsewhere at an endpoint that can read prompts without harm.
	readerCost = 0.3
	// minMovedOutput is the least number of tokens that a stream still has to generate to be moved for its pace.
	minMovedOutput = 200
	// crowdCost is the cost of each long stream at an endpoint beyond crowdStreams, which is about as many as its link carries away
	// while it drains.
	crowdCost    = 0.25
	crowdStreams = 6
	// lateCost is the cost of an endpoint whose first event is forecast for the end of the time that it may take. It grows from half
	// of that time on.
	lateCost = 1.5
	maxLate  = 1.5
	// readUnit is the number of tokens to which Endpoint.ReadTime refers.
	readUnit = 1000
)

// MoveGain is the least difference of costs for which a stream is moved.
const MoveGain = 0.4

// Stream is the part of a request that concerns its pace.
type Stream struct {
	// Prompt is the length of the prompt, and Left what is left of the output, in tokens.
	Prompt, Left int
	// MaxGap is the longest pause that is on time; zero for no such bound, and for a stream that is late already.
	MaxGap time.Duration
	// Movable is true if it can be moved to another endpoint after its first event.
	Movable bool
	// Goal is the time that is left for the first event to be on time; zero for no such bound.
	Goal time.Duration
}

// IsExposed reports whether the prompts of others can make the stream late: a long one with a bound on its pauses.
func (s Stream) IsExposed() bool { return s.MaxGap > 0 && s.Left >= minExposedOutput }

// MayMove reports whether the stream is worth a move for its pace.
func (s Stream) MayMove() bool { return s.IsExposed() && s.Left >= minMovedOutput }

// Load is the part of an endpoint's load that concerns its pace.
type Load struct {
	// Unread is the number of tokens of prompts that are not yet read, Exposed the number of streams that are exposed.
	Unread, Exposed int
}

// Endpoint is how an endpoint compares with a bound on pauses. It is immutable.
type Endpoint struct {
	// BreaksGap is true if a prompt makes streams beside it late in slow moments.
	BreaksGap bool
	// Known is false if BreaksGap follows from the pace of most endpoints.
	Known bool
	// ReadTime is the forecast of the time in which the endpoint reads a thousand tokens of prompts; zero if it is unknown.
	ReadTime time.Duration
	// order is the place of the endpoint in an order that all entries know, from 0 to 1.
	order float64
	// harmCost is the cost of a prompt for each exposed stream beside it.
	harmCost float64
}

// NewEndpoint judges an endpoint, which is given by its Key, by its forecast and the shortest bound on pauses. known is false if the
// forecast is that of most endpoints.
func NewEndpoint(key uint64, forecast toucanpace.Forecast, known bool, bound time.Duration) Endpoint {
	e := Endpoint{
		BreaksGap: forecast.Pause > time.Duration(pauseMargin*float64(bound)),
		Known:     known,
		ReadTime:  forecast.ReadTime,
		order:     float64(key) / math.MaxUint64,
		harmCost:  harmCost,
	}
	if forecast.Slow {
		e.ReadTime, e.harmCost = slowReadFactor*forecast.ReadTime, slowHarmCost
	}
	return e
}

// Tally counts endpoints of known pace that take requests.
type Tally struct{ breaking, sound int }

// Add counts an endpoint.
func (t *Tally) Add(e Endpoint) {
	switch {
	case !e.Known:
	case e.BreaksGap:
		t.breaking++
	default:
		t.sound++
	}
}

// IsUneven reports whether prompts make streams late at some endpoints, not only at single ones, and not at others.
func (t Tally) IsUneven() bool {
	return t.sound > 0 && t.breaking > 0 && t.breaking*minBreakingPart >= t.breaking+t.sound
}

// PlaceCost returns what the placement of a stream costs at an endpoint: the streams there that its prompt makes late, its own risk, and
// room that long streams need.
func (e *Endpoint) PlaceCost(l Load, s Stream) float64 {
	if s.Prompt == 0 {
		return 0
	}
	exposed := s.IsExposed()
	c := e.lateCost(l, s)
	if exposed {
		c += crowding(l)
	}
	switch {
	case e.BreaksGap && exposed && !s.Movable:
		c += e.harm(l) + riskCost + orderCost*(1-e.order)
	case e.BreaksGap && exposed:
		c += e.harm(l) + moveCost + orderCost*e.order
	case e.BreaksGap && !e.Known:
		// A short request shows the pace of a new endpoint.
		c += e.harm(l)
	case e.BreaksGap:
		c += e.harm(l) + orderCost*e.order
	case !exposed:
		c += soundCost
	}
	return c
}

// CopyCost returns what the target of a copy costs. The prompt is not read there again. Where prompts break the bound, the best place is
// one that other long streams keep free of prompts.
func (e *Endpoint) CopyCost(l Load, s Stream) float64 {
	if !s.IsExposed() {
		return 0
	}
	c := crowding(l)
	switch {
	case !e.BreaksGap:
	case l.Unread > 0:
		c += 2 * riskCost
	case l.Exposed == 0:
		c += riskCost
	}
	return c
}

// MoveCost is CopyCost for a stream that need not be moved: it also costs room in which prompts can be read without harm, and streams
// prefer endpoints of the order's end.
func (e *Endpoint) MoveCost(l Load, s Stream) float64 {
	c := e.CopyCost(l, s)
	if e.BreaksGap {
		return c + orderCost*(1-e.order)
	}
	return c + readerCost
}

// FirstEvent returns the forecast of the time in which the endpoint makes the first event of a stream; zero if it is unknown.
func (e *Endpoint) FirstEvent(l Load, s Stream) time.Duration {
	return e.ReadTime * time.Duration(l.Unread+s.Prompt) / readUnit
}

// harm returns the cost of a prompt for the streams beside it.
func (e *Endpoint) harm(l Load) float64 { return e.harmCost * float64(l.Exposed) }

// lateCost returns the cost of a late first event.
func (e *Endpoint) lateCost(l Load, s Stream) float64 {
	if s.Goal <= 0 {
		return 0
	}
	used := float64(e.FirstEvent(l, s)) / float64(s.Goal)
	return lateCost * min(max(2*used-1, 0), maxLate)
}

// crowding returns the cost of one more long stream.
func crowding(l Load) float64 { return crowdCost * float64(max(l.Exposed-crowdStreams, 0)) }
