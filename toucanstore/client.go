package toucanstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"toucanport/toucanupstream"
	"toucanport/toucanwait"
)

// Default limits of a client.
const (
	defaultReadsPerSecond  = 20
	defaultWritesPerSecond = 15
	defaultTries           = 3
	defaultTimeout         = 2 * time.Second
	firstBackoff           = 20 * time.Millisecond
	maxBackoff             = time.Second
	// maxTransferTime limits the time in which a reply arrives after its first byte, whatever its size.
	maxTransferTime = 30 * time.Second
	// maxReplyBytes bounds the body of one reply.
	maxReplyBytes = 32 << 20
)

// Counts are the numbers of calls that a client has sent, each attempt counted. A watch counts once, however long
// it waits.
type Counts struct {
	Reads, Writes, Watches int64
}

// Client is a Store over HTTP, for the platform's key-value service. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	tries   uint
	timeout time.Duration
	wait    time.Duration
	scope   tally.Scope
	flights singleflight.Group
	// writeEpoch is incremented when a write begins and when it ends, so that a read never shares the result of
	// a read that began before the write.
	writeEpoch atomic.Uint64

	readCount, writeCount, watchCount atomic.Int64
}

var _ Store = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTransport sets the transport of the calls.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithBudget sets the rate limits of this client's calls. Watches count as reads.
func WithBudget(readsPerSecond, writesPerSecond float64) Option {
	return func(c *Client) {
		c.reads = newLimiter(readsPerSecond)
		c.writes = newLimiter(writesPerSecond)
	}
}

// WithTries bounds the attempts of one call. A call is repeated only if the store certainly did not execute it.
func WithTries(n uint) Option {
	return func(c *Client) { c.tries = n }
}

// WithTimeout bounds the time until the reply to an attempt begins to arrive, and the time between two of its parts. For a
// watch, the waiting time is added to the first.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithWait bounds the time that a watch waits for a change, at most MaxWait.
func WithWait(d time.Duration) Option {
	return func(c *Client) { c.wait = min(d, MaxWait) }
}

// WithScope reports call counts and latencies to s.
func WithScope(s tally.Scope) Option {
	return func(c *Client) { c.scope = s }
}

// NewClient returns a client of the service at the URL base, such as http://127.0.0.1:8500.
func NewClient(base string, opts ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{},
		reads:   newLimiter(defaultReadsPerSecond),
		writes:  newLimiter(defaultWritesPerSecond),
		tries:   defaultTries,
		timeout: defaultTimeout,
		wait:    MaxWait,
		scope:   tally.NoopScope,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.http.Transport = toucanupstream.CheckStatus(c.http.Transport)
	return c
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Counts returns the calls sent so far.
func (c *Client) Counts() Counts {
	return Counts{Reads: c.readCount.Load(), Writes: c.writeCount.Load(), Watches: c.watchCount.Load()}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	values, err := c.sharedRead(ctx, "get", key, "")
	if err != nil {
		return Value{}, err
	}
	if len(values) == 0 {
		return Value{}, errors.Wrapf(ErrNotFound, "get %s", key)
	}
	return values[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	return c.sharedRead(ctx, "list", prefix, "&recurse=")
}

// sharedRead sends one read for all concurrent callers with the same key. The read does not end with the first
// caller's ctx, so that its cancellation does not fail the other callers.
func (c *Client) sharedRead(ctx context.Context, verb, key, query string) ([]Value, error) {
	flight := fmt.Sprintf("%s %s %d", verb, key, c.writeEpoch.Load())
	ch := c.flights.DoChan(flight, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (c.timeout+maxTransferTime)*time.Duration(c.tries))
		defer cancel()
		return c.read(ctx, verb, key, query)
	})
	select {
	case r := <-ch:
		values, _ := r.Val.([]Value)
		return values, r.Err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrUnavailable, "%s %s: %v", verb, key, ctx.Err())
	}
}

