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
	// reloadInterval is the time between two readings of the files.
	reloadInterval = 5 * time.Second
	// expiryWarning is the remaining lifetime below which the own certificate is warned of.
	expiryWarning = 72 * time.Hour
	// warningInterval is the time between two such warnings.
	warningInterval = time.Hour
)

// Files names the PEM files of a process.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Reloader is a Source that follows its files. Files that are invalid or only partly replaced change nothing.
type Reloader struct {
	files   Files
	logger  *slog.Logger
	current atomic.Pointer[Material]

	// read and warned are used by one goroutine only.
	read   contents
	warned time.Time
}

// contents is what the files held.
type contents struct{ certificate, key, authority []byte }

func (c contents) equal(o contents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) && bytes.Equal(c.authority, o.authority)
}

// NewReloader reads the files, which must be valid.
func NewReloader(files Files, logger *slog.Logger) (*Reloader, error) {
	r := &Reloader{files: files, logger: logger}
	c, err := files.read()
	if err != nil {
		return nil, err
	}
	m, err := c.material(files)
	if err != nil {
		return nil, err
	}
	r.read = c
	r.current.Store(&m)
	return r, nil
}

// Material implements Source.
func (r *Reloader) Material() Material { return *r.current.Load() }

// Run follows the files until ctx ends.
func (r *Reloader) Run(ctx context.Context) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		r.Reload()
		r.warn(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reload takes the files over if they have changed and are valid. It must not be called while Run is running.
func (r *Reloader) Reload() {
	c, err := r.files.read()
	if err != nil {
		r.logger.Error("certificate files cannot be read, keeping the former ones", "error", err.Error())
		return
	}
	if c.equal(r.read) {
		return
	}
	m, err := c.material(r.files)
	if err != nil {
		r.logger.Error("certificate files are invalid, keeping the former ones", "error", err.Error())
		return
	}
	r.read = c
	r.current.Store(&m)
	leaf := m.Certificate.Leaf
	r.logger.Info("certificate reloaded", "subject", leaf.Subject.CommonName, "notAfter", leaf.NotAfter)
}

// warn logs the approaching end of the own certificate.
func (r *Reloader) warn(now time.Time) {
	leaf := r.Material().Certificate.Leaf
	left := leaf.NotAfter.Sub(now)
	if left > expiryWarning || now.Sub(r.warned) < warningInterval {
		return
	}
	r.warned = now
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

func (c contents) material(f Files) (Material, error) {
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
