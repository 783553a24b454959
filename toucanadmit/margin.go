package toucanadmit

import (
	"math"
	"time"
)

// margin is the share of the engine's memory that is kept free because recent forecasts were too low.
type margin struct {
	// share is relative to the total memory, between 0 and maxMarginShare.
	share float64
	at    time.Time
	// check is an earlier forecast that will be compared with the actual use.
	check checkpoint
}

// checkpoint is a forecast made at one time for the requests that ran then.
type checkpoint struct {
	set      bool
	forecast forecast
	at       time.Time
	// steps is the number of tokens that each request is expected to have generated since the checkpoint.
	steps int
}

const (
	maxMarginShare = 0.25
	// preemptionStep is added to the margin for each reported preemption, up to preemptionStepMax for one report.
	preemptionStep    = 0.01
	preemptionStepMax = 0.04
	// excessDeviations is the number of standard deviations by which the use can exceed a forecast before the margin
	// grows.
	excessDeviations = 1.65
	// excessGain is the share of the excess that is added to the margin.
	excessGain     = 0.5
	marginHalfLife = 60 * time.Second
	// checkpointSteps is the number of steps after which a forecast is compared with the actual use.
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

func (m *margin) addPreemptions(n uint64) {
	m.widen(min(float64(n)*preemptionStep, preemptionStepMax))
}

// checkAgainstUse compares the current use of the checkpoint's requests, in tokens, with the forecast. It widens the
// margin if the use is too high.
func (m *margin) checkAgainstUse(used, total float64) {
	mean, deviation := m.check.forecast.at(m.check.steps)
	if excess := used - mean - excessDeviations*deviation; excess > 0 {
		m.widen(excessGain * excess / total)
	}
	m.check.set = false
}
