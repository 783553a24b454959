package toucanentry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"toucanport/toucanapi"
	"toucanport/toucanretry"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucanwait"
	"toucanport/toucanwire"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyBytes limits the length of an order's idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxCallBodyBytes limits the request body of a call to a plain service.
	maxCallBodyBytes = 4 << 20
)

// callService serves a call to a plain service.
func (e *Entry) callService(c *echo.Context, w toucansettings.Workspace) error {
	s, err := e.plainService(w, c.Param("service"))
	if err != nil {
		return err
	}
	call, err := e.newCall(c, w, s)
	if err != nil {
		return err
	}
	release, err := e.cfg.Limiter.Acquire(time.Now(), LimitsOf(w), 0)
	if err != nil {
		return e.correctOrderFailure(call, err)
	}
	defer release(time.Now(), 0)
	response, err := e.dispatchCall(c.Request().Context(), call)
	if err != nil {
		err = e.correctOrderFailure(call, err)
		e.logCall(call, 0, err)
		return err
	}
	e.logCall(call, int(response.Status), nil)
	return writeResponse(c, response)
}

// logCall logs the outcome of a call. status is zero if the endpoint did not answer.
func (e *Entry) logCall(call *toucanwire.Call, status int, err error) {
	outcome, ran := "completed", ""
	if err != nil {
		f := e.asFailure(err)
		outcome, ran = f.body.Code, f.body.Ran
	}
	e.log.Info("call",
		"requestId", call.RequestId,
		"workspace", call.Workspace,
		"service", call.Service,
		"method", call.Method,
		"keyed", toucanwire.IsOrder(call),
		"status", status,
		"outcome", outcome,
		"ran", ran,
	)
}

// correctOrderFailure changes `ran` of a failed order from "no" to "unknown", unless it is certain that no request
// with its idempotency key has run. A refused repeat must not report "no" if an earlier request may have run.
func (e *Entry) correctOrderFailure(call *toucanwire.Call, err error) error {
	if !toucanwire.IsOrder(call) {
		return err
	}
	f := *e.asFailure(err)
	if f.body.Ran == toucanwire.RanNo && !f.orderAbsent {
		f.body.Ran = toucanwire.RanUnknown
	}
	return &f
}

func (e *Entry) plainService(w toucansettings.Workspace, name string) (toucansettings.Service, error) {
	s, ok := e.cfg.Settings.Tree().Service(w.Team, name)
	if !ok || s.Kind != toucansettings.KindPlain || !slices.Contains(w.Services, name) {
		return s, newFailure(http.StatusNotFound, CodeUnknownService, "there is no service "+strconv.Quote(name)+" for this workspace")
	}
	return s, nil
}

func (e *Entry) newCall(c *echo.Context, w toucansettings.Workspace, s toucansettings.Service) (*toucanwire.Call, error) {
	key := c.Request().Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, &toucanapi.BadRequestError{Field: headerIdempotencyKey, Message: "must have at most 255 bytes"}
	}
	deadline, err := startDeadline(c)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxCallBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if len(body) > maxCallBodyBytes {
		return nil, toucanapi.ErrBodyTooLarge
	}
	return &toucanwire.Call{
		RequestId:          requestID(c),
		Workspace:          WorkspaceKey(w),
		Service:            ServiceKey(s),
		Method:             c.Request().Method,
		Path:               callPath(c, s.Name),
		Headers:            callHeaders(c.Request().Header),
		Body:               body,
		IdempotencyKey:     key,
		DeadlineUnixMillis: deadline.UnixMilli(),
	}, nil
}

