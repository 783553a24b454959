// Package toucanclient is the Go client of an entry's operators' interface.
package toucanclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"toucanport/toucanchange"
	"toucanport/toucandocument"
	"toucanport/toucanoperate"
	"toucanport/toucanwait"
)

var (
	// ErrNotReached is returned when no connection to the entry could be established, so that nothing was sent.
	ErrNotReached = errors.New("entry not reached")
	// ErrDenied is returned when the credential is invalid or does not cover the document.
	ErrDenied = errors.New("credential not accepted")
	// ErrNotFound is returned when nothing exists at a path.
	ErrNotFound = errors.New("not found")
)

// APIError is an error response of an entry. It matches the sentinel error of its code in errors.Is.
type APIError struct {
	Status int
	Body   toucanoperate.Error
}

// Error implements error.
func (e *APIError) Error() string { return e.Body.Message }

// errorByCode maps the codes of error responses to sentinel errors.
var errorByCode = map[string]error{
	toucanoperate.CodeInvalid:        toucandocument.ErrInvalid,
	toucanoperate.CodeUnauthorized:   ErrDenied,
	toucanoperate.CodeForbidden:      ErrDenied,
	toucanoperate.CodeNotFound:       ErrNotFound,
	toucanoperate.CodeConflict:       toucanchange.ErrConflict,
	toucanoperate.CodeBaseTooOld:     toucanchange.ErrBaseTooOld,
	toucanoperate.CodeRefused:        toucanchange.ErrRefused,
	toucanoperate.CodeStoreDown:      toucanchange.ErrStoreDown,
	toucanoperate.CodeOutcomeUnknown: toucanchange.ErrOutcomeUnknown,
}

// Is reports whether target is the sentinel error of e's code.
func (e *APIError) Is(target error) bool { return errorByCode[e.Body.Code] == target }

const (
	defaultTimeout = 15 * time.Second
	maxAnswerBytes = 32 << 20
	// changeTries is the maximum number of times that a change is sent while its outcome is unknown.
	changeTries = 4
	// firstBackoff is the pause after the first try; later pauses grow exponentially.
	firstBackoff = 200 * time.Millisecond
)

// Client is a client of one entry. It is safe for concurrent use.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// Option configures a Client in New.
type Option func(*Client)

// WithTransport makes the client send its requests through t.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// New returns a client of the entry whose operators' listener is at address, which has the form IP:PORT.
func New(address, credential string, opts ...Option) *Client {
	c := &Client{base: "http://" + address, credential: credential, http: &http.Client{Timeout: defaultTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Documents returns the revisions of the documents that the credential is allowed to change.
func (c *Client) Documents(ctx context.Context) (toucanoperate.Documents, error) {
	var out toucanoperate.Documents
	return out, c.call(ctx, http.MethodGet, toucanoperate.PathDocuments, nil, &out)
}

// Document returns a document. A document that does not exist is returned empty, with revision 0.
func (c *Client) Document(ctx context.Context, path string) (toucanoperate.Document, error) {
	var out toucanoperate.Document
	query := "?path=" + url.QueryEscape(path)
	return out, c.call(ctx, http.MethodGet, toucanoperate.PathDocument+query, nil, &out)
}

// Fleet returns the state of every instance that the entry or another entry knows.
func (c *Client) Fleet(ctx context.Context) (toucanoperate.Fleet, error) {
	var out toucanoperate.Fleet
	return out, c.call(ctx, http.MethodGet, toucanoperate.PathFleet, nil, &out)
}

// Change sends a change. If the answer is lost, the change is sent again with the same id, so that it is made at most
// once. Change returns toucanchange.ErrOutcomeUnknown when the outcome is still unknown after all tries.
func (c *Client) Change(ctx context.Context, change toucanoperate.Change) (toucanoperate.Accepted, error) {
	return c.postUntilSettled(ctx, toucanoperate.PathChanges, change)
}

// Settle determines whether an earlier change was accepted. It returns toucanchange.ErrRefused when the change was not
// accepted and never will be, and toucanchange.ErrOutcomeUnknown when the outcome can't be determined.
func (c *Client) Settle(ctx context.Context, change toucanoperate.Change) (toucanoperate.Accepted, error) {
	return c.postUntilSettled(ctx, toucanoperate.PathSettle, change)
}

// postUntilSettled sends a change with exponential backoff until its outcome is known, at most changeTries times.
func (c *Client) postUntilSettled(ctx context.Context, path string, change toucanoperate.Change) (toucanoperate.Accepted, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	unsettled := false
	for try := 1; ; try++ {
		var out toucanoperate.Accepted
		err := c.call(ctx, http.MethodPost, path, change, &out)
		if err == nil || !isUnsettled(err) {
			return out, finalError(unsettled, err)
		}
		unsettled = unsettled || !errors.Is(err, ErrNotReached)
		if try == changeTries || !toucanwait.Sleep(ctx, wait.NextBackOff()) {
			return out, exhaustedError(unsettled, err)
		}
	}
}

// isUnsettled reports whether err leaves the outcome of the change unknown, so that the change is to be sent again.
func isUnsettled(err error) bool {
	var answered *APIError
	if errors.As(err, &answered) {
		return errors.Is(err, toucanchange.ErrOutcomeUnknown)
	}
	return true
}

// finalError returns the error to report after an answer that needs no further try. If the outcome of an earlier try is
// unknown, most errors only show that the last try failed, so finalError wraps them in toucanchange.ErrOutcomeUnknown.
// A conflict and a refusal by Settle are final, because no earlier try can be accepted any more.
func finalError(unsettled bool, err error) error {
	final := err == nil || errors.Is(err, toucanchange.ErrConflict) || errors.Is(err, toucanchange.ErrRefused)
	if unsettled && !final {
		return errors.Wrap(toucanchange.ErrOutcomeUnknown, err.Error())
	}
	return err
}

// exhaustedError returns the error to report when no try is left: ErrNotReached only if no try reached the entry,
// otherwise toucanchange.ErrOutcomeUnknown.
func exhaustedError(unsettled bool, err error) error {
	if unsettled && !errors.Is(err, toucanchange.ErrOutcomeUnknown) {
		return errors.Wrap(toucanchange.ErrOutcomeUnknown, err.Error())
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encoding request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(ErrNotReached, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeResponse(resp, out)
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotReached, op.Error())
	}
	return errors.Wrap(err, "no answer from the entry")
}

func decodeResponse(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "reading the entry's answer")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, out), "decoding the entry's answer")
	}
	var body toucanoperate.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return errors.Errorf("unexpected answer %s", resp.Status)
	}
	return &APIError{Status: resp.StatusCode, Body: body.Error}
}
