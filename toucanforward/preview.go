package toucanforward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanaccept"
	"toucanport/toucanbody"
	"toucanport/toucanplace"
	"toucanport/toucanpreview"
	"toucanport/toucanrefusal"
)

// Preview returns what the server would do with a request now. Nothing is sent, reserved or learned. A request that would be quarantined
// is not recognised, since a preview has no prompt.
func (s *Server) Preview(q toucanpreview.Query) toucanpreview.Preview {
	now := time.Now()
	j, r := s.previewJob(now, q)
	p := toucanpreview.Preview{Route: j.route.Name, Service: j.service.Name, Workspace: j.workspace, SettingsVersion: j.version, Rank: j.rank}
	if r != nil {
		return rejected(p, *r)
	}
	until := now.Add(j.maxWait(now))
	j.updateDemand(now)
	limits, may := s.rooms.Try(now, j.room(), until)
	p.Tokens, p.ReserveTokens, p.MaxUnread = j.demand.Tokens(), limits.Reserve, limits.MaxUnread
	p.MaxWaitMs = until.Sub(now).Milliseconds()
	list, err := s.placer.Survey(now, j.service.Name, j.demand, roomOptions(limits, toucanplace.WithPatience(max(until.Sub(now), 0)))...)
	for _, a := range list {
		p.Endpoints = append(p.Endpoints, previewEndpoint(a))
	}
	if err == nil && may {
		p.Decision = toucanpreview.DecisionSend
		return p
	}
	if err == nil {
		err = errors.Wrap(toucanplace.ErrFull, "requests that wait go first")
	}
	hopeless := s.rooms.Hopeless(now, j.room(), until)
	if hopeless {
		err = errors.Wrap(toucanrefusal.ErrNoRoomInTime, err.Error())
	}
	if hopeless || isFinal(err) || !until.After(now) || s.deferredFor(j) > until.Sub(now) {
		return rejected(p, toucanrefusal.OfPlacement(context.Background(), err, j.maybeRun > 0, s.delayBy(j, err, s.returns.Next)))
	}
	p.Decision, p.Cause = toucanpreview.DecisionWait, err.Error()
	if j.mixed {
		p.ExpectedWaitMs = s.rooms.Forecast(now, j.room()).Milliseconds()
	}
	return p
}

// previewJob matches a query to a route, a workspace and a service, as accept does for a request.
func (s *Server) previewJob(now time.Time, q toucanpreview.Query) (*job, *toucanrefusal.Refusal) {
	j := &job{arrived: now, body: &toucanbody.Body{}}
	j.Prompt, j.MaxOutput, j.LengthHint, j.Patience = q.Prompt, q.MaxOutput, q.LengthHint, q.Patience
	table := s.traffic.Table()
	if table == nil {
		return j, toucanrefusal.Unready(toucanrefusal.ReasonNoSettings)
	}
	j.version = table.Version
	caller, refusal := toucanaccept.ByWorkspace(table, q.Host, q.Path, q.Workspace)
	j.route, j.workspace = caller.Route, caller.Workspace.Name
	if refusal != nil {
		return j, refusal
	}
	return j, s.aim(j, table, caller)
}

// rejected adds a refusal to a preview.
func rejected(p toucanpreview.Preview, r toucanrefusal.Refusal) toucanpreview.Preview {
	p.Decision = toucanpreview.DecisionReject
	p.Status, p.Reason, p.RetryAfterMs = r.Status, string(r.Reason), r.RetryAfter.Milliseconds()
	if r.Err != nil {
		p.Cause = r.Err.Error()
	}
	return p
}

func previewEndpoint(a toucanplace.Assessment) toucanpreview.Endpoint {
	return toucanpreview.Endpoint{
		ID:            a.Endpoint.ID,
		FailureDomain: a.Endpoint.FailureDomain,
		LeftOut:       a.LeftOut.String(),
		Costs: toucanpreview.Costs{
			Total:    roundCost(a.Costs.Total()),
			Load:     roundCost(a.Costs.Load),
			Distance: roundCost(a.Costs.Distance),
			Slot:     roundCost(a.Costs.Slot),
			Pace:     roundCost(a.Costs.Pace),
		},
		Requests: a.Use.Requests,
		Tokens:   a.Use.Tokens,
		Unread:   a.Use.Unread,
	}
}
