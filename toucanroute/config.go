package toucanroute

import (
	"math/rand/v2"
	"time"
)

// Config holds the parameters of a Toucan router. Zero fields take the defaults.
type Config struct {
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// Rand breaks ties. Each entry needs its own source, so that entries do not all choose the same endpoint.
	Rand rand.Source
	// SilentAfter is the time without a report or an answer after which an endpoint counts as silent.
	SilentAfter time.Duration
	// SlowFactor is the multiple of the service's median step time or first-token time above which an endpoint is
	// ejected.
	SlowFactor float64
	// MinEjection and MaxEjection limit the time between two probes of an ejected endpoint.
	MinEjection time.Duration
	MaxEjection time.Duration
	// RefusalPeriod is the time after a refusal in which the endpoint gets no requests of that size or larger.
	RefusalPeriod time.Duration
	// PrefillTokenTime is the time that each uncached prompt token adds before the first token.
	PrefillTokenTime time.Duration
	// BlockTokens is the number of tokens that fit into a block of engine memory.
	BlockTokens int
	// LoadBound is the multiple of the mean load up to which an endpoint is preferred for its prefixes and keys.
	LoadBound float64
}

const (
	defaultSilentAfter      = 3 * time.Second
	defaultSlowFactor       = 2
	defaultMinEjection      = 200 * time.Millisecond
	defaultMaxEjection      = 10 * time.Second
	defaultRefusalPeriod    = 100 * time.Millisecond
	defaultPrefillTokenTime = 50 * time.Microsecond
	defaultBlockTokens      = 16
	defaultLoadBound        = 1.25
)

func (c Config) withDefaults() Config {
	setDefault(&c.SilentAfter, defaultSilentAfter)
	setDefault(&c.SlowFactor, defaultSlowFactor)
	setDefault(&c.MinEjection, defaultMinEjection)
	setDefault(&c.MaxEjection, defaultMaxEjection)
	setDefault(&c.RefusalPeriod, defaultRefusalPeriod)
	setDefault(&c.PrefillTokenTime, defaultPrefillTokenTime)
	setDefault(&c.BlockTokens, defaultBlockTokens)
	setDefault(&c.LoadBound, defaultLoadBound)
	if c.Rand == nil {
		c.Rand = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
