package toucanentry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"toucanport/toucanapi"
	"toucanport/toucanlimit"
	"toucanport/toucanroute"
	"toucanport/toucansettings"
	"toucanport/toucanstream"
	"toucanport/toucanwire"
)

// Headers of requests for generations and of their answers.
const (
	headerGenerationID = "Toucan-Generation-Id"
	headerClass        = "Toucan-Class"
	headerTimeout      = "Toucan-Timeout"
	headerLastEventID  = "Last-Event-ID"
)

// maxBriefTokens is the highest token limit of a request that gets the class "brief" if it has no class header.
const maxBriefTokens = 256

const (
	classBrief = "brief"
	classPlan  = "plan"
)

func (e *Entry) chat(c *echo.Context, w toucansettings.Workspace) error {
	r, err := toucanapi.ParseChat(c.Request().Body)
	if err != nil {
		return err
	}
	return e.serveGeneration(c, w, r)
}

func (e *Entry) completion(c *echo.Context, w toucansettings.Workspace) error {
	r, err := toucanapi.ParseCompletion(c.Request().Body)
	if err != nil {
		return err
	}
	return e.serveGeneration(c, w, r)
}

func (e *Entry) serveGeneration(c *echo.Context, w toucansettings.Workspace, r toucanapi.Request) error {
	s, err := e.generationService(w, r.Model)
	if err != nil {
		return err
	}
	gen, err := e.newGeneration(c, w, s, r)
	if err != nil {
		return err
	}
	release, err := e.cfg.Limiter.Acquire(time.Now(), LimitsOf(w), r.PromptTokens)
	if err != nil {
		return err
	}
	tokens := 0
	defer func() { release(time.Now(), r.PromptTokens+tokens) }()
	series := e.callers.Series(gen.workspace, gen.message.Class)
	out := &measuredSink{answerSink: newSink(c, r), generation: series.Begin(time.Now())}
	res, prog, err := e.dispatch(c.Request().Context(), gen, out)
	tokens = prog.next
	e.logGeneration(gen, res, prog, err)
	return e.finishAnswer(c, out, res, err)
}

// logGeneration logs the outcome of a generation. It also counts a refusal after the first token, because handleError
// is not called for it.
func (e *Entry) logGeneration(gen *generationRequest, res result, prog *progress, err error) {
	outcome, ran := "completed", ""
	switch {
	case res.refusal != nil:
		outcome, ran = res.refusal.Code, res.refusal.Ran
	case err != nil:
		outcome = "unanswered"
	}
	if res.refusal != nil && prog.next > 0 {
		e.callers.Refused(outcome, ran)
	}
	e.log.Info("generation",
		"requestId", gen.message.RequestId,
		"workspace", gen.workspace,
		"service", gen.message.Service,
		"class", gen.message.Class,
		"endpoint", prog.endpoint.Name,
		"failureDomain", prog.endpoint.FailureDomain,
		"attempts", prog.attempts,
		"tokens", prog.next,
		"outcome", outcome,
		"ran", ran,
		"error", errorText(err),
	)
}

// finishAnswer writes the end or the error of an answer.
func (e *Entry) finishAnswer(c *echo.Context, out answerSink, res result, err error) error {
	if err != nil {
		return out.fail(err)
	}
	if res.refusal != nil {
		return out.fail(e.requestFailure(c, failureFromRefusal(res.refusal)))
	}
	return out.end(res.end)
}

func (e *Entry) requestFailure(c *echo.Context, f *failure) *failure {
	f.body.RequestID = requestID(c)
	f.body.Type = errorType(f.status)
	return f
}

func (e *Entry) generationService(w toucansettings.Workspace, model string) (toucansettings.Service, error) {
	s, ok := e.cfg.Settings.Tree().Service(w.Team, model)
	if !ok || s.Kind != toucansettings.KindGeneration || !slices.Contains(w.Services, model) {
		return s, newFailure(http.StatusNotFound, CodeUnknownModel, "model: there is no model "+strconv.Quote(model)+" for this workspace; see /v1/models")
	}
	return s, nil
}

func (e *Entry) newGeneration(c *echo.Context, w toucansettings.Workspace, s toucansettings.Service, r toucanapi.Request) (*generationRequest, error) {
	deadline, err := startDeadline(c)
	if err != nil {
		return nil, err
	}
	class, err := classOf(c, r)
	if err != nil {
		return nil, err
	}
	return &generationRequest{
		message: &toucanwire.Generate{
			RequestId:          requestID(c),
			Workspace:          WorkspaceKey(w),
			Service:            ServiceKey(s),
			Model:              s.Model,
			Class:              class,
			Prompt:             r.Prompt,
			Chat:               r.Chat,
			PromptTokens:       uint32(r.PromptTokens),
			MaxTokens:          uint32(r.MaxTokens),
			DeadlineUnixMillis: deadline.UnixMilli(),
			Weight:             w.Weight,
			PrefixHash:         r.PrefixHash,
			Parameters:         r.Parameters,
		},
		workspace: WorkspaceKey(w),
		query: toucanroute.Query{
			Service:      ServiceKey(s),
			PrefixHash:   r.PrefixHash,
			PromptTokens: r.PromptTokens,
			MaxTokens:    r.MaxTokens,
		},
		chat:     r.Chat,
		deadline: deadline,
	}, nil
}