func (c *Client) read(ctx context.Context, verb, key, query string) ([]Value, error) {
	call := call{verb: verb, method: http.MethodGet, path: kvPath(key) + "?consistent=" + query, timeout: c.timeout}
	reply, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	return reply.values()
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, body []byte, expected uint64, opts ...SwapOption) (uint64, error) {
	if len(body) > MaxValueBytes {
		return 0, errors.Wrapf(ErrTooLarge, "swap %s: %d bytes", key, len(body))
	}
	ops := []TxnOp{{KV: TxnKV{Verb: VerbCAS, Key: key, Value: body, Index: expected}}}
	if o := NewSwapOptions(opts...); o.LeaseID != "" {
		ops = append(ops, TxnOp{KV: TxnKV{Verb: VerbLock, Key: key, Value: body, Session: o.LeaseID}})
	}
	reply, err := c.write(ctx, "swap", http.MethodPut, PathTxn, ops)
	if err != nil {
		return 0, err
	}
	var txn TxnReply
	if err := json.Unmarshal(reply.body, &txn); err != nil || len(txn.Results) == 0 {
		return 0, errors.Wrapf(ErrUnknownOutcome, "swap %s: malformed reply", key)
	}
	return txn.Results[len(txn.Results)-1].KV.ModifyIndex, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	path := kvPath(key) + "?cas=" + strconv.FormatUint(expected, 10)
	reply, err := c.write(ctx, "delete", http.MethodDelete, path, nil)
	if err != nil {
		return err
	}
	if strings.TrimSpace(string(reply.body)) != "true" {
		return errors.Wrapf(ErrConflict, "delete %s", key)
	}
	return nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Value, uint64, error) {
	path := fmt.Sprintf("%s?recurse=&index=%d&wait=%s", kvPath(prefix), after, c.wait)
	call := call{verb: "watch", method: http.MethodGet, path: path, timeout: c.wait + c.timeout, watch: true}
	reply, err := c.send(ctx, call)
	if err != nil {
		return nil, after, err
	}
	values, err := reply.values()
	if err != nil {
		return nil, after, err
	}
	if reply.index < after {
		return values, reply.index, nil
	}
	return changedAfter(values, after), reply.index, nil
}

func changedAfter(values []Value, after uint64) []Value {
	var changed []Value
	for _, v := range values {
		if v.Revision > after {
			changed = append(changed, v)
		}
	}
	return changed
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	s := Session{TTL: ttl.String(), Behavior: BehaviorDelete, LockDelay: "0s"}
	reply, err := c.write(ctx, "grant", http.MethodPut, PathSessionCreate, s)
	if err != nil {
		return Lease{}, err
	}
	if err := json.Unmarshal(reply.body, &s); err != nil || s.ID == "" {
		return Lease{}, errors.Wrap(ErrUnknownOutcome, "grant lease: malformed reply")
	}
	return Lease{ID: s.ID, TTL: ttl}, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, l Lease) error {
	_, err := c.write(ctx, "renew", http.MethodPut, PathSessionRenew+l.ID, nil)
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, l Lease) error {
	_, err := c.write(ctx, "revoke", http.MethodPut, PathSessionDestroy+l.ID, nil)
	return err
}

func (c *Client) write(ctx context.Context, verb, method, path string, body any) (reply, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return reply{}, errors.Wrap(err, verb)
		}
	}
	c.writeEpoch.Add(1)
	defer c.writeEpoch.Add(1)
	return c.send(ctx, call{verb: verb, method: method, path: path, body: encoded, timeout: c.timeout, write: true})
}

// call describes one request to the service.
type call struct {
	verb, method, path string
	body               []byte
	timeout            time.Duration
	// write is true when the call can change the store. Its outcome is unknown when the reply is lost.
	write bool
	// watch is true for a watch, which is counted separately from other reads.
	watch bool
}

type reply struct {
	body  []byte
	index uint64
}

func (r reply) values() ([]Value, error) {
	if len(r.body) == 0 {
		return nil, nil
	}
	var pairs []KVPair
	if err := json.Unmarshal(r.body, &pairs); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "malformed reply: %v", err)
	}
	values := make([]Value, len(pairs))
	for i, p := range pairs {
		values[i] = Value{Key: p.Key, Body: p.Value, Revision: p.ModifyIndex}
	}
	return values, nil
}

