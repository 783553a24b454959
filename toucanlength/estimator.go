// Package toucanlength estimates the output lengths of generations, for each workspace and class, from the outputs
// observed so far. It performs no I/O and is not safe for concurrent use.
package toucanlength

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"gonum.org/v1/gonum/stat/distuv"
)

// Key identifies a group of requests whose output lengths share a distribution.
type Key struct {
	Workspace string
	Class     string
}

// Prior is the log-normal distribution of lengths that is assumed before any output is observed.
type Prior struct {
	// MedianTokens is the median length in tokens; above zero.
	MedianTokens float64
	// Sigma is the standard deviation of the natural logarithm of the length; above zero.
	Sigma float64
}

// DefaultPrior is used for classes for which WithPrior sets none.
var DefaultPrior = Prior{MedianTokens: 128, Sigma: 1.6}

// DefaultCapacity is the default maximum number of keys in an Estimator. Each uses about 1.6 KB.
const DefaultCapacity = 4096

const (
	// maxKeyOutputs and maxServiceOutputs are the numbers of ended outputs at which a history is halved.
	maxKeyOutputs     = 256
	maxServiceOutputs = 4096
	// priorOutputs is the weight of a parent distribution, as a number of outputs.
	priorOutputs = 16
	// maxRebuildInterval is the maximum number of changes after which a curve is rebuilt.
	maxRebuildInterval = 256
)

// Estimator estimates the output lengths of one service.
type Estimator struct {
	capacity int
	priors   map[string]Prior
	services map[string]*serviceLengths
	keys     *simplelru.LRU[Key, *keyLengths]
}

// serviceLengths holds the observed outputs of one class, over all workspaces, and their curve.
type serviceLengths struct {
	prior        *Curve
	outputs      history
	curve        *Curve
	curveChanges int
}

// keyLengths holds the observed outputs of one key and their curve.
type keyLengths struct {
	outputs      history
	curve        *Curve
	curveChanges int
	// parent is the service's curve that served as the prior of curve.
	parent *Curve
}

// Option configures an Estimator.
type Option func(*Estimator)

// WithCapacity sets the maximum number of keys; the least recently used key is evicted first.
func WithCapacity(keys int) Option { return func(e *Estimator) { e.capacity = keys } }

// WithPrior sets the prior of a class.
func WithPrior(class string, p Prior) Option { return func(e *Estimator) { e.priors[class] = p } }

// New returns an Estimator without observations.
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

// Observe records that an output grew from one length to another and, if ended is true, ended there. An output that was
// cut short has not ended. Outputs that are still growing must be observed too; otherwise the estimate is biased
// towards short outputs, which end first.
func (e *Estimator) Observe(k Key, from, to int, ended bool) {
	from, to = clampLength(from), clampLength(to)
	s, own := e.service(k.Class), e.key(k)
	s.outputs.addTokens(from, to)
	own.outputs.addTokens(from, to)
	if ended {
		s.outputs.addEnd(to)
		own.outputs.addEnd(to)
	}
}

// Curve returns the survival curve of k's outputs. The curve of the service's class is the prior for k, and the class's
// Prior is the prior for that curve. A curve is cached until its history has changed enough.
func (e *Estimator) Curve(k Key) *Curve {
	parent := e.service(k.Class).currentCurve()
	own, ok := e.keys.Get(k)
	if !ok {
		return parent
	}
	if own.curve == nil || own.parent != parent || own.outputs.changes-own.curveChanges >= own.outputs.rebuildInterval() {
		own.curve = own.outputs.curve(parent, priorOutputs)
		own.parent = parent
		own.curveChanges = own.outputs.changes
	}
	return own.curve
}

// Keys returns the number of keys with observations.
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
	s = &serviceLengths{prior: newCurve(prior.buckets()), outputs: history{limit: maxServiceOutputs}}
	e.services[class] = s
	return s
}

func (e *Estimator) key(k Key) *keyLengths {
	own, ok := e.keys.Get(k)
	if !ok {
		own = &keyLengths{outputs: history{limit: maxKeyOutputs}}
		e.keys.Add(k, own)
	}
	return own
}

func (s *serviceLengths) currentCurve() *Curve {
	if s.curve == nil || s.outputs.changes-s.curveChanges >= s.outputs.rebuildInterval() {
		s.curve = s.outputs.curve(s.prior, priorOutputs)
		s.curveChanges = s.outputs.changes
	}
	return s.curve
}

// rebuildInterval returns the number of changes after which a cached curve is rebuilt. It grows with the history, since
// each change then has less effect.
func (h *history) rebuildInterval() int { return min(8+h.changes/8, maxRebuildInterval) }

// buckets returns the probability of each bucket; the last one includes all longer outputs.
func (p Prior) buckets() *[bucketCount]float64 {
	d := distuv.LogNormal{Mu: math.Log(p.MedianTokens), Sigma: p.Sigma}
	var out [bucketCount]float64
	below := 0.0
	for b := range out {
		cumulative := d.CDF(float64(bucketStart(b + 1)))
		out[b] = cumulative - below
		below = cumulative
	}
	out[bucketCount-1] += 1 - below
	return &out
}
