// Package toucanstep describes the steps of a model engine that batches continuously: it recognizes them by the arrival of tokens, and
// predicts how long one takes by its work. It performs no I/O.
package toucanstep

import (
	"time"

	"gonum.org/v1/gonum/mat"
)

// Model predicts the duration of an engine's step from its work. It is fitted by recursive least squares that
// discount old observations: step = base + perSequence*sequences + perPrefillToken*prefillTokens, in seconds. It is not safe for
// concurrent use.
type Model struct {
	// gram and moment are the weighted sums of the normal equations, including those of the prior.
	gram   [features][features]float64
	moment [features]float64
	// coef is the current solution. Each coefficient is at least its floor.
	coef [features]float64
	// drift is a moving average of the ratio of observed to predicted durations.
	drift float64
}

const (
	features = 3
	// retention is the factor by which earlier observations are discounted for each new one.
	retention = 0.998
	// driftGain is the weight of the newest observation in drift.
	driftGain = 0.03
	minDrift  = 0.5
	maxDrift  = 8
)

// prior is assumed for an engine before its first steps are observed. It weighs less than one observation.
var (
	prior = [features]float64{0.015, 0.0002, 0.00005}
	floor = [features]float64{0.001, 0, 0.000001}
	// scale is the typical value of each feature.
	scale = [features]float64{1, 64, 512}
)

const priorWeight = 0.05

// NewModel returns the model of an engine of which no step was observed.
func NewModel() *Model {
	m := &Model{coef: prior, drift: 1}
	for i := range prior {
		weight := priorWeight * scale[i] * scale[i]
		m.gram[i][i] = weight
		m.moment[i] = weight * prior[i]
	}
	return m
}

// Observe updates the model with a step that decoded the given sequences and computed prefillTokens prompt tokens.
func (m *Model) Observe(sequences, prefillTokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	expected := m.linearEstimate(sequences, prefillTokens)
	ratio := took.Seconds() / expected
	m.drift += driftGain * (min(max(ratio, minDrift), maxDrift) - m.drift)
	x := [features]float64{1, float64(sequences), float64(prefillTokens)}
	for i := range x {
		for j := range x {
			m.gram[i][j] = retention*m.gram[i][j] + x[i]*x[j]
		}
		m.moment[i] = retention*m.moment[i] + x[i]*took.Seconds()
		// The weight of the prior does not decay, so that the equations remain solvable when all steps have the same
		// batch size.
		fade := (1 - retention) * priorWeight * scale[i] * scale[i]
		m.gram[i][i] += fade
		m.moment[i] += fade * prior[i]
	}
	m.solve()
}

func (m *Model) solve() {
	gram := mat.NewSymDense(features, nil)
	for i := range m.gram {
		for j := i; j < features; j++ {
			gram.SetSym(i, j, m.gram[i][j])
		}
	}
	var chol mat.Cholesky
	if !chol.Factorize(gram) {
		return
	}
	var x mat.VecDense
	if err := chol.SolveVecTo(&x, mat.NewVecDense(features, m.moment[:])); err != nil {
		return
	}
	for i := range m.coef {
		m.coef[i] = max(x.AtVec(i), floor[i])
	}
}

func (m *Model) linearEstimate(sequences, prefillTokens int) float64 {
	return m.coef[0] + m.coef[1]*float64(sequences) + m.coef[2]*float64(prefillTokens)
}

// driftCorrection returns the factor by which the engine is currently slower than the model predicts; at least 1.
func (m *Model) driftCorrection() float64 { return max(1, m.drift) }

// Predict returns the expected duration of a step.
func (m *Model) Predict(sequences, prefillTokens int) time.Duration {
	return time.Duration(m.linearEstimate(sequences, prefillTokens) * m.driftCorrection() * float64(time.Second))
}

// SequencesWithin returns the largest number of sequences that a step can decode within the bound while it also
// computes prefillTokens prompt tokens; at least 1.
func (m *Model) SequencesWithin(bound time.Duration, prefillTokens int) int {
	rest := bound.Seconds()/m.driftCorrection() - m.linearEstimate(0, prefillTokens)
	if rest <= m.coef[1] {
		return 1
	}
	if m.coef[1] == 0 {
		return maxBatch
	}
	return int(min(rest/m.coef[1], maxBatch))
}

// PrefillWithin returns how many prompt tokens a step can compute within the bound while it also decodes the given
// sequences.
func (m *Model) PrefillWithin(bound time.Duration, sequences int) int {
	rest := bound.Seconds()/m.driftCorrection() - m.linearEstimate(sequences, 0)
	return int(max(0, rest/m.coef[2]))
}

// maxBatch limits the requests that run on one engine.
const maxBatch = 4096
