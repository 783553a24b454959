// Package toucanway says what the way to an endpoint costs: that of a request to another failure domain, and that of a copy of a
// generation's memory, which takes twice as long over the links between domains as within one. It answers a load of domains whose demand
// has its peaks at different times, with engines that drain and streams that move for their pace. Costs have no unit; a full memory
// costs 1. It performs no I/O.
package toucanway

const (
	// requestCost is the cost of an endpoint outside the entry's failure domain.
	requestCost = 0.04
	// farCopyCost is the cost of copying memory to another failure domain.
	farCopyCost = 0.25
	// spreadCost is the upper bound of a pseudo-random cost for each pair of source and target, in spreadSteps steps. It makes
	// sources prefer different targets.
	spreadCost  = 0.12
	spreadSteps = 16
	// otherSourceCost is the cost of a target that another draining endpoint copies to: two copies to one target take twice as long.
	otherSourceCost = 0.6
	// farDrainCost is the further cost of a copy from a draining endpoint to another failure domain: it may take longer than the
	// endpoint's notice.
	farDrainCost = 1.5
	// maxWaiting bounds the generations for which a slow copy costs more, since they wait for the link of its source.
	maxWaiting = 5
	// targetMix spreads the targets of copies over sources.
	targetMix = 0x9E3779B97F4A7C15
)

// End is one end of a copy.
type End struct {
	// Key identifies the endpoint to all entries.
	Key           uint64
	FailureDomain string
}

// Request returns the cost of a request from an entry to an endpoint, given by their failure domains.
func Request(from, to string) float64 {
	if from == to {
		return 0
	}
	return requestCost
}

// Backup returns the cost of a backup of a generation, given by the failure domains of both endpoints.
func Backup(from, to string) float64 {
	if from == to {
		return 0
	}
	return farCopyCost
}

// Copy is a copy of a generation's memory whose target is not chosen yet.
type Copy struct {
	From End
	// Waiting is the number of other generations that may need the link of the source meanwhile.
	Waiting int
	// Draining is true if the source drains, so that its notice bounds the time of the copy.
	Draining bool
	// Sources holds the endpoints that drain, with From if that is one of them, where each target is meant for one of them.
	Sources []End
}

// Cost returns the cost of a target.
func (c *Copy) Cost(to End) float64 {
	cost := spreadCost * float64((c.From.Key^to.Key)%spreadSteps) / spreadSteps
	if to.FailureDomain != c.From.FailureDomain {
		cost += farCopyCost + farCopyCost*float64(min(max(c.Waiting, 0), maxWaiting))
		if c.Draining {
			cost += farDrainCost
		}
	}
	if owner, ok := Owner(to, c.Sources); ok && owner.Key != c.From.Key {
		cost += otherSourceCost
	}
	return cost
}

// Owner returns the one of the draining endpoints that a target is meant for: one of the target's failure domain, if there are such.
// Entries with the same list agree on it, and the end of one source changes only its targets. It is false without sources.
func Owner(target End, sources []End) (End, bool) {
	var best End
	found, bestNear, bestWeight := false, false, uint64(0)
	for _, s := range sources {
		near, weight := s.FailureDomain == target.FailureDomain, (s.Key^target.Key)*targetMix
		if !found || near && !bestNear || near == bestNear && weight > bestWeight {
			found, best, bestNear, bestWeight = true, s, near, weight
		}
	}
	return best, found
}
