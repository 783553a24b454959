package toucanadmit

import (
	"math"
	"time"
)

// margin is the part of the engine's memory that is left free because forecasts were wrong lately.
type margin struct {
	// share is of the total memory, from 0 to maxMarginShare.
	share float64
	at    time.Time
	// check is a forecast made earlier, to be held against what came of it.
	check checkpoint
}

// checkpoint is a forecast of the requests that ran at one time.
type checkpoint struct {
	set      bool
	forecast forecast
	at       time.Time
	// steps is how many tokens each request is expected to have generated since.
	steps int
}

const (
	maxMarginShare = 0.25
	// preemptionStep is added for each preemption reported, up to preemptionStepMax in one report.
	preemptionStep    = 0.01
	preemptionStepMax = 0.04
	// excessDeviations is how many standard deviations a forecast may be exceeded by.
	excessDeviations = 1.65
	// excessGain is the part of a forecast's excess that is added to the margin.
	excessGain     = 0.5
	marginHalfLife = 60 * time.Second
	// checkpointSteps is how many steps ahead forecasts are checked.
	checkpointSteps = 128
)

func (m *margin) decay(now time.Time) {
	if !m.at.IsZero() {
		m.share *= math.Exp2(-now.Sub(m.at).Seconds() / marginHalfLife.Seconds())
	}
	m.at = now
}

func (m *margin) widen(share float64) {
	m.share = min(m.share+share, maxMarginShare)
}

func (m *margin) preempted(n uint64) {
	m.widen(min(float64(n)*preemptionStep, preemptionStepMax))
}

// compare holds what the requests of the checkpoint really use, in tokens, against the forecast made for them.
func (m *margin) compare(used, total float64) {
	mean, deviation := m.check.forecast.at(m.check.steps)
	if excess := used - mean - excessDeviations*deviation; excess > 0 {
		m.widen(excessGain * excess / total)
	}
	m.check.set = false
}