// WorkspaceKey returns a name of the workspace that is unique across teams.
func WorkspaceKey(w toucansettings.Workspace) string { return w.Team + "/" + w.Name }

// LimitsOf returns the limits of a workspace.
func LimitsOf(w toucansettings.Workspace) toucanlimit.Workspace {
	return toucanlimit.Workspace{
		Name:               WorkspaceKey(w),
		ConcurrentRequests: w.ConcurrentRequests,
		TokensPerMinute:    w.TokensPerMinute,
	}
}

// startDeadline returns the time by which the answer must have started.
func startDeadline(c *echo.Context) (time.Time, error) {
	text := c.Request().Header.Get(headerTimeout)
	if text == "" {
		return time.Now().Add(DefaultStartWithin), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return time.Time{}, &toucanapi.BadRequestError{Field: headerTimeout, Message: "must be a duration such as 20s"}
	}
	return time.Now().Add(d), nil
}

func classOf(c *echo.Context, r toucanapi.Request) (string, error) {
	switch class := c.Request().Header.Get(headerClass); class {
	case classBrief, classPlan:
		return class, nil
	case "":
		if r.MaxTokens > 0 && r.MaxTokens <= maxBriefTokens {
			return classBrief, nil
		}
		return classPlan, nil
	}
	return "", &toucanapi.BadRequestError{Field: headerClass, Message: `must be "brief" or "plan"`}
}

// resumeGeneration streams a generation to the caller, starting after the event of Last-Event-ID.
func (e *Entry) resumeGeneration(c *echo.Context, w toucansettings.Workspace) error {
	text := c.Param("id")
	id, err := e.cfg.Signer.Verify(text, WorkspaceKey(w))
	if err != nil {
		return unknownGeneration()
	}
	next, err := nextIndex(c.Request().Header.Get(headerLastEventID), text)
	if err != nil {
		return err
	}
	out := newSink(c, toucanapi.Request{Chat: id.Chat, Stream: true, IncludeUsage: true, Model: e.serviceAt(id, w)})
	if err := out.begin(text); err != nil {
		return err
	}
	a := &attempt{
		entry:     e,
		id:        text,
		workspace: WorkspaceKey(w),
		address:   id.Address,
		readerID:  e.newReaderID(),
		takeover:  true,
		prog:      &progress{next: next, mayHaveRun: true},
		out:       out,
	}
	ctx := c.Request().Context()
	res, err := a.resume(ctx)
	if ctx.Err() != nil && !endedByStop(ctx) {
		go a.cancel()
	}
	if err != nil && ctx.Err() != nil {
		err = endedError(ctx, a.prog)
	}
	return e.finishAnswer(c, out, res, err)
}

func unknownGeneration() *failure {
	f := newFailure(http.StatusNotFound, toucanwire.CodeUnknownGeneration, "there is no such generation")
	f.body.Ran = toucanwire.RanUnknown
	return f
}

// nextIndex returns the index after that of the last event id, or 0 if lastEventID is empty.
func nextIndex(lastEventID, id string) (int, error) {
	if lastEventID == "" {
		return 0, nil
	}
	bad := &toucanapi.BadRequestError{Field: headerLastEventID, Message: "must be the id of an event of this generation"}
	text, ok := strings.CutPrefix(lastEventID, id+":")
	if !ok {
		return 0, bad
	}
	index, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, bad
	}
	return int(index) + 1, nil
}

// serviceAt returns the name of the workspace's service that has an endpoint at the generation's address, or "" if
// there is none.
func (e *Entry) serviceAt(id toucanstream.ID, w toucansettings.Workspace) string {
	tree := e.cfg.Settings.Tree()
	for _, name := range w.Services {
		for _, ep := range tree.Endpoints(w.Team, name) {
			if ep.Address == id.Address {
				return name
			}
		}
	}
	return ""
}

func (e *Entry) cancelGeneration(c *echo.Context, w toucansettings.Workspace) error {
	text := c.Param("id")
	id, err := e.cfg.Signer.Verify(text, WorkspaceKey(w))
	if err != nil {
		return unknownGeneration()
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), cancelWindow)
	defer cancel()
	if err := e.tryCancel(ctx, id.Address, &toucanwire.Cancel{GenerationId: text, Workspace: WorkspaceKey(w)}); err != nil {
		f := newFailure(http.StatusBadGateway, toucanwire.CodeEndpointFailed, "the cancel did not reach the endpoint; it may still run")
		f.body.Ran, f.body.Retryable = toucanwire.RanUnknown, true
		return f
	}
	return c.NoContent(http.StatusNoContent)
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (e *Entry) listModels(c *echo.Context, w toucansettings.Workspace) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range w.Services {
		s, ok := e.cfg.Settings.Tree().Service(w.Team, name)
		if ok && s.Kind == toucansettings.KindGeneration {
			list.Data = append(list.Data, model{ID: s.Name, Object: "model", OwnedBy: s.Team})
		}
	}
	return c.JSON(http.StatusOK, list)
}

// errCallerDisconnected is returned by sinks when a write to the caller fails.
var errCallerDisconnected = errors.New("write to the caller failed")

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
