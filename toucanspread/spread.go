// Package toucanspread decides how several entries that choose among the same endpoints at the same time divide what they
// place there. An entry learns of the others' choices some milliseconds late. If each took the endpoint with the lowest cost,
// all would take the same one. The load that it answers is several endpoints that leave together: the generations of all are
// copied at once, and copies to one target queue on its link, with the pause of their streams. It performs no I/O.
package toucanspread

import "math/rand/v2"

// bothLose is how often the cost of two choices of one endpoint counts: each of the two makes the other wait.
const bothLose = 2

// Shares returns, for each candidate, the probability with which it is chosen, so that the expected cost of all choices is
// lowest. costs are those that the entry knows of; unseen is the expected number of choices that other entries make at
// the same time by the same rule, and each of them costs another one of the same endpoint as much as added. With none
// unseen, the cheapest candidate has all.
//
// A candidate at cost c with share p has the marginal cost c + 2·unseen·added·p. Shares make it the same at all candidates
// with a share, and lower than the cost of the others.
func Shares(costs []float64, unseen, added float64) []float64 {
	shares := make([]float64, len(costs))
	if len(costs) == 0 {
		return shares
	}
	crowd := bothLose * unseen * added
	level := fillLevel(costs, crowd)
	sum := 0.0
	for i, c := range costs {
		shares[i] = max(level-c, 0)
		sum += shares[i]
	}
	if crowd <= 0 || sum <= 0 {
		clear(shares)
		shares[lowest(costs)] = 1
		return shares
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// fillLevel returns the level up to which an amount fills what the costs leave below it.
func fillLevel(costs []float64, amount float64) float64 {
	low := costs[lowest(costs)]
	high := low + max(amount, 0)
	for range fillSteps {
		middle := (low + high) / 2
		filled := 0.0
		for _, c := range costs {
			filled += max(middle-c, 0)
		}
		if filled < amount {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// fillSteps is how often the interval that contains the level is halved.
const fillSteps = 24

// lowest returns the index of the first of the lowest costs.
func lowest(costs []float64) int {
	best := 0
	for i, c := range costs {
		if c < costs[best] {
			best = i
		}
	}
	return best
}

// Pick returns the index of a candidate, chosen at random by Shares. It returns 0 if there are none.
func Pick(costs []float64, unseen, added float64) int {
	if len(costs) < 2 || unseen <= 0 || added <= 0 {
		if len(costs) == 0 {
			return 0
		}
		return lowest(costs)
	}
	at := rand.Float64()
	shares := Shares(costs, unseen, added)
	for i, share := range shares {
		at -= share
		if share > 0 && at < 0 {
			return i
		}
	}
	return lowest(costs)
}
