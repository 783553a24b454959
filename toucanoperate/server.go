package toucanoperate

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"toucanport/toucanchange"
	"toucanport/toucanhead"
	"toucanport/toucanpreview"
	"toucanport/toucanreplicate"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
)

// Limits of the operators' listener.
const (
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 2 << 20
	maxHeaderBytes    = 16 << 10
	// headMemoryBytes is the memory that the headers of all requests take, and maxConnections the number of connections, of which a
	// request in service takes two.
	headMemoryBytes = 4 << 20
	maxConnections  = 256
	// replicaWait is the maximum time that an accepted change waits until at least one sidecar holds it.
	replicaWait = time.Second
)

// StatusSource returns the state of this entry and of its linked sidecars. StoreAnswers is not set.
type StatusSource interface {
	Status() Status
}

// Config configures a Server.
type Config struct {
	Holder *toucanreplicate.Holder
	Writer *toucanchange.Writer
	// Local returns the status of this entry.
	Local StatusSource
	// StoreAnswers reports whether the platform's store answers this entry.
	StoreAnswers func() bool
	// Entries returns the addresses of the other entries' operators' listeners; nil means that there are none.
	Entries func() []string
	// BootstrapHash is the hash of the credential that is allowed to write the first operators' document; empty for
	// none.
	BootstrapHash string
	// Metrics handles the scrape path, which requires no credential; nil disables it.
	Metrics http.Handler
	// Preview handles questions where a request would go now; nil disables them.
	Preview http.Handler
	Log     *slog.Logger
	// Transport sends requests to the other entries; nil means http.DefaultTransport.
	Transport http.RoundTripper
}

// Server serves the operators' interface of an entry.
type Server struct {
	cfg  Config
	http *http.Server
	// gate limits the headers of requests before they are parsed.
	gate *toucanhead.Gate
}

// NewServer returns a Server, which does nothing until Run is called.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug),
	}
	s.gate = toucanhead.New(toucanhead.Limits{
		HeadBytes:   func() int { return maxHeaderBytes },
		MemoryBytes: headMemoryBytes,
		Connections: maxConnections,
	}, toucanhead.NewObserver(tally.NoopScope, cfg.Log).Observe)
	s.gate.Attach(s.http)
	return s
}

// Run accepts connections from ln and serves them until ctx is done.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(s.gate.Listen(ln))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Handler returns the handler of all paths of the interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Logger = s.cfg.Log
	e.HTTPErrorHandler = s.handleError
	e.GET(PathDocuments, s.requireCredential(s.listDocuments))
	e.GET(PathDocument, s.requireCredential(s.getDocument))
	e.POST(PathChanges, s.requireCredential(s.postChange))
	e.POST(PathSettle, s.requireCredential(s.postSettle))
	e.GET(PathStatus, s.requireCredential(s.getStatus))
	e.GET(PathFleet, s.requireCredential(s.getFleet))
	if s.cfg.Metrics != nil {
		e.GET(PathMetrics, echo.WrapHandler(s.cfg.Metrics))
	}
	if s.cfg.Preview != nil {
		e.GET(toucanpreview.Path, s.requireCredential(s.getPreview))
	}
	return e
}

// getPreview lets a team ask for its own workspaces only.
func (s *Server) getPreview(c *echo.Context, sender principal) error {
	team, _, _ := strings.Cut(c.QueryParam("workspace"), "/")
	if sender.bootstrap || !sender.Operator && team != sender.Name {
		return errors.Wrap(errForbidden, c.QueryParam("workspace"))
	}
	s.cfg.Preview.ServeHTTP(c.Response(), c.Request())
	return nil
}

// principal is the authenticated sender of a request.
type principal struct {
	toucansettings.Identity
	// bootstrap is true for the credential that is only allowed to write the first operators' document.
	bootstrap  bool
	credential string
}

// author returns the name that is recorded in a document's history.
func (p principal) author() string {
	if p.Operator {
		return "operator " + p.Name
	}
	return "team " + p.Name
}

// handler answers an authenticated request.
type handler func(c *echo.Context, sender principal) error

var (
	errUnauthorized = errors.New("send a credential as 'Authorization: Bearer CREDENTIAL'; this one is not valid")
	errForbidden    = errors.New("this credential is for another subtree")
)

// requireCredential returns a handler that refuses requests without a valid credential and limits the size of bodies.
func (s *Server) requireCredential(next handler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		credential, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok {
			return errUnauthorized
		}
		sender, ok := s.identify(credential)
		if !ok {
			return errUnauthorized
		}
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
		return next(c, sender)
	}
}

// identify returns the owner of a credential. It accepts the bootstrap credential only while there is no operators'
// document.
func (s *Server) identify(credential string) (principal, bool) {
	operators := s.cfg.Holder.Tree().Operators()
	if id, ok := operators.Identify(credential); ok {
		return principal{Identity: id, credential: credential}, true
	}
	bootstrap := operators.Revision == 0 && s.cfg.BootstrapHash != "" &&
		toucansettings.HashKey(credential) == s.cfg.BootstrapHash
	id := toucansettings.Identity{Operator: true, Name: "bootstrap"}
	return principal{Identity: id, bootstrap: bootstrap, credential: credential}, bootstrap
}

// checkMayChange returns errForbidden unless the principal is allowed to change the document from the base revision.
func (p principal) checkMayChange(document string, base uint64) error {
	if p.bootstrap && (document != toucansettings.OperatorsPath || base != 0) {
		return errors.Wrap(errForbidden, "the first credential may only write the first operators' document")
	}
	if !p.MayChange(document) {
		return errors.Wrap(errForbidden, document)
	}
	return nil
}

