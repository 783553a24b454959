// Package toucanentrypreview answers, at an entry of the product's own, where a request would go now, and why, without sending it.
package toucanentrypreview

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucanentry"
	"toucanport/toucanlimit"
	"toucanport/toucanpreview"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
)

// Limiter tells whether a workspace's limits allow a request. toucanlimit.Shared implements it.
type Limiter interface {
	Check(now time.Time, w toucanlimit.Workspace, tokens int) error
}

// Previewer answers previews. It changes nothing and is safe for concurrent use.
type Previewer struct {
	settings toucanentry.Settings
	router   toucanroute.Surveyor
	limiter  Limiter
}

// New returns a Previewer for an entry with the same settings, router and limiter.
func New(settings toucanentry.Settings, router toucanroute.Surveyor, limiter Limiter) *Previewer {
	return &Previewer{settings: settings, router: router, limiter: limiter}
}

// ServeHTTP implements http.Handler. The parameters are those of toucanpreview.Query.
func (p *Previewer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, err := toucanpreview.ParseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Preview(time.Now(), q)) // The asker may have left.
}

// Preview returns what the entry would do with a request at a time. A preview has no prompt and no order key, so that cached prefixes and
// keys don't count.
func (p *Previewer) Preview(now time.Time, q toucanpreview.Query) toucanpreview.Preview {
	out := toucanpreview.Preview{Workspace: q.Workspace, Tokens: q.Prompt + q.MaxOutput, MaxWaitMs: toucanentry.DefaultStartWithin.Milliseconds()}
	if q.Patience > 0 {
		out.MaxWaitMs = q.Patience.Milliseconds()
	}
	team, workspace, ok := findWorkspace(p.settings.Tree(), q.Workspace)
	if !ok {
		return rejected(out, http.StatusUnauthorized, toucanentry.CodeBadKey, "there is no workspace of this name; name it as TEAM/NAME")
	}
	out.SettingsVersion = team.Revision
	route, ok := matchRoute(q)
	if !ok {
		return rejected(out, http.StatusNotFound, toucanentry.CodeNotFound, "there is nothing at this path")
	}
	out.Route, out.Service = route.name, route.service
	s, ok := p.settings.Tree().Service(team.Name, route.service)
	if !ok || s.Kind != route.kind || !slices.Contains(workspace.Services, route.service) {
		return rejected(out, http.StatusNotFound, route.unknown, "there is no such "+string(route.kind)+" service for this workspace")
	}
	if err := p.limiter.Check(now, toucanentry.LimitsOf(workspace), q.Prompt); err != nil {
		return limited(out, err)
	}
	list, err := p.router.Survey(now, toucanroute.Query{Service: toucanentry.ServiceKey(s), PromptTokens: q.Prompt, MaxTokens: q.MaxOutput})
	for _, a := range list {
		out.Endpoints = append(out.Endpoints, endpoint(a))
	}
	if err != nil {
		return noEndpoint(out, err)
	}
	out.Decision, out.ExpectedWaitMs = toucanpreview.DecisionSend, list[0].Wait.Milliseconds()
	if list[0].Probe {
		out.Cause = "it is probed, to see whether it works again"
	}
	return out
}

// findWorkspace returns the workspace named TEAM/NAME.
func findWorkspace(tree *toucansettings.Tree, name string) (toucansettings.Team, toucansettings.Workspace, bool) {
	for _, team := range tree.Teams() {
		for _, w := range team.Workspaces {
			if toucanentry.WorkspaceKey(w) == name {
				return team, w, true
			}
		}
	}
	return toucansettings.Team{}, toucansettings.Workspace{}, false
}

// route is what the path of a request leads to.
type route struct {
	name, service string
	kind          toucansettings.Kind
	// unknown is the code of the answer if there is no such service.
	unknown string
}

const (
	// completionsSuffix ends the paths of generations below generationsPrefix.
	generationsPrefix, completionsSuffix = "/v1/", "completions"
	servicesPrefix                       = "/services/"
)

// matchRoute returns where the path of a query leads; false if that is no endpoint.
func matchRoute(q toucanpreview.Query) (route, bool) {
	switch path := q.Path; {
	case path == generationsPrefix+completionsSuffix, path == generationsPrefix+"chat/"+completionsSuffix:
		return route{name: path, service: q.Model, kind: toucansettings.KindGeneration, unknown: toucanentry.CodeUnknownModel}, true
	case strings.HasPrefix(path, servicesPrefix):
		service, _, _ := strings.Cut(strings.TrimPrefix(path, servicesPrefix), "/")
		return route{name: servicesPrefix + service, service: service, kind: toucansettings.KindPlain, unknown: toucanentry.CodeUnknownService}, true
	}
	return route{}, false
}

func rejected(out toucanpreview.Preview, status int, reason, cause string) toucanpreview.Preview {
	out.Decision, out.Status, out.Reason, out.Cause = toucanpreview.DecisionReject, status, reason, cause
	return out
}

// limited adds the refusal of a limiter.
func limited(out toucanpreview.Preview, err error) toucanpreview.Preview {
	var limit *toucanlimit.Error
	if errors.As(err, &limit) {
		out.RetryAfterMs = limit.RetryAfter.Milliseconds()
	}
	return rejected(out, http.StatusTooManyRequests, toucanentry.CodeLimited, err.Error())
}

// noEndpoint adds the refusal of a router.
func noEndpoint(out toucanpreview.Preview, err error) toucanpreview.Preview {
	var none *toucanroute.NoEndpointError
	if errors.As(err, &none) {
		out.RetryAfterMs = none.RetryAfter.Milliseconds()
	}
	return rejected(out, http.StatusServiceUnavailable, toucanentry.CodeNoEndpoint, err.Error())
}

func endpoint(a toucanroute.Assessment) toucanpreview.Endpoint {
	return toucanpreview.Endpoint{
		ID:            a.Endpoint.Name,
		FailureDomain: a.Endpoint.FailureDomain,
		LeftOut:       string(a.LeftOut),
		Costs:         toucanpreview.Costs{Total: round(a.LoadCost + a.DistanceCost), Load: round(a.LoadCost), Distance: round(a.DistanceCost)},
		Requests:      a.Requests,
		Tokens:        a.Tokens,
	}
}

// round rounds a cost to tenths of a millisecond.
func round(seconds float64) float64 { return math.Round(seconds*1e4) / 1e4 }
