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

// DefaultCapacity is how many keys an Estimator remembers. Each takes at most 1.5 KB.
const DefaultCapacity = 4096

const (
	// workspaceObservations and serviceObservations are how many outputs a distribution remembers at most.
	workspaceObservations = 256
	serviceObservations   = 4096
	// priorStrength is how many observations a parent distribution is worth.
	priorStrength = 16
	// refreshObservations is how many outputs of the service may be seen before a key's curve is drawn anew.
	refreshObservations = 64
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
	prior    [bucketCount]float64
	seen     histogram
	observed int
	curve    *Curve
	drawnAt  int
}

// keyLengths holds what one key's outputs were like.
type keyLengths struct {
	seen    histogram
	curve   *Curve
	drawnAt int
	// stale is how many outputs of the key were seen since the curve was drawn.
	stale int
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

// Observe takes in an output of n tokens. complete is false when the output was cut short, so that it would have
// been longer than n.
func (e *Estimator) Observe(k Key, n int, complete bool) {
	n = clampLength(n)
	s := e.service(k.Class)
	own := e.key(k)
	if complete {
		own.seen.add(bucketOf(n), 1)
		s.seen.add(bucketOf(n), 1)
	} else {
		spreadBeyond(e.Curve(k), n, &own.seen, &s.seen)
	}
	own.seen.forget()
	s.seen.forget()
	own.stale++
	s.observed++
}

// Curve returns the survival curve of k's outputs: what k's own were like, filled up with those of the service's
// class where k has few, and those with the prior.
func (e *Estimator) Curve(k Key) *Curve {
	s := e.service(k.Class)
	own, ok := e.keys.Get(k)
	if !ok {
		return s.current()
	}
	if own.fresh(s) {
		return own.curve
	}
	parent := s.seen.mix(&s.prior, priorStrength)
	p := own.seen.mix(&parent, priorStrength)
	own.curve = newCurve(&p)
	own.drawnAt = s.observed
	own.stale = 0
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
	s = &serviceLengths{prior: prior.buckets(), seen: histogram{limit: serviceObservations}}
	e.services[class] = s
	return s
}

func (e *Estimator) key(k Key) *keyLengths {
	own, ok := e.keys.Get(k)
	if !ok {
		own = &keyLengths{seen: histogram{limit: workspaceObservations}}
		e.keys.Add(k, own)
	}
	return own
}

func (s *serviceLengths) current() *Curve {
	if s.curve == nil || s.observed-s.drawnAt >= refreshAfter(s.seen.total) {
		p := s.seen.mix(&s.prior, priorStrength)
		s.curve = newCurve(&p)
		s.drawnAt = s.observed
	}
	return s.curve
}

func (k *keyLengths) fresh(s *serviceLengths) bool {
	return k.curve != nil &&
		k.stale < refreshAfter(k.seen.total) &&
		s.observed-k.drawnAt < refreshObservations
}

// refreshAfter returns how many new observations make a curve drawn from total ones stale.
func refreshAfter(total float32) int { return 1 + int(total/16) }

// spreadBeyond adds one observation that is longer than n, divided as c expects.
func spreadBeyond(c *Curve, n int, into ...*histogram) {
	alive := c.Survival(n)
	for b := bucketOf(n); b < bucketCount; b++ {
		from := c.Survival(max(n, bucketStart(b)))
		share := float32((from - c.survival[b+1]) / alive)
		for _, h := range into {
			h.add(b, share)
		}
	}
}

func (p Prior) buckets() [bucketCount]float64 {
	d := distuv.LogNormal{Mu: math.Log(p.MedianTokens), Sigma: p.Sigma}
	var out [bucketCount]float64
	below := 0.0
	for b := range out {
		upTo := d.CDF(float64(bucketStart(b + 1)))
		out[b] = upTo - below
		below = upTo
	}
	out[bucketCount-1] += 1 - below
	return out
}
