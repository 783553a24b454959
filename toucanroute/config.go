package toucanroute

import (
	"math/rand/v2"
	"time"
)

// Config bounds a toucan router. Zero fields take the defaults.
type Config struct {
	// FailureDomain is the entry's own.
	FailureDomain string
	// Rand breaks ties; each entry has its own source, so that entries do not choose in step.
	Rand rand.Source
	// SilentAfter is the age at which an endpoint's last report sets it aside.
	SilentAfter time.Duration
	// SlowFactor is how many times the service's median first-token or step time sets an endpoint aside.
	SlowFactor float64
	// MinHold and MaxHold bound the time for which a failing or slow endpoint is set aside between probes.
	MinHold time.Duration
	MaxHold time.Duration
	// FullHold bounds the time for which a refusal keeps requests of that size or larger away.
	FullHold time.Duration
	// PrefillTokenTime is what a prompt token that is not cached costs before the first token.
	PrefillTokenTime time.Duration
	// BlockTokens is the tokens that one block of engine memory holds.
	BlockTokens int
	// LoadBound is how many times the mean load an endpoint may carry and still attract its prefixes and keys.
	LoadBound float64
}

const (
	defaultSilentAfter      = 3 * time.Second
	defaultSlowFactor       = 2
	defaultMinHold          = 200 * time.Millisecond
	defaultMaxHold          = 10 * time.Second
	defaultFullHold         = 100 * time.Millisecond
	defaultPrefillTokenTime = 50 * time.Microsecond
	defaultBlockTokens      = 16
	defaultLoadBound        = 1.25
)

func (c Config) withDefaults() Config {
	setDefault(&c.SilentAfter, defaultSilentAfter)
	setDefault(&c.SlowFactor, defaultSlowFactor)
	setDefault(&c.MinHold, defaultMinHold)
	setDefault(&c.MaxHold, defaultMaxHold)
	setDefault(&c.FullHold, defaultFullHold)
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
