// Package toucanoperate implements the operators' HTTP interface of an entry, which has its own listener.
package toucanoperate

import (
	"time"

	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// URL paths of the interface.
const (
	PathDocuments = "/v1/documents"
	PathDocument  = "/v1/document"
	PathChanges   = "/v1/changes"
	PathSettle    = "/v1/changes/settle"
	PathStatus    = "/v1/status"
	PathFleet     = "/v1/fleet"
	PathMetrics   = "/metrics"
)

// Values of Error.Code.
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

// Source is where a returned document was read from.
type Source string

// Sources of documents: the platform's store, or the settings that the entry has in force.
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

// Document is a settings document with its latest changes.
type Document struct {
	Path     string `json:"path"`
	Revision uint64 `json:"revision"`
	// Source is SourceInForce when the store did not answer, or answered with outdated data.
	Source Source  `json:"source"`
	Tables []Table `json:"tables"`
	// Changes are the latest changes, oldest first.
	Changes []toucanrevision.Change `json:"changes"`
}

// Documents lists the documents that a credential is allowed to change, with their revisions in force.
type Documents struct {
	Documents []toucanreplicate.Revision `json:"documents"`
}

// Edit is an operation on the table at a path.
type Edit struct {
	Path      string                   `json:"path"`
	Operation toucanrevision.Operation `json:"operation"`
	Body      string                   `json:"body,omitempty"`
	Unset     []string                 `json:"unset,omitempty"`
}

// Change is the body of a request to change a document. At PathSettle it requests the outcome of the change.
type Change struct {
	ID       string `json:"id"`
	Document string `json:"document"`
	// Base is the revision that the change was made from.
	Base   uint64 `json:"base"`
	Edits  []Edit `json:"edits,omitempty"`
	DryRun bool   `json:"dryRun,omitempty"`
}

// Accepted is the answer to an accepted change.
type Accepted struct {
	ID       string `json:"id"`
	Document string `json:"document"`
	Revision uint64 `json:"revision"`
	// Unchanged is true when the document already had the changed content, so that no new revision was written.
	Unchanged bool `json:"unchanged,omitempty"`
}

// Error describes why a request failed.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// ChangeID is the id of the change that failed, with which its outcome can be requested at PathSettle.
	ChangeID string `json:"changeId,omitempty"`
	// Paths are the paths that conflict with another change.
	Paths []string `json:"paths,omitempty"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Instance is the known state of one instance.
type Instance struct {
	Instance      string `json:"instance"`
	Role          string `json:"role"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// BootID identifies the current run of the process, in hexadecimal; it changes with every restart.
	BootID string `json:"bootId,omitempty"`
	// Documents are the revisions in force at the instance; omitted when AsSelf is true.
	Documents []toucanreplicate.Revision `json:"documents,omitempty"`
	// AsSelf is true when the instance has the same revisions as the reporting entry.
	AsSelf bool `json:"asSelf,omitempty"`
	// LastReceivedAt is when the reporting entry last received a message from the instance.
	LastReceivedAt time.Time `json:"heardAt"`
	// Answers is false for an entry that did not answer a request for its status.
	Answers bool `json:"answers"`
}

// Status is the state of one entry and of the sidecars that it has links to.
type Status struct {
	Self Instance `json:"self"`
	// StoreAnswers is false while the platform's store does not answer this entry.
	StoreAnswers bool       `json:"storeAnswers"`
	Peers        []Instance `json:"peers"`
}

// Fleet is the state of all instances, merged from the statuses of all entries that answered.
type Fleet struct {
	Instances []Instance `json:"instances"`
	// Newest is the highest revision of each document at any instance, sorted by path.
	Newest []toucanreplicate.Revision `json:"newest"`
	// StoreAnswers is false when the store answers none of the entries.
	StoreAnswers bool `json:"storeAnswers"`
}

// Lagging returns the answering instances that lack the newest revision of a document, or of any document when document
// is empty.
func (f Fleet) Lagging(document string) []Instance {
	newest := f.Newest
	if document != "" {
		newest = findRevision(newest, document)
	}
	var out []Instance
	for _, i := range f.Instances {
		if i.Answers && len(toucanreplicate.Lags(i.Documents, newest)) > 0 {
			out = append(out, i)
		}
	}
	return out
}

// findRevision returns a slice with the revision of the document at path, or nil if there is none.
func findRevision(revisions []toucanreplicate.Revision, path string) []toucanreplicate.Revision {
	for _, r := range revisions {
		if r.Path == path {
			return []toucanreplicate.Revision{r}
		}
	}
	return nil
}

// parseEdits returns the change's edits with parsed paths.
func (c Change) parseEdits() ([]toucanrevision.Edit, error) {
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