func (s *Server) listDocuments(c *echo.Context, sender principal) error {
	out := Documents{Documents: []toucanreplicate.Revision{}}
	for _, r := range s.cfg.Holder.Revisions() {
		if sender.MayChange(r.Path) {
			out.Documents = append(out.Documents, r)
		}
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Server) getDocument(c *echo.Context, sender principal) error {
	path, err := toucansettings.ParseDocumentPath(c.QueryParam("path"))
	if err != nil {
		return err
	}
	if !sender.MayChange(path) {
		return errors.Wrap(errForbidden, path)
	}
	source := SourceStore
	d, err := s.cfg.Writer.Read(c.Request().Context(), path)
	if errors.Is(err, toucanchange.ErrStoreDown) || errors.Is(err, toucanchange.ErrStoreBehind) {
		source = SourceInForce
		d, _ = s.cfg.Holder.Document(path)
		err = nil
	}
	if err != nil {
		return err
	}
	return writeDocument(c, d, source)
}

func writeDocument(c *echo.Context, d toucanrevision.Document, source Source) error {
	out := Document{Path: d.Path, Revision: d.Revision, Source: source, Tables: []Table{}, Changes: d.Changes}
	entries, err := d.Entries()
	if err != nil {
		return err
	}
	for _, e := range entries {
		out.Tables = append(out.Tables, Table{Path: e.Path.String(), Body: e.Body})
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Server) postChange(c *echo.Context, sender principal) error {
	change, err := bindChange(c, sender)
	if err != nil {
		return err
	}
	edits, err := change.parseEdits()
	if err != nil {
		return err
	}
	for _, e := range edits {
		if e.Path.Document != change.Document {
			return errors.Wrapf(toucansettings.ErrPath, "%s is not in %s", e.Path, change.Document)
		}
	}
	result, err := s.cfg.Writer.Apply(c.Request().Context(), toucanchange.Request{
		ID:       change.ID,
		Document: change.Document,
		Base:     change.Base,
		Author:   sender.author(),
		Edits:    edits,
		DryRun:   change.DryRun,
	})
	if err != nil {
		return &changeError{id: change.ID, err: err}
	}
	if !change.DryRun {
		s.applyAndReplicate(c.Request().Context(), result)
	}
	return c.JSON(http.StatusOK, newAccepted(change, result))
}

// bindChange decodes the change in the body of a request. It returns an error if the change is malformed or the sender is
// not allowed to make it.
func bindChange(c *echo.Context, sender principal) (Change, error) {
	var change Change
	if err := c.Bind(&change); err != nil {
		return change, errors.Wrap(errMalformed, err.Error())
	}
	if change.ID == "" {
		return change, errors.Wrap(errMalformed, "id is required")
	}
	document, err := toucansettings.ParseDocumentPath(change.Document)
	if err != nil {
		return change, err
	}
	change.Document = document
	return change, sender.checkMayChange(document, change.Base)
}

// applyAndReplicate puts the changed document in force at this entry and waits up to replicaWait until a linked sidecar
// holds it, so that the change can reach the other instances without this entry once its author has
// the answer.
func (s *Server) applyAndReplicate(ctx context.Context, result toucanchange.Result) {
	if _, err := s.cfg.Holder.Offer(result.Document); err != nil {
		s.cfg.Log.Error("accepted settings could not be applied", "document", result.Document.Path, "error", err.Error())
		return
	}
	r := toucanreplicate.Revision{Path: result.Document.Path, Revision: result.Document.Revision}
	if s.cfg.Holder.Linked() {
		s.cfg.Holder.AwaitReplica(ctx, r, replicaWait)
	}
}

func newAccepted(change Change, result toucanchange.Result) Accepted {
	return Accepted{
		ID:        change.ID,
		Document:  change.Document,
		Revision:  result.Revision,
		Unchanged: result.Unchanged,
	}
}

func (s *Server) postSettle(c *echo.Context, sender principal) error {
	change, err := bindChange(c, sender)
	if err != nil {
		return err
	}
	result, err := s.cfg.Writer.Settle(c.Request().Context(), change.Document, change.ID, sender.author(), change.Base)
	if err != nil {
		return &changeError{id: change.ID, err: err}
	}
	s.applyAndReplicate(c.Request().Context(), result)
	return c.JSON(http.StatusOK, newAccepted(change, result))
}

func (s *Server) getStatus(c *echo.Context, sender principal) error {
	return c.JSON(http.StatusOK, s.status(sender).compact())
}

// status returns this entry's status without the documents that the sender is not allowed to change.
func (s *Server) status(sender principal) Status {
	status := s.cfg.Local.Status()
	status.StoreAnswers = s.cfg.StoreAnswers()
	return visibleStatus(status, sender)
}

// visibleStatus returns the status without the documents that the sender is not allowed to change.
func visibleStatus(status Status, sender principal) Status {
	if sender.Operator {
		return status
	}
	status.Self.Documents = visibleDocuments(status.Self.Documents, sender)
	peers := make([]Instance, len(status.Peers))
	for i, p := range status.Peers {
		p.Documents = visibleDocuments(p.Documents, sender)
		peers[i] = p
	}
	status.Peers = peers
	return status
}

func visibleDocuments(revisions []toucanreplicate.Revision, sender principal) []toucanreplicate.Revision {
	var out []toucanreplicate.Revision
	for _, r := range revisions {
		if sender.MayChange(r.Path) {
			out = append(out, r)
		}
	}
	return out
}
