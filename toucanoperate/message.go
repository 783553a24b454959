// Package toucanoperate is the operators' HTTP interface of an entry, on a listener of its own.
package toucanoperate

import (
	"time"

	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
)

// Paths of the interface.
const (
	PathDocuments = "/v1/documents"
	PathDocument  = "/v1/document"
	PathChanges   = "/v1/changes"
	PathSettle    = "/v1/changes/settle"
	PathStatus    = "/v1/status"
	PathFleet     = "/v1/fleet"
	PathMetrics   = "/metrics"
)

// Codes of errors.
const (
	CodeInvalid        = "invalid"
	CodeUnauthorized   = "unauthorized"
	CodeForbidden      = "forbidden"
	CodeNotFound       = "notFound"
	CodeConflict       = "conflict"
	CodeBaseTooOld     = "baseTooOld"
	CodeRefused        = "refused"
	CodeStoreDown      = "storeDown"
	CodeOutcomeUnknown = "outcomeUnknown"
	CodeInternal       = "internal"
)

// Source says where a document was read.
type Source string

// The sources.
const (
	SourceStore   Source = "store"
	SourceInForce Source = "inForce"
)

// Table is one table of a document.
type Table struct {
	Path string `json:"path"`
	// Body is TOML.
	Body string `json:"body"`
}

// Document is a document as operators see it.
type Document struct {
	Path     string `json:"path"`
	Revision uint64 `json:"revision"`
	// Source is inForce when the store did not answer.
	Source Source  `json:"source"`
	Tables []Table `json:"tables"`
	// Changes are the last ones, oldest first.
	Changes []toucanrevision.Change `json:"changes"`
}

// Documents lists the documents that a credential may read.
type Documents struct {
	Documents []toucanspread.Revision `json:"documents"`
}

// Edit changes one path.
type Edit struct {
	Path      string                   `json:"path"`
	Operation toucanrevision.Operation `json:"operation"`
	Body      string                   `json:"body,omitempty"`
	Unset     []string                 `json:"unset,omitempty"`
}

// Change asks for one change of one document, or, at PathSettle, what became of it.
type Change struct {
	ID       string `json:"id"`
	Document string `json:"document"`
	// Base is the revision that the author saw.
	Base   uint64 `json:"base"`
	Edits  []Edit `json:"edits,omitempty"`
	DryRun bool   `json:"dryRun,omitempty"`
}

// Accepted answers an accepted change.
type Accepted struct {
	ID       string `json:"id"`
	Document string `json:"document"`
	Revision uint64 `json:"revision"`
	// Unchanged is true when the document already said so.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Error is the body of every error.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// ChangeID is the id to ask again with.
	ChangeID string `json:"changeId,omitempty"`
	// Paths are what a conflict is about.
	Paths []string `json:"paths,omitempty"`
}

// ErrorBody wraps Error.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Instance is what is known of one instance.
type Instance struct {
	Instance      string `json:"instance"`
	Role          string `json:"role"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// BootID identifies the run of the process, in hex.
	BootID string `json:"bootId,omitempty"`
	// Documents are the revisions in force there; left out in a Status when AsSelf is true.
	Documents []toucanspread.Revision `json:"documents,omitempty"`
	// AsSelf is true when the revisions are those of the entry that tells.
	AsSelf bool `json:"asSelf,omitempty"`
	// HeardAt is when the instance was last heard.
	HeardAt time.Time `json:"heardAt"`
	// Answers is false for an instance that is listed but was not reached.
	Answers bool `json:"answers"`
}

// Status is one entry's own state and what it knows of its sidecars.
type Status struct {
	Self Instance `json:"self"`
	// StoreAnswers is false while the platform's store does not answer this entry.
	StoreAnswers bool       `json:"storeAnswers"`
	Peers        []Instance `json:"peers"`
}

// Fleet is the state of all instances that could be reached, joined by instance and boot.
type Fleet struct {
	Instances []Instance `json:"instances"`
	// Newest are the highest revisions found anywhere.
	Newest []toucanspread.Revision `json:"newest"`
	// StoreAnswers is false when no entry reaches the store.
	StoreAnswers bool `json:"storeAnswers"`
}

// Lagging returns the instances that lack the newest revision of a document; all documents when it is empty.
func (f Fleet) Lagging(document string) []Instance {
	newest := f.Newest
	if document != "" {
		newest = pick(newest, document)
	}
	var out []Instance
	for _, i := range f.Instances {
		if i.Answers && len(toucanspread.Lags(i.Documents, newest)) > 0 {
			out = append(out, i)
		}
	}
	return out
}

func pick(revisions []toucanspread.Revision, path string) []toucanspread.Revision {
	for _, r := range revisions {
		if r.Path == path {
			return []toucanspread.Revision{r}
		}
	}
	return nil
}

// edits converts the message form.
func (c Change) edits() ([]toucanrevision.Edit, error) {
	out := make([]toucanrevision.Edit, 0, len(c.Edits))
	for _, e := range c.Edits {
		path, err := toucansettings.ParsePath(e.Path)
		if err != nil {
			return nil, err
		}
		out = append(out, toucanrevision.Edit{Path: path, Operation: e.Operation, Body: e.Body, Unset: e.Unset})
	}
	return out, nil
}
