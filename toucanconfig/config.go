// Package toucanconfig parses the settings file of a process: its instance, its listeners, its limits and the addresses
// of the platform's services.
package toucanconfig

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"toucanport/toucandocument"
)

// EntryConfig holds the start settings of an entry.
type EntryConfig struct {
	// Instance names the instance; unique in the fleet.
	Instance string
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// Listen is the address of the HTTP listener for callers.
	Listen netip.AddrPort
	// OperatorListen is the address of the HTTP listener for operators.
	OperatorListen netip.AddrPort
	// Store and InstanceList are the addresses of the platform's services.
	Store        netip.AddrPort
	InstanceList netip.AddrPort
	// GenerationSecret is the key of the MAC in generation ids. It has at least 32 characters and is the same on all
	// instances.
	GenerationSecret string
	// BootstrapCredentialHash is the SHA-256 digest, in hexadecimal, of the credential that is allowed to write the
	// first operators' document. It has no effect once that document exists. Empty for none.
	BootstrapCredentialHash string
	// TLS holds the files for mutual TLS on the links to sidecars; nil only when the file sets insecure = true.
	TLS    *TLSFiles
	Bounds EntryBounds
}

// EntryBounds holds the limits of an entry.
type EntryBounds struct {
	// RequestBody is the maximum size of a request's body in bytes.
	RequestBody int64
	// RequestDeadline is the maximum duration of a request.
	RequestDeadline time.Duration
	// StopGrace bounds a graceful stop.
	StopGrace time.Duration
	// Connections is the maximum number of open connections from callers.
	Connections int
}

// SidecarConfig holds the start settings of a sidecar.
type SidecarConfig struct {
	// Instance names the instance; unique in the fleet.
	Instance string
	// Endpoint is the name of the sidecar's endpoint in its team's settings.
	Endpoint string
	// Team is the name of the team that owns the endpoint.
	Team string
	// Service is the name of the service that the endpoint serves.
	Service       string
	FailureDomain string
	// InnerListen is the address of the listener for entries.
	InnerListen netip.AddrPort
	// MetricsListen is the address of the listener for metric scrapes; the zero value disables it.
	MetricsListen netip.AddrPort
	// Store is the address of the platform's key-value service.
	Store        netip.AddrPort
	InstanceList netip.AddrPort
	// Engine is the address of an engine, Application that of a plain service; exactly one of them is valid.
	Engine           netip.AddrPort
	Application      netip.AddrPort
	GenerationSecret string
	TLS              *TLSFiles
	Bounds           SidecarBounds
}

// SidecarBounds holds the limits of a sidecar.
type SidecarBounds struct {
	// BufferPerGeneration and BufferTotal are the maximum sizes of the buffered token text in bytes, for one generation
	// and for all generations together.
	BufferPerGeneration int64
	BufferTotal         int64
	// Queued is the maximum number of requests that wait for the endpoint.
	Queued int
	// StopGrace bounds a graceful stop.
	StopGrace time.Duration
}

// TLSFiles holds the paths of PEM files. The files are reloaded when they change.
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

// LoadEntry parses the entry settings in file. It returns an error that lists all problems and matches
// toucandocument.ErrInvalid, or the error that occurred when file was read.
func LoadEntry(file string) (EntryConfig, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return EntryConfig{}, errors.Wrap(err, "reading the entry's settings")
	}
	return ParseEntry(file, data)
}

// ParseEntry parses the entry settings in data; file is the name that errors show.
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

// LoadSidecar parses the sidecar settings in file. It returns an error that lists all problems and matches
// toucandocument.ErrInvalid, or the error that occurred when file was read.
func LoadSidecar(file string) (SidecarConfig, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return SidecarConfig{}, errors.Wrap(err, "reading the sidecar's settings")
	}
	return ParseSidecar(file, data)
}

// ParseSidecar parses the sidecar settings in data; file is the name that errors show.
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

// tlsFiles parses the tls section, which is required unless the file sets insecure = true.
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
