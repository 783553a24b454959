// Package toucantls secures the links between entries and sidecars with mutual TLS. Certificates hold the role of their
// process as DNS name instead of an address, because addresses change whenever an instance is replaced.
package toucantls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Role is the role of a process on a link. It is the DNS name in the process's certificate.
type Role string

// Roles of processes.
const (
	RoleEntry   Role = "entry.toucanport"
	RoleSidecar Role = "sidecar.toucanport"
)

// handshakeTimeout is the maximum duration of a handshake, so that a silent peer does not hold resources.
const handshakeTimeout = 3 * time.Second

var (
	// ErrNoCertificate is returned when the peer sends no certificate or does not use TLS.
	ErrNoCertificate = errors.New("peer sent no certificate")
	// ErrExpired is returned when the peer's certificate is expired or not valid yet.
	ErrExpired = errors.New("peer's certificate is expired or not valid yet")
	// ErrUntrusted is returned when the peer's certificate is not signed by the authority.
	ErrUntrusted = errors.New("peer's certificate is not signed by the authority")
	// ErrRole is returned when the peer's certificate is for another role.
	ErrRole = errors.New("peer's certificate is for another role")
)

// Material is a process's own certificate and the authority that it trusts. It is immutable.
type Material struct {
	// Certificate is the own certificate with its key; its Leaf is set.
	Certificate tls.Certificate
	// Authority holds the certificate of the authority that signs all peers' certificates.
	Authority *x509.CertPool
}

// Source provides the current material. It is safe for concurrent use.
type Source interface {
	Material() Material
}

// Fixed is a Source whose material never changes.
type Fixed Material

// Material implements Source.
func (f Fixed) Material() Material { return Material(f) }

// Client runs the handshake of the dialing side and fails unless the peer has the role. It closes conn on failure.
func Client(ctx context.Context, conn net.Conn, s Source, peer Role) (net.Conn, error) {
	m := s.Material()
	return handshake(ctx, conn, tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.Certificate},
		RootCAs:      m.Authority,
		ServerName:   string(peer),
	}))
}

// Server runs the handshake of the accepting side and fails unless the peer has the role. It closes conn on failure.
// No application data is sent to a peer without a valid certificate.
func Server(ctx context.Context, conn net.Conn, s Source, peer Role) (net.Conn, error) {
	m := s.Material()
	return handshake(ctx, conn, tls.Server(conn, &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.Certificate},
		ClientCAs:              m.Authority,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return state.PeerCertificates[0].VerifyHostname(string(peer))
		},
	}))
}

func handshake(ctx context.Context, conn net.Conn, t *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, classify(err)
	}
	return newExpiringConn(t), nil
}

// expiringConn is a TLS connection that closes when the peer's certificate expires.
type expiringConn struct {
	*tls.Conn
	expiry *time.Timer
}

func newExpiringConn(t *tls.Conn) *expiringConn {
	left := time.Until(t.ConnectionState().PeerCertificates[0].NotAfter)
	return &expiringConn{Conn: t, expiry: time.AfterFunc(left, func() { _ = t.Close() })}
}

// Close implements net.Conn.
func (c *expiringConn) Close() error {
	c.expiry.Stop()
	return c.Conn.Close()
}

// classify wraps the cause of a failed handshake in one of the package's errors, if one matches.
func classify(err error) error {
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	var hostname x509.HostnameError
	var header tls.RecordHeaderError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return errors.Wrap(ErrExpired, err.Error())
	case errors.As(err, &invalid), errors.As(err, &unknown):
		return errors.Wrap(ErrUntrusted, err.Error())
	case errors.As(err, &hostname):
		return errors.Wrap(ErrRole, err.Error())
	case errors.As(err, &header), isNoCertificate(err):
		return errors.Wrap(ErrNoCertificate, err.Error())
	}
	return errors.Wrap(err, "TLS handshake")
}

// isNoCertificate reports whether err is crypto/tls's error for an empty certificate message. The error has no type, so
// its text is compared.
func isNoCertificate(err error) bool {
	return err.Error() == "tls: client didn't provide a certificate"
}
