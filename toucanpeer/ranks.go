package toucanpeer

import (
	"time"

	"toucanport/toucanrank"
)

// WithRanks shares what is known of the requests of each rank.
func WithRanks(t *toucanrank.Table) StateOption { return func(s *SharedState) { s.ranks = t } }

// maxFigure bounds what is taken from a peer's row, so that sums of many rows can't overflow.
const maxFigure = 1 << 30

// applyRanks passes on a peer's rows. A report without rows changes nothing.
func (s *SharedState) applyRanks(now time.Time, r *Report) {
	if s.ranks == nil || len(r.GetRanks()) == 0 {
		return
	}
	rows := make([]toucanrank.Row, 0, len(r.GetRanks()))
	for _, row := range r.GetRanks() {
		rows = append(rows, toucanrank.Row{Service: row.GetService(), Flow: toucanrank.Flow{
			Route:         row.GetRoute(),
			Rank:          figure(row.GetRank()),
			PerSecond:     float64(figure(row.GetMilliPerSecond())) / 1000,
			Tokens:        float64(figure(row.GetTokens())),
			Hold:          millis(row.GetHoldMillis()),
			Goal:          millis(row.GetGoalMillis()),
			Waiting:       figure(row.GetWaiting()),
			WaitingTokens: figure(row.GetWaitingTokens()),
			Oldest:        millis(row.GetOldestMillis()),
		}})
	}
	s.ranks.Observe(now, r.GetSender(), rows)
}

// rankRows returns this entry's rows for a report; none if the last ones are still good.
func (s *SharedState) rankRows(now time.Time) []*RankRow {
	if s.ranks == nil {
		return nil
	}
	var rows []*RankRow
	for _, row := range s.ranks.Rows(now) {
		rows = append(rows, &RankRow{
			Service:        row.Service,
			Route:          row.Route,
			Rank:           uint32(row.Rank),
			MilliPerSecond: uint32(row.PerSecond * 1000),
			Tokens:         uint32(row.Tokens),
			HoldMillis:     uint32(row.Hold.Milliseconds()),
			GoalMillis:     uint32(row.Goal.Milliseconds()),
			Waiting:        uint32(row.Waiting),
			WaitingTokens:  uint32(row.WaitingTokens),
			OldestMillis:   uint32(row.Oldest.Milliseconds()),
		})
	}
	return rows
}

func figure(n uint32) int { return int(min(n, maxFigure)) }

func millis(n uint32) time.Duration { return time.Duration(figure(n)) * time.Millisecond }
