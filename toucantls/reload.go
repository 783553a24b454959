package toucantls

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// reloadInterval is the time between two checks of the files for changes.
	reloadInterval = 5 * time.Second
	// expiryWarning is the remaining lifetime of the own certificate from which warnings are logged.
	expiryWarning = 72 * time.Hour
	// warningInterval is the minimum time between two such warnings.
	warningInterval = time.Hour
)

// Files are the paths of a process's PEM files.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Reloader is a Source that reloads its material when the files change. While the files are invalid or only partly
// replaced, it keeps the previous material.
type Reloader struct {
	files   Files
	logger  *slog.Logger
	current atomic.Pointer[Material]

	// lastContents and lastWarning are used only by the goroutine that calls Run or Reload.
	lastContents contents
	lastWarning  time.Time
}

// contents holds the bytes of the files.
type contents struct{ certificate, key, authority []byte }

func (c contents) equal(o contents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.authority, o.authority)
}

// NewReloader returns a Reloader with the material read from the files. It returns an error if they are missing or
// invalid.
func NewReloader(files Files, logger *slog.Logger) (*Reloader, error) {
	r := &Reloader{files: files, logger: logger}
	c, err := files.read()
	if err != nil {
		return nil, err
	}
	m, err := c.parse(files)
	if err != nil {
		return nil, err
	}
	r.lastContents = c
	r.current.Store(&m)
	return r, nil
}

// Material implements Source.
func (r *Reloader) Material() Material { return *r.current.Load() }

// Run reloads changed files and warns before the certificate expires, until ctx is done.
func (r *Reloader) Run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		r.Reload()
		r.warnBeforeExpiry(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reload applies the files if they have changed and are valid, and logs an error if they cannot be used. It must not
// be called while Run is running.
func (r *Reloader) Reload() {
	c, err := r.files.read()
	if err != nil {
		r.logger.Error("certificate files cannot be read, keeping the previous ones", "error", err.Error())
		return
	}
	if c.equal(r.lastContents) {
		return
	}
	m, err := c.parse(r.files)
	if err != nil {
		r.logger.Error("certificate files are invalid, keeping the previous ones", "error", err.Error())
		return
	}
	r.lastContents = c
	r.current.Store(&m)
	leaf := m.Certificate.Leaf
	r.logger.Info("certificate reloaded", "subject", leaf.Subject.CommonName, "notAfter", leaf.NotAfter)
}

// warnBeforeExpiry logs a warning if the own certificate expires soon, and an error if it has expired, at most once per
// warningInterval.
func (r *Reloader) warnBeforeExpiry(now time.Time) {
	leaf := r.Material().Certificate.Leaf
	left := leaf.NotAfter.Sub(now)
	if left > expiryWarning || now.Sub(r.lastWarning) < warningInterval {
		return
	}
	r.lastWarning = now
	if left <= 0 {
		r.logger.Error("own certificate has expired, peers refuse it", "subject", leaf.Subject.CommonName, "notAfter", leaf.NotAfter)
		return
	}
	r.logger.Warn("own certificate expires soon", "subject", leaf.Subject.CommonName, "notAfter", leaf.NotAfter)
}

func (f Files) read() (contents, error) {
	var c contents
	for _, file := range []struct {
		name string
		data *[]byte
	}{{f.Certificate, &c.certificate}, {f.Key, &c.key}, {f.Authority, &c.authority}} {
		data, err := os.ReadFile(file.name)
		if err != nil {
			return contents{}, errors.Wrap(err, "reading certificate files")
		}
		*file.data = data
	}
	return c, nil
}

func (c contents) parse(f Files) (Material, error) {
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return Material{}, errors.Wrapf(err, "certificate %s with key %s", f.Certificate, f.Key)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(c.authority) {
		return Material{}, errors.Errorf("%s: no certificate of an authority in PEM form", f.Authority)
	}
	return Material{Certificate: certificate, Authority: pool}, nil
}
