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

	"toucanport/toucanchange"
	"toucanport/toucanrevision"
	"toucanport/toucansettings"
	"toucanport/toucanspread"
)

// Bounds of the operators' listener.
const (
	readHeaderTimeout = 5 * time.Second
	maxBodyBytes      = 2 << 20
	maxHeaderBytes    = 16 << 10
	// replicaWait bounds how long an accepted change waits for a first sidecar to hold it.
	replicaWait = time.Second
)

// Local tells the state of this entry and of the sidecars that it hears; StoreAnswers is left out.
type Local interface {
	Status() Status
}

// Config says what a server serves.
type Config struct {
	Holder *toucanspread.Holder
	Writer *toucanchange.Writer
	Local  Local
	// StoreAnswers reports whether the platform's store answers this entry.
	StoreAnswers func() bool
	// Entries returns the operators' addresses of the other entries; nil means none.
	Entries func() []string
	// BootstrapHash lets its credential write the first operators' document; empty for none.
	BootstrapHash string
	// Metrics serves the scrape endpoint, which asks for no credential; nil means none.
	Metrics http.Handler
	Log     *slog.Logger
	// Transport reaches the other entries; nil means the default.
	Transport http.RoundTripper
}

// Server is the operators' interface of an entry.
type Server struct {
	cfg  Config
	http *http.Server
}

// NewServer returns a server that does nothing until Run.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug),
	}
	return s
}

// Run serves operators from ln until ctx is done.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.Logger = s.cfg.Log
	e.HTTPErrorHandler = s.handleError
	e.GET(PathDocuments, s.authenticated(s.listDocuments))
	e.GET(PathDocument, s.authenticated(s.getDocument))
	e.POST(PathChanges, s.authenticated(s.postChange))
	e.POST(PathSettle, s.authenticated(s.postSettle))
	e.GET(PathStatus, s.authenticated(s.getStatus))
	e.GET(PathFleet, s.authenticated(s.getFleet))
	if s.cfg.Metrics != nil {
		e.GET(PathMetrics, echo.WrapHandler(s.cfg.Metrics))
	}
	return e
}

// caller is who a request comes from.
type caller struct {
	toucansettings.Identity
	// bootstrap is true for the credential that may only write the first operators' document.
	bootstrap  bool
	credential string
}

func (c caller) author() string {
	if c.Operator {
		return "operator " + c.Name
	}
	return "team " + c.Name
}

type handler func(c *echo.Context, from caller) error

var (
	errUnauthorized = errors.New("send a credential as 'Authorization: Bearer CREDENTIAL'; this one is not valid")
	errForbidden    = errors.New("this credential is for another subtree")
)

func (s *Server) authenticated(next handler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		credential, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok {
			return errUnauthorized
		}
		from, ok := s.identify(credential)
		if !ok {
			return errUnauthorized
		}
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
		return next(c, from)
	}
}

func (s *Server) identify(credential string) (caller, bool) {
	operators := s.cfg.Holder.Tree().Operators()
	if id, ok := operators.Identify(credential); ok {
		return caller{Identity: id, credential: credential}, true
	}
	bootstrap := operators.Revision == 0 && s.cfg.BootstrapHash != "" &&
		toucansettings.HashKey(credential) == s.cfg.BootstrapHash
	id := toucansettings.Identity{Operator: true, Name: "bootstrap"}
	return caller{Identity: id, bootstrap: bootstrap, credential: credential}, bootstrap
}

// mayChange returns errForbidden unless the caller may change the document from a base revision.
func (c caller) mayChange(document string, base uint64) error {
	if c.bootstrap && (document != toucansettings.OperatorsPath || base != 0) {
		return errors.Wrap(errForbidden, "the first credential may only write the first operators' document")
	}
	if !c.MayChange(document) {
		return errors.Wrap(errForbidden, document)
	}
	return nil
}

func (s *Server) listDocuments(c *echo.Context, from caller) error {
	out := Documents{Documents: []toucanspread.Revision{}}
	for _, r := range s.cfg.Holder.Revisions() {
		if from.MayChange(r.Path) {
			out.Documents = append(out.Documents, r)
		}
	}
	return c.JSON(http.StatusOK, out)
}

func (s *Server) getDocument(c *echo.Context, from caller) error {
	path, err := toucansettings.ParseDocumentPath(c.QueryParam("path"))
	if err != nil {
		return err
	}
	if !from.MayChange(path) {
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
	return answerDocument(c, d, source)
}

func answerDocument(c *echo.Context, d toucanrevision.Document, source Source) error {
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

func (s *Server) postChange(c *echo.Context, from caller) error {
	change, err := bindChange(c, from)
	if err != nil {
		return err
	}
	edits, err := change.edits()
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
		Author:   from.author(),
		Edits:    edits,
		DryRun:   change.DryRun,
	})
	if err != nil {
		return &changeError{id: change.ID, err: err}
	}
	if !change.DryRun {
		s.putInForce(c.Request().Context(), result)
	}
	return c.JSON(http.StatusOK, accepted(change, result))
}

func bindChange(c *echo.Context, from caller) (Change, error) {
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
	return change, from.mayChange(document, change.Base)
}

// putInForce takes the change in here and waits for a first sidecar to hold it, so that it outlives this
// entry when its author is told.
func (s *Server) putInForce(ctx context.Context, result toucanchange.Result) {
	if _, err := s.cfg.Holder.Offer(result.Document); err != nil {
		s.cfg.Log.Error("accepted settings were not taken", "document", result.Document.Path, "error", err.Error())
		return
	}
	r := toucanspread.Revision{Path: result.Document.Path, Revision: result.Document.Revision}
	if s.cfg.Holder.Linked() {
		s.cfg.Holder.AwaitReplica(ctx, r, replicaWait)
	}
}

func accepted(change Change, result toucanchange.Result) Accepted {
	return Accepted{
		ID:        change.ID,
		Document:  change.Document,
		Revision:  result.Revision,
		Unchanged: result.Unchanged,
	}
}

func (s *Server) postSettle(c *echo.Context, from caller) error {
	change, err := bindChange(c, from)
	if err != nil {
		return err
	}
	result, err := s.cfg.Writer.Settle(c.Request().Context(), change.Document, change.ID, from.author(), change.Base)
	if err != nil {
		return &changeError{id: change.ID, err: err}
	}
	s.putInForce(c.Request().Context(), result)
	return c.JSON(http.StatusOK, accepted(change, result))
}

func (s *Server) getStatus(c *echo.Context, from caller) error {
	return c.JSON(http.StatusOK, s.status(from).condensed())
}

// status returns this entry's state as far as the caller may see it.
func (s *Server) status(from caller) Status {
	status := s.cfg.Local.Status()
	status.StoreAnswers = s.cfg.StoreAnswers()
	return visible(status, from)
}

// visible leaves out the documents of other teams.
func visible(status Status, from caller) Status {
	if from.Operator {
		return status
	}
	status.Self.Documents = own(status.Self.Documents, from)
	peers := make([]Instance, len(status.Peers))
	for i, p := range status.Peers {
		p.Documents = own(p.Documents, from)
		peers[i] = p
	}
	status.Peers = peers
	return status
}

func own(revisions []toucanspread.Revision, from caller) []toucanspread.Revision {
	var out []toucanspread.Revision
	for _, r := range revisions {
		if from.MayChange(r.Path) {
			out = append(out, r)
		}
	}
	return out
}
