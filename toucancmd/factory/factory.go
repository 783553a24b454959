// Package factory holds what commands depend on, built when first needed, and the shape of a command.
package factory

import (
	"net/netip"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucanclient"
	"toucanport/toucanio"
)

// Environment variables that stand for flags left out.
const (
	EnvAddress    = "TOUCANPORT_ADDRESS"
	EnvCredential = "TOUCANPORT_CREDENTIAL"
)

// Factory gives commands their dependencies. Tests replace the fields.
type Factory struct {
	IO *toucanio.Streams
	// Getenv reads the environment.
	Getenv func(string) string
	// Version is printed by the version command.
	Version string
	// NewClient returns a client of an entry's operators' interface.
	NewClient func(address, credential string) *toucanclient.Client
}

// New returns a factory for the process.
func New(version string) *Factory {
	return &Factory{
		IO:        toucanio.System(),
		Getenv:    os.Getenv,
		Version:   version,
		NewClient: func(a, c string) *toucanclient.Client { return toucanclient.New(a, c) },
	}
}

// Target says which entry a command speaks to, and as whom.
type Target struct {
	Address    string
	Credential string
}

// Bind adds the target's flags.
func (t *Target) Bind(p *flaggy.Parser) {
	p.String(&t.Address, "a", "address", "the operators' listener of any entry, as IP:PORT ("+EnvAddress+")")
	p.String(&t.Credential, "c", "credential", "an operator's or a team's credential ("+EnvCredential+")")
}

// Client returns a client of the target; the environment stands for what is left out.
func (f *Factory) Client(t Target) (*toucanclient.Client, error) {
	address, credential := t.Address, t.Credential
	if address == "" {
		address = f.Getenv(EnvAddress)
	}
	if credential == "" {
		credential = f.Getenv(EnvCredential)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, errors.Wrapf(ErrUsage, "--address %q (or %s): allowed: an IP address with a port", address, EnvAddress)
	}
	if credential == "" {
		return nil, errors.Wrapf(ErrUsage, "--credential (or %s) is required", EnvCredential)
	}
	return f.NewClient(address, credential), nil
}
