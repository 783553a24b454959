package toucanadmit

import (
	"time"

	"gonum.org/v1/gonum/mat"
)

// stepModel learns how the duration of an engine's step grows with its work, by least squares that forget:
// step = base + perSequence*sequences + perPrefillToken*prefillTokens, in seconds.
type stepModel struct {
	// gram and moment are the weighted sums of the normal equations, the prior's included.
	gram   [stepFeatures][stepFeatures]float64
	moment [stepFeatures]float64
	// coef is the current solution; no coefficient is below its floor.
	coef [stepFeatures]float64
	// drift is the recent ratio of observed to predicted durations.
	drift float64
}

const (
	stepFeatures = 3
	// stepMemory is how much of the past weighs after one more observation.
	stepMemory = 0.998
	// driftGain is the weight of the newest observation in drift.
	driftGain = 0.03
	minDrift  = 0.5
	maxDrift  = 8
)

// The prior is what is believed of an engine before its first report, and weighs as little as one.
var (
	stepPrior = [stepFeatures]float64{0.015, 0.0002, 0.00005}
	stepFloor = [stepFeatures]float64{0.001, 0, 0.000001}
	// stepScale is the typical size of each feature.
	stepScale = [stepFeatures]float64{1, 64, 512}
)

const stepPriorWeight = 0.05

func newStepModel() *stepModel {
	m := &stepModel{coef: stepPrior, drift: 1}
	for i := range stepPrior {
		weight := stepPriorWeight * stepScale[i] * stepScale[i]
		m.gram[i][i] = weight
		m.moment[i] = weight * stepPrior[i]
	}
	return m
}

// observe takes in a step that decoded sequences and prefilled prefillTokens.
func (m *stepModel) observe(sequences, prefillTokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	expected := m.raw(sequences, prefillTokens)
	ratio := took.Seconds() / expected
	m.drift += driftGain * (min(max(ratio, minDrift), maxDrift) - m.drift)
	x := [stepFeatures]float64{1, float64(sequences), float64(prefillTokens)}
	for i := range x {
		for j := range x {
			m.gram[i][j] = stepMemory*m.gram[i][j] + x[i]*x[j]
		}
		m.moment[i] = stepMemory*m.moment[i] + x[i]*took.Seconds()
		// The prior's weight does not fade, so that the equations stay solvable when one batch size repeats.
		fade := (1 - stepMemory) * stepPriorWeight * stepScale[i] * stepScale[i]
		m.gram[i][i] += fade
		m.moment[i] += fade * stepPrior[i]
	}
	m.solve()
}

func (m *stepModel) solve() {
	gram := mat.NewSymDense(stepFeatures, nil)
	for i := range m.gram {
		for j := i; j < stepFeatures; j++ {
			gram.SetSym(i, j, m.gram[i][j])
		}
	}
	var chol mat.Cholesky
	if !chol.Factorize(gram) {
		return
	}
	var x mat.VecDense
	if err := chol.SolveVecTo(&x, mat.NewVecDense(stepFeatures, m.moment[:])); err != nil {
		return
	}
	for i := range m.coef {
		m.coef[i] = max(x.AtVec(i), stepFloor[i])
	}
}

func (m *stepModel) raw(sequences, prefillTokens int) float64 {
	return m.coef[0] + m.coef[1]*float64(sequences) + m.coef[2]*float64(prefillTokens)
}

// scale returns the correction for an engine that became slower than the model has learned yet.
func (m *stepModel) scale() float64 { return max(1, m.drift) }

// predict returns the duration of a step.
func (m *stepModel) predict(sequences, prefillTokens int) time.Duration {
	return time.Duration(m.raw(sequences, prefillTokens) * m.scale() * float64(time.Second))
}

// sequencesWithin returns the largest batch whose steps keep the bound beside prefillTokens; at least 1.
func (m *stepModel) sequencesWithin(bound time.Duration, prefillTokens int) int {
	rest := bound.Seconds()/m.scale() - m.raw(0, prefillTokens)
	if rest <= m.coef[1] {
		return 1
	}
	if m.coef[1] == 0 {
		return maxBatch
	}
	return int(min(rest/m.coef[1], maxBatch))
}

// prefillWithin returns how many prompt tokens a step may take beside sequences to keep the bound.
func (m *stepModel) prefillWithin(bound time.Duration, sequences int) int {
	rest := bound.Seconds()/m.scale() - m.raw(sequences, 0)
	return int(max(0, rest/m.coef[2]))
}

// maxBatch bounds the requests running on one engine.
const maxBatch = 4096
