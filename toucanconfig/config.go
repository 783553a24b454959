// Package toucanconfig holds the settings that a process starts with: who it is, where it listens and
// where the platform's services are.
package toucanconfig

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucandocument"
)

// EntryConfig starts an entry.
type EntryConfig struct {
	// Instance names the instance; unique in the fleet.
	Instance string
	// FailureDomain is where the instance stands.
	FailureDomain string
	// Listen is the callers' HTTP listener.
	Listen netip.AddrPort
	// OperatorListen is the operators' HTTP listener.
	OperatorListen netip.AddrPort
	// Store and InstanceList are the platform's services.
	Store        netip.AddrPort
	InstanceList netip.AddrPort
	// GenerationSecret keys the MAC in generation ids; at least 32 characters and the same on all instances.
	GenerationSecret string
	// BootstrapCredentialHash lets the credential of this hex SHA-256 digest write the first operators'
	// document; it counts for nothing once there is one. Empty for none.
	BootstrapCredentialHash string
	// TLS protects the inner links; nil only when the file says insecure = true.
	TLS    *TLSFiles
	Bounds EntryBounds
}

// EntryBounds limits what an entry holds and waits for.
type EntryBounds struct {
	// RequestBody is in bytes.
	RequestBody int64
	// RequestDeadline bounds a whole request.
	RequestDeadline time.Duration
	// StopGrace bounds a graceful stop.
	StopGrace time.Duration
	// Connections bounds open callers' connections.
	Connections int
}

// SidecarConfig starts a sidecar.
type SidecarConfig struct {
	// Instance names the instance; unique in the fleet.
	Instance string
	// Endpoint names the endpoint that the sidecar stands beside, as its team's settings do.
	Endpoint string
	// Team owns the endpoint.
	Team string
	// Service is what the endpoint serves.
	Service       string
	FailureDomain string
	// InnerListen is the listener for entries.
	InnerListen netip.AddrPort
	// MetricsListen is the listener of the scrape endpoint; invalid for none.
	MetricsListen netip.AddrPort
	// Store is the platform's key-value service.
	Store        netip.AddrPort
	InstanceList netip.AddrPort
	// Engine or Application is the endpoint itself; exactly one is set.
	Engine           netip.AddrPort
	Application      netip.AddrPort
	GenerationSecret string
	TLS              *TLSFiles
	Bounds           SidecarBounds
}

// SidecarBounds limits what a sidecar holds and waits for.
type SidecarBounds struct {
	// BufferPerGeneration and BufferTotal are in bytes of token text.
	BufferPerGeneration int64
	BufferTotal         int64
	// Queued bounds requests that wait for the endpoint.
	Queued int
	// StopGrace bounds a graceful stop.
	StopGrace time.Duration
}

// TLSFiles names PEM files, which are read again when they change.
type TLSFiles struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

const (
	minSecretChars = 32

	maxRequestDeadline = 24 * time.Hour
	maxStopGrace       = time.Hour
	maxConnections     = 1 << 20
	maxQueued          = 1 << 20
)

// LoadEntry reads the entry settings in file.
// The error lists all problems and matches toucandocument.ErrInvalid, or says why file can't be read.
func LoadEntry(file string) (EntryConfig, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return EntryConfig{}, errors.Wrap(err, "reading the entry's settings")
	}
	return ParseEntry(file, data)
}

// ParseEntry reads entry settings from data; file is named in errors.
func ParseEntry(file string, data []byte) (EntryConfig, error) {
	t, problems := toucandocument.Parse(file, data)
	if err := problems.Err(); err != nil {
		return EntryConfig{}, err
	}
	cfg := EntryConfig{
		Instance:                t.Name("instance"),
		FailureDomain:           t.Name("failureDomain"),
		Listen:                  t.Address("listen", true),
		OperatorListen:          t.Address("operatorListen", true),
		Store:                   t.Address("store", true),
		InstanceList:            t.Address("instanceList", true),
		GenerationSecret:        secret(t),
		BootstrapCredentialHash: bootstrapHash(t),
		TLS:                     tlsFiles(t),
		Bounds:                  entryBounds(t),
	}
	t.ReportUnknownKeys()
	return cfg, problems.Err()
}

