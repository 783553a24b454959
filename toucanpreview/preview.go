// Package toucanpreview describes where a request would go now, and why, without sending it: what an entry decides, the cost of each
// endpoint by part or the reason that it is left out, and whether the request would wait or be rejected.
package toucanpreview

import (
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrQuery is returned for a query that can't be read.
var ErrQuery = errors.New("query can't be read")

// Query describes a request that is not sent.
type Query struct {
	// Host and Path are those of the request.
	Host, Path string
	// Workspace is the name of the workspace, at the product's own entry TEAM/NAME; empty for a request without a key.
	Workspace string
	// Model is the model that a generation names, which only the product's own entry needs.
	Model string
	// Prompt and MaxOutput are the length of the prompt and the limit of the output, in tokens; zero for requests that generate
	// nothing. LengthHint is the caller's estimate of the output.
	Prompt, MaxOutput, LengthHint int
	// Patience is how long the caller waits for the final answer; zero for the route's timeout.
	Patience time.Duration
}

// Decision is what an entry would do with a request.
type Decision string

// Decisions.
const (
	// DecisionSend means that the request would be sent to the first endpoint at once.
	DecisionSend Decision = "send"
	// DecisionWait means that it would wait for room.
	DecisionWait Decision = "wait"
	// DecisionReject means that it would be rejected at once.
	DecisionReject Decision = "reject"
)

// Preview is what an entry would do with a request now.
type Preview struct {
	Decision  Decision `json:"decision"`
	Route     string   `json:"route,omitempty"`
	Service   string   `json:"service,omitempty"`
	Workspace string   `json:"workspace,omitempty"`
	// SettingsVersion is the version of the settings that decide.
	SettingsVersion uint64 `json:"settingsVersion"`
	// Rank is 0 for the most urgent requests.
	Rank int `json:"rank"`
	// Tokens is the memory that the request is expected to take until its end.
	Tokens int `json:"tokens"`
	// ReserveTokens is the memory that it leaves free at each endpoint for others, and MaxUnread the limit on prompt tokens that are
	// not yet processed there; zero if there is none.
	ReserveTokens int `json:"reserveTokens"`
	MaxUnread     int `json:"maxUnread"`
	// ExpectedWaitMs is the least time until there is room, and MaxWaitMs how long the request may wait, in milliseconds.
	ExpectedWaitMs int64 `json:"expectedWaitMs"`
	MaxWaitMs      int64 `json:"maxWaitMs"`
	// Cause is why the request would wait or be rejected.
	Cause string `json:"cause,omitempty"`
	// Status, Reason and RetryAfterMs describe the answer of DecisionReject. RetryAfterMs is zero if it does not say when to return.
	Status       int    `json:"status,omitempty"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	// Endpoints are those of the service: first those that can take the request, by cost.
	Endpoints []Endpoint `json:"endpoints,omitempty"`
}

// Endpoint is what a placement on one endpoint would cost, or why it is not possible. Costs have no unit; those of the product's own entry
// are in seconds.
type Endpoint struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	// LeftOut is empty for an endpoint that can take the request.
	LeftOut string `json:"leftOut,omitempty"`
	Costs   Costs  `json:"costs"`
	// Requests, Tokens and Unread are the load of all entries: requests, their memory at their ends, and prompt tokens that are not yet
	// processed.
	Requests int `json:"requests"`
	Tokens   int `json:"tokens"`
	Unread   int `json:"unread"`
}

// Costs are the parts of an endpoint's cost.
type Costs struct {
	Total    float64 `json:"total"`
	Load     float64 `json:"load"`
	Distance float64 `json:"distance"`
	Slot     float64 `json:"slot"`
	Pace     float64 `json:"pace"`
}

// ParseQuery reads a query from the parameters of a URL. The error is ErrQuery.
func ParseQuery(v url.Values) (Query, error) {
	q := Query{Host: v.Get("host"), Path: v.Get("path"), Workspace: v.Get("workspace"), Model: v.Get("model")}
	if q.Host == "" || q.Path == "" {
		return q, errors.Wrap(ErrQuery, "host and path are needed")
	}
	var patienceMs int
	for name, n := range map[string]*int{"prompt": &q.Prompt, "output": &q.MaxOutput, "hint": &q.LengthHint, "patienceMs": &patienceMs} {
		text := v.Get(name)
		if text == "" {
			continue
		}
		value, err := strconv.ParseInt(text, 10, 32)
		if err != nil || value < 0 {
			return q, errors.Wrapf(ErrQuery, "%s: %q is not a number from 0 to 2147483647", name, text)
		}
		*n = int(value)
	}
	q.Patience = time.Duration(patienceMs) * time.Millisecond
	return q, nil
}

// Values returns the query as parameters of a URL.
func (q Query) Values() url.Values {
	v := url.Values{"host": {q.Host}, "path": {q.Path}}
	for name, text := range map[string]string{"workspace": q.Workspace, "model": q.Model} {
		if text != "" {
			v.Set(name, text)
		}
	}
	for name, n := range map[string]int64{
		"prompt": int64(q.Prompt), "output": int64(q.MaxOutput), "hint": int64(q.LengthHint), "patienceMs": q.Patience.Milliseconds(),
	} {
		if n != 0 {
			v.Set(name, strconv.FormatInt(n, 10))
		}
	}
	return v
}

// Path is the path of previews at the metrics address of an entry of the platform, and at the operators' address of one of the product's
// own.
const Path = "/preview"

// URL returns the address of a preview at an entry, whose address for previews is IP:PORT.
func (q Query) URL(address string) string {
	u := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: q.Values().Encode()}
	return u.String()
}
