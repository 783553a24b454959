package toucanadmit

// quantileTracker estimates a quantile of a sequence of positive values.
type quantileTracker struct {
	quantile float64
	value    float64
}

const (
	trackerGain = 0.02
	trackerMin  = 16.0
)

func (q *quantileTracker) add(x float64) {
	step := trackerGain * max(q.value, trackerMin)
	if x > q.value {
		q.value += step * q.quantile
		return
	}
	q.value -= step * (1 - q.quantile)
}