// callPath returns the escaped path after the service's name, with the raw query.
func callPath(c *echo.Context, service string) string {
	u := c.Request().URL
	path := strings.TrimPrefix(u.EscapedPath(), "/services/"+service)
	if path == "" {
		path = "/"
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// callHeaders returns the headers to forward to the endpoint, without the caller's workspace key.
func callHeaders(h http.Header) []*toucanwire.Header {
	h = h.Clone()
	h.Del("Authorization")
	return toucanwire.EndToEndHeaders(h)
}

func (e *Entry) dispatchCall(ctx context.Context, call *toucanwire.Call) (*toucanwire.CallResponse, error) {
	deadline := time.UnixMilli(call.DeadlineUnixMillis)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	query := toucanroute.Query{Service: call.Service, Key: call.IdempotencyKey}
	plan := toucanretry.NewPlan(time.Now(), e.cfg.Budget, call.Service, deadline)
	mayHaveRun := false
	for {
		if endedByStop(ctx) {
			return nil, stoppingFailure(&progress{mayHaveRun: mayHaveRun})
		}
		ep, err := e.pick(ctx, query, deadline)
		if err != nil {
			return nil, e.noEndpoint(err, &progress{mayHaveRun: mayHaveRun})
		}
		response, res := e.callEndpoint(ctx, ep, query, call)
		if response != nil {
			return response, nil
		}
		ref := res.refusal
		mayHaveRun = mayHaveRun || ref.Ran != toucanwire.RanNo
		f := toucanretry.Failure{
			NotRun:     canTryOtherEndpoint(ref),
			Idempotent: isIdempotent(call.Method),
			Draining:   ref.Code == toucanwire.CodeLeaving,
			Unsent:     res.unsent,
		}
		delay, again := plan.Next(time.Now(), f)
		if !again || !toucanwait.Sleep(ctx, delay) {
			return nil, failureFromRefusal(correctRan(res, &progress{mayHaveRun: mayHaveRun}).refusal)
		}
		query.Exclude = append(query.Exclude, ep.Name)
	}
}

// canTryOtherEndpoint reports whether the call has not run and another endpoint may accept it. A store outage and a
// reused idempotency key lead to the same refusal at every endpoint.
func canTryOtherEndpoint(ref *toucanwire.Refusal) bool {
	switch ref.Code {
	case toucanwire.CodeStoreUnavailable, toucanwire.CodeKeyReused:
		return false
	}
	return ref.Ran == toucanwire.RanNo
}

// isIdempotent reports whether HTTP defines the method as idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// callEndpoint sends a call to one endpoint once and records the outcome in the router. The result has a refusal if the
// response is nil.
func (e *Entry) callEndpoint(ctx context.Context, ep toucanroute.Endpoint, q toucanroute.Query, call *toucanwire.Call) (*toucanwire.CallResponse, result) {
	sent := time.Now()
	e.cfg.Router.RecordSent(sent, ep.Name, q)
	response, res := e.tryCall(ctx, ep, call)
	outcome := toucanroute.Completed
	switch ref := res.refusal; {
	case ref != nil && ref.Ran == toucanwire.RanNo && ref.Code != toucanwire.CodeEndpointFailed:
		outcome = toucanroute.Refused
	case ref != nil:
		outcome = toucanroute.Failed
	}
	e.cfg.Router.RecordOutcome(time.Now(), ep.Name, q, outcome, time.Since(sent))
	return response, res
}

func (e *Entry) tryCall(ctx context.Context, ep toucanroute.Endpoint, call *toucanwire.Call) (*toucanwire.CallResponse, result) {
	p, err := e.links.Get(ctx, ep.Address.String())
	if err != nil {
		return nil, notConnectedResult()
	}
	stream, err := p.Open(&toucanwire.Open{Request: &toucanwire.Open_Call{Call: call}})
	if err != nil {
		return nil, sidecarLostResult()
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetReadDeadline(time.Now()) })
	defer stop()
	event := &toucanwire.Event{}
	if err := stream.Receive(event); err != nil {
		return nil, sidecarLostResult()
	}
	e.applyReport(event.Load)
	switch ev := event.Event.(type) {
	case *toucanwire.Event_Response:
		return ev.Response, result{}
	case *toucanwire.Event_Refusal:
		return nil, result{refusal: ev.Refusal}
	}
	return nil, sidecarLostResult()
}

// headerReplayed marks an answer that was recorded for an earlier order with the same idempotency key.
const headerReplayed = "Idempotent-Replayed"

func writeResponse(c *echo.Context, r *toucanwire.CallResponse) error {
	w := c.Response()
	for _, h := range r.Headers {
		w.Header()[h.Name] = h.Values
	}
	if r.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	setWriteDeadline(c)
	w.WriteHeader(int(r.Status))
	_, err := w.Write(r.Body)
	return errors.Wrap(err, "write answer")
}
