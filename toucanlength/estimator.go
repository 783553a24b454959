// Package toucanlength estimates how long the outputs of generations will be, for each workspace and class, from the
// outputs seen. It is pure and not safe for concurrent use.
package toucanlength

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"gonum.org/v1/gonum/stat/distuv"
)

// Key names the requests whose outputs are alike.
type Key struct {
	Workspace string
	Class     string
}

// Prior is the log-normal distribution of lengths that is taken for granted before any output was seen.
type Prior struct {
	// MedianTokens is above zero.
	MedianTokens float64
	// Sigma is the standard deviation of the length's natural logarithm; above zero.
	Sigma float64
}

// DefaultPrior is the prior of a class without one of its own.
var DefaultPrior = Prior{MedianTokens: 128, Sigma: 1.6}

// DefaultCapacity is how many keys an Estimator remembers. Each takes about 1.6 KB.
const DefaultCapacity = 4096

const (
	// workspaceOutputs and serviceOutputs are how many outputs are remembered at most.
	workspaceOutputs = 256
	serviceOutputs   = 4096
	// priorStrength is how many outputs a parent distribution is worth.
	priorStrength = 16
	// maxPatience bounds how many changes a curve may miss.
	maxPatience = 256
)

// Estimator learns the lengths of one service's outputs.
type Estimator struct {
	capacity int
	priors   map[string]Prior
	services map[string]*serviceLengths
	keys     *simplelru.LRU[Key, *keyLengths]
}

// serviceLengths holds what the service's outputs of one class were like.
type serviceLengths struct {
	prior   *Curve
	seen    history
	curve   *Curve
	drawnAt int
}

// keyLengths holds what one key's outputs were like.
type keyLengths struct {
	seen    history
	curve   *Curve
	drawnAt int
	// parent is the service's curve that the key's was drawn from.
	parent *Curve
}

// Option changes an Estimator at its construction.
type Option func(*Estimator)

// WithCapacity bounds the number of keys remembered; the least recently used goes first.
func WithCapacity(keys int) Option { return func(e *Estimator) { e.capacity = keys } }

// WithPrior sets the prior of a class.
func WithPrior(class string, p Prior) Option { return func(e *Estimator) { e.priors[class] = p } }

// New returns an Estimator that has seen nothing.
func New(opts ...Option) *Estimator {
	e := &Estimator{
		capacity: DefaultCapacity,
		priors:   make(map[string]Prior),
		services: make(map[string]*serviceLengths),
	}
	for _, opt := range opts {
		opt(e)
	}
	// NewLRU fails only for a size that is not positive.
	e.keys, _ = simplelru.NewLRU[Key, *keyLengths](max(e.capacity, 1), nil)
	return e
}

// Observe takes in that an output grew from one length to another and, when ended is true, ended there. An output
// that was cut short has not ended. Outputs that still grow count too, so that the long ones among them are not
// overlooked until they end.
func (e *Estimator) Observe(k Key, from, to int, ended bool) {
	from, to = clampLength(from), clampLength(to)
	s, own := e.service(k.Class), e.key(k)
	s.seen.passed(from, to)
	own.seen.passed(from, to)
	if ended {
		s.seen.ended(to)
		own.seen.ended(to)
	}
}

// Curve returns the survival curve of k's outputs: what k's own were like, filled up with those of the service's
// class where k has few, and those with the prior.
func (e *Estimator) Curve(k Key) *Curve {
	parent := e.service(k.Class).current()
	own, ok := e.keys.Get(k)
	if !ok {
		return parent
	}
	if own.curve == nil || own.parent != parent || own.seen.changes-own.drawnAt >= own.seen.patience() {
		own.curve = own.seen.curve(parent, priorStrength)
		own.parent = parent
		own.drawnAt = own.seen.changes
	}
	return own.curve
}

// Keys returns how many keys are remembered.
func (e *Estimator) Keys() int { return e.keys.Len() }

func (e *Estimator) service(class string) *serviceLengths {
	s, ok := e.services[class]
	if ok {
		return s
	}
	prior, ok := e.priors[class]
	if !ok {
		prior = DefaultPrior
	}
	s = &serviceLengths{prior: newCurve(prior.buckets()), seen: history{limit: serviceOutputs}}
	e.services[class] = s
	return s
}

func (e *Estimator) key(k Key) *keyLengths {
	own, ok := e.keys.Get(k)
	if !ok {
		own = &keyLengths{seen: history{limit: workspaceOutputs}}
		e.keys.Add(k, own)
	}
	return own
}

func (s *serviceLengths) current() *Curve {
	if s.curve == nil || s.seen.changes-s.drawnAt >= s.seen.patience() {
		s.curve = s.seen.curve(s.prior, priorStrength)
		s.drawnAt = s.seen.changes
	}
	return s.curve
}

// patience returns after how many changes a curve drawn now is stale.
func (h *history) patience() int { return min(8+h.changes/8, maxPatience) }

func (p Prior) buckets() *[bucketCount]float64 {
	d := distuv.LogNormal{Mu: math.Log(p.MedianTokens), Sigma: p.Sigma}
	var out [bucketCount]float64
	below := 0.0
	for b := range out {
		upTo := d.CDF(float64(bucketStart(b + 1)))
		out[b] = upTo - below
		below = upTo
	}
	out[bucketCount-1] += 1 - below
	return &out
}
