package toucandev

import (
	"net"
	"time"

	"toucanport/toucantls"
)

// keyLifetime is how long the keys that are made at the start are valid.
const keyLifetime = 365 * 24 * time.Hour

// protectListener makes a sidecar's keys and protects its listener with them.
func (s *System) protectListener(instance string, ln net.Listener) (net.Listener, error) {
	m, err := s.authority.Issue(instance, toucantls.RoleSidecar, time.Now(), keyLifetime)
	if err != nil {
		return nil, err
	}
	return toucantls.NewListener(ln, toucantls.Fixed(m), toucantls.RoleEntry), nil
}

// protectedDial makes an entry's keys and returns the function by which it dials sidecars.
func (s *System) protectedDial(instance string) (toucantls.Dial, error) {
	m, err := s.authority.Issue(instance, toucantls.RoleEntry, time.Now(), keyLifetime)
	if err != nil {
		return nil, err
	}
	return toucantls.WrapDial(dial, toucantls.Fixed(m), toucantls.RoleSidecar), nil
}