// send makes the call. After ErrUnavailable, which means that the store did not execute it, send retries with
// jittered backoff until the tries are used up.
func (c *Client) send(ctx context.Context, cl call) (reply, error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = maxBackoff
	attempt := func() (reply, error) {
		r, err := c.attempt(ctx, cl)
		if err != nil && !errors.Is(err, ErrUnavailable) {
			return r, backoff.Permanent(err)
		}
		return r, err
	}
	r, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(b), backoff.WithMaxTries(c.tries))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		err = permanent.Unwrap()
	}
	return r, wrapCancelled(err, cl.verb)
}

// wrapCancelled wraps a context's error, which the backoff returns between two attempts, in ErrUnavailable.
func wrapCancelled(err error, verb string) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return errors.Wrapf(ErrUnavailable, "%s: %v", verb, err)
	}
	return err
}

func (c *Client) attempt(ctx context.Context, cl call) (reply, error) {
	if err := c.limiter(cl).Wait(ctx); err != nil {
		return reply{}, errors.Wrapf(ErrUnavailable, "%s: budget of calls: %v", cl.verb, err)
	}
	limits := toucanwait.TransferLimits{Begin: cl.timeout, Stall: c.timeout, Total: cl.timeout + maxTransferTime}
	ctx, progress, cancel := toucanwait.WithProgress(ctx, limits)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, cl.method, c.base+cl.path, bytes.NewReader(cl.body))
	if err != nil {
		return reply{}, errors.Wrap(err, cl.verb)
	}
	// Without GetBody the transport can't rewind the body, and so does not repeat a request by itself.
	req.GetBody = nil
	c.count(cl)
	started := time.Now()
	resp, err := c.http.Do(req)
	c.scope.Tagged(map[string]string{"verb": cl.verb}).Timer("store_call").Record(time.Since(started))
	if err != nil {
		return reply{}, noReplyError(cl, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(toucanwait.NewReader(http.MaxBytesReader(nil, resp.Body, maxReplyBytes), progress))
	if err != nil {
		return reply{}, noReplyError(cl, err)
	}
	return readReply(cl, resp, body)
}

func (c *Client) limiter(cl call) *rate.Limiter {
	if cl.write {
		return c.writes
	}
	return c.reads
}

func (c *Client) count(cl call) {
	switch {
	case cl.watch:
		c.watchCount.Add(1)
	case cl.write:
		c.writeCount.Add(1)
	default:
		c.readCount.Add(1)
	}
}

// noReplyError returns the error for a call without a reply. The outcome of a write is unknown, unless the
// connection could not be opened, which proves that the store did not execute it.
func noReplyError(cl call, err error) error {
	var op *net.OpError
	if !cl.write || (errors.As(err, &op) && op.Op == "dial") {
		return errors.Wrapf(ErrUnavailable, "%s: %v", cl.verb, err)
	}
	return errors.Wrapf(ErrUnknownOutcome, "%s: %v", cl.verb, err)
}

func readReply(cl call, resp *http.Response, body []byte) (reply, error) {
	index, _ := strconv.ParseUint(resp.Header.Get(HeaderIndex), 10, 64)
	switch {
	case resp.StatusCode == http.StatusOK:
		return reply{body: body, index: index}, nil
	case resp.StatusCode == http.StatusNotFound && !cl.write:
		return reply{index: index}, nil
	case resp.StatusCode == http.StatusNotFound:
		return reply{}, errors.Wrap(ErrNotFound, cl.verb)
	case resp.StatusCode == http.StatusConflict:
		return reply{}, errors.Wrap(ErrConflict, cl.verb)
	case resp.StatusCode == http.StatusRequestEntityTooLarge:
		return reply{}, errors.Wrap(ErrTooLarge, cl.verb)
	case resp.StatusCode == http.StatusTooManyRequests:
		return reply{}, errors.Wrapf(ErrUnavailable, "%s: rate limit of the store", cl.verb)
	case resp.StatusCode < http.StatusInternalServerError:
		return reply{}, errors.Errorf("store: %s: status %d: %s", cl.verb, resp.StatusCode, body)
	case cl.write:
		return reply{}, errors.Wrapf(ErrUnknownOutcome, "%s: status %d", cl.verb, resp.StatusCode)
	}
	return reply{}, errors.Wrapf(ErrUnavailable, "%s: status %d", cl.verb, resp.StatusCode)
}

func kvPath(key string) string {
	return PathKV + strings.ReplaceAll(url.PathEscape(key), "%2F", "/")
}
