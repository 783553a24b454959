// Package toucanclient is the typed client of an entry's operators' interface.
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
	// ErrNotReached is returned when no connection to the entry came about; nothing was sent.
	ErrNotReached = errors.New("entry not reached")
	// ErrDenied is returned for a credential that is not valid or is for another subtree.
	ErrDenied = errors.New("credential not accepted")
	// ErrNotFound is returned for a path with nothing at it.
	ErrNotFound = errors.New("not found")
)

// APIError is an error that an entry answered with.
type APIError struct {
	Status int
	Body   toucanoperate.Error
}

// Error implements error.
func (e *APIError) Error() string { return e.Body.Message }

var kindOf = map[string]error{
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

// Is makes the error match the sentinel of its code.
func (e *APIError) Is(target error) bool { return kindOf[e.Body.Code] == target }

const (
	defaultTimeout = 15 * time.Second
	maxAnswerBytes = 32 << 20
	// changeTries is how often one change is sent while its outcome is open.
	changeTries  = 4
	firstBackoff = 200 * time.Millisecond
)

// Client speaks to one entry. It is safe for concurrent use.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// Option changes a Client.
type Option func(*Client)

// WithTransport sends requests through t.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// New returns a client of the entry whose operators' listener is at address, an IP:PORT.
func New(address, credential string, opts ...Option) *Client {
	c := &Client{base: "http://" + address, credential: credential, http: &http.Client{Timeout: defaultTimeout}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Documents lists the documents that the credential may change.
func (c *Client) Documents(ctx context.Context) (toucanoperate.Documents, error) {
	var out toucanoperate.Documents
	return out, c.call(ctx, http.MethodGet, toucanoperate.PathDocuments, nil, &out)
}

// Document returns one document. An absent one is empty, at revision 0.
func (c *Client) Document(ctx context.Context, path string) (toucanoperate.Document, error) {
	var out toucanoperate.Document
	query := "?path=" + url.QueryEscape(path)
	return out, c.call(ctx, http.MethodGet, toucanoperate.PathDocument+query, nil, &out)
}

// Fleet returns the state of every instance that the entry can learn of.
func (c *Client) Fleet(ctx context.Context) (toucanoperate.Fleet, error) {
	var out toucanoperate.Fleet
	return out, c.call(ctx, http.MethodGet, toucanoperate.PathFleet, nil, &out)
}

// Change makes a change. A lost answer is settled by sending the same id again, so that the change is made
// at most once; toucanchange.ErrOutcomeUnknown is returned when that does not settle it.
func (c *Client) Change(ctx context.Context, change toucanoperate.Change) (toucanoperate.Accepted, error) {
	return c.settled(ctx, toucanoperate.PathChanges, change)
}

// Settle says for certain whether a change was accepted; toucanchange.ErrRefused means that it was not and
// won't be.
func (c *Client) Settle(ctx context.Context, change toucanoperate.Change) (toucanoperate.Accepted, error) {
	return c.settled(ctx, toucanoperate.PathSettle, change)
}

func (c *Client) settled(ctx context.Context, path string, change toucanoperate.Change) (toucanoperate.Accepted, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	open := false
	for try := 1; ; try++ {
		var out toucanoperate.Accepted
		err := c.call(ctx, http.MethodPost, path, change, &out)
		if err == nil || !isOpen(err) {
			return out, afterOpen(open, err)
		}
		open = open || !errors.Is(err, ErrNotReached)
		if try == changeTries || !toucanwait.Sleep(ctx, wait.NextBackOff()) {
			return out, given(open, err)
		}
	}
}

// isOpen reports whether sending again may settle the matter.
func isOpen(err error) bool {
	var answered *APIError
	if errors.As(err, &answered) {
		return errors.Is(err, toucanchange.ErrOutcomeUnknown)
	}
	return true
}

// afterOpen keeps a refusal that says nothing about earlier tries from being told as final. A conflict and a
// settled refusal are final: no try that is still under way can land any more.
func afterOpen(open bool, err error) error {
	final := err == nil || errors.Is(err, toucanchange.ErrConflict) || errors.Is(err, toucanchange.ErrRefused)
	if open && !final {
		return errors.Wrap(toucanchange.ErrOutcomeUnknown, err.Error())
	}
	return err
}

func given(open bool, err error) error {
	if open && !errors.Is(err, toucanchange.ErrOutcomeUnknown) {
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
	return read(resp, out)
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotReached, op.Error())
	}
	return errors.Wrap(err, "no answer from the entry")
}

func read(resp *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "answer cut short")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(data, out), "malformed answer")
	}
	var body toucanoperate.ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return errors.Errorf("unexpected answer %s", resp.Status)
	}
	return &APIError{Status: resp.StatusCode, Body: body.Error}
}
