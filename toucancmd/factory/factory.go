// Package factory provides the dependencies of commands and the Command type.
package factory

import (
	"net/netip"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"toucanport/toucanclient"
	"toucanport/toucanio"
)

// Environment variables with the defaults of --address and --credential.
const (
	EnvAddress    = "TOUCANPORT_ADDRESS"
	EnvCredential = "TOUCANPORT_CREDENTIAL"
)

// Factory provides the dependencies of commands. Tests replace its fields.
type Factory struct {
	IO *toucanio.Streams
	// Getenv returns the value of an environment variable; empty if unset.
	Getenv func(string) string
	// Version is printed by the version command.
	Version string
	// NewClient returns a client for the operators' interface of the entry at address.
	NewClient func(address, credential string) *toucanclient.Client
}

// New returns a factory that uses the streams and the environment of the process.
func New(version string) *Factory {
	return &Factory{
		IO:        toucanio.System(),
		Getenv:    os.Getenv,
		Version:   version,
		NewClient: func(a, c string) *toucanclient.Client { return toucanclient.New(a, c) },
	}
}

// Target holds the address of the entry that a command connects to and the credential that it sends.
type Target struct {
	Address    string
	Credential string
}

// Bind registers --address and --credential.
func (t *Target) Bind(p *flaggy.Parser) {
	p.String(&t.Address, "a", "address", "the operators' listener of any entry, as IP:PORT ("+EnvAddress+")")
	p.String(&t.Credential, "c", "credential", "an operator's or a team's credential ("+EnvCredential+")")
}

// Client returns a client for the target. Empty fields of the target default to the environment variables.
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
