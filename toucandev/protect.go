package toucandev

import (
	"net"
	"time"

	"toucanport/toucantls"
)

// keyLifetime is the validity period of the certificates, which are issued at start.
const keyLifetime = 365 * 24 * time.Hour

// protectListener issues a sidecar's certificate and wraps its listener with mutual TLS that accepts only entries.
func (s *System) protectListener(instance string, ln net.Listener) (net.Listener, error) {
	m, err := s.authority.Issue(instance, toucantls.RoleSidecar, time.Now(), keyLifetime)
	if err != nil {
		return nil, err
	}
	return toucantls.NewListener(ln, toucantls.Fixed(m), toucantls.RoleEntry), nil
}

// protectedDial issues an entry's certificate and returns a dial function that connects to sidecars with mutual TLS.
func (s *System) protectedDial(instance string) (toucantls.Dial, error) {
	m, err := s.authority.Issue(instance, toucantls.RoleEntry, time.Now(), keyLifetime)
	if err != nil {
		return nil, err
	}
	return toucantls.WrapDial(dialTCP, toucantls.Fixed(m), toucantls.RoleSidecar), nil
}