func entryBounds(t *toucandocument.Table) EntryBounds {
	b := t.Table("bounds")
	if b == nil {
		b, _ = toucandocument.Parse("", nil)
	}
	defer b.ReportUnknownKeys()
	return EntryBounds{
		RequestBody:     b.Size("requestBody", 4*toucandocument.MiB, toucandocument.KiB, 256*toucandocument.MiB),
		RequestDeadline: b.Duration("requestDeadline", 10*time.Minute, time.Second, maxRequestDeadline),
		StopGrace:       b.Duration("stopGrace", 10*time.Minute, time.Second, maxStopGrace),
		Connections:     b.Int("connections", 16384, 1, maxConnections),
	}
}

// LoadSidecar reads the sidecar settings in file.
// The error lists all problems and matches toucandocument.ErrInvalid, or says why file can't be read.
func LoadSidecar(file string) (SidecarConfig, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return SidecarConfig{}, errors.Wrap(err, "reading the sidecar's settings")
	}
	return ParseSidecar(file, data)
}

// ParseSidecar reads sidecar settings from data; file is named in errors.
func ParseSidecar(file string, data []byte) (SidecarConfig, error) {
	t, problems := toucandocument.Parse(file, data)
	if err := problems.Err(); err != nil {
		return SidecarConfig{}, err
	}
	cfg := SidecarConfig{
		Instance:         t.Name("instance"),
		Endpoint:         t.Name("endpoint"),
		Team:             t.Name("team"),
		Service:          t.Name("service"),
		FailureDomain:    t.Name("failureDomain"),
		InnerListen:      t.Address("innerListen", true),
		MetricsListen:    t.Address("metricsListen", false),
		Store:            t.Address("store", true),
		InstanceList:     t.Address("instanceList", true),
		Engine:           t.Address("engine", false),
		Application:      t.Address("application", false),
		GenerationSecret: secret(t),
		TLS:              tlsFiles(t),
		Bounds:           sidecarBounds(t),
	}
	if t.Has("engine") == t.Has("application") {
		t.AddProblem("engine", nil, "exactly one of engine and application")
	}
	t.ReportUnknownKeys()
	return cfg, problems.Err()
}

func sidecarBounds(t *toucandocument.Table) SidecarBounds {
	b := t.Table("bounds")
	if b == nil {
		b, _ = toucandocument.Parse("", nil)
	}
	defer b.ReportUnknownKeys()
	return SidecarBounds{
		BufferPerGeneration: b.Size("bufferPerGeneration", toucandocument.MiB, 4*toucandocument.KiB, 64*toucandocument.MiB),
		BufferTotal:         b.Size("bufferTotal", 24*toucandocument.MiB, toucandocument.MiB, 4*toucandocument.GiB),
		Queued:              b.Int("queued", 1024, 1, maxQueued),
		StopGrace:           b.Duration("stopGrace", 10*time.Minute, time.Second, maxStopGrace),
	}
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func bootstrapHash(t *toucandocument.Table) string {
	h := t.String("bootstrapCredentialHash", false)
	if h != "" && !hashPattern.MatchString(h) {
		t.AddProblem("bootstrapCredentialHash", h, "the hex SHA-256 digest of a credential, 64 characters")
	}
	return h
}

func secret(t *toucandocument.Table) string {
	s := t.String("generationSecret", true)
	if s != "" && len(s) < minSecretChars {
		t.AddProblem("generationSecret", nil, "at least 32 characters")
	}
	return s
}

// tlsFiles reads the tls section. It is required unless insecure = true stands in its place.
func tlsFiles(t *toucandocument.Table) *TLSFiles {
	insecure := t.Bool("insecure")
	section := t.Table("tls")
	if section == nil && insecure {
		return nil
	}
	if section == nil {
		t.AddProblem("tls", nil, "a [tls] section with certificateFile, keyFile and authorityFile, or insecure = true")
		return nil
	}
	if insecure {
		t.AddProblem("insecure", true, "a [tls] section or insecure = true, not both")
	}
	defer section.ReportUnknownKeys()
	return &TLSFiles{
		CertificateFile: section.String("certificateFile", true),
		KeyFile:         section.String("keyFile", true),
		AuthorityFile:   section.String("authorityFile", true),
	}
}
