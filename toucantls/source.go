// Package toucantls protects the links between entries and sidecars with mutual TLS. Certificates carry the role
// of their process as DNS name, because addresses change with every replacement.
package toucantls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Role is what a process may do on a link. It stands in the process's certificate as DNS name.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry.toucanport"
	RoleSidecar Role = "sidecar.toucanport"
)

// handshakeTimeout bounds a handshake, so that a silent peer holds nothing.
const handshakeTimeout = 3 * time.Second

var (
	// ErrNoCertificate is returned when the peer showed no certificate or does not speak TLS.
	ErrNoCertificate = errors.New("peer showed no certificate")
	// ErrExpired is returned when the peer's certificate is expired or not valid yet.
	ErrExpired = errors.New("peer's certificate is expired or not valid yet")
	// ErrUntrusted is returned when the peer's certificate is not signed by the authority.
	ErrUntrusted = errors.New("peer's certificate is not signed by the authority")
	// ErrRole is returned when the peer's certificate is for another role.
	ErrRole = errors.New("peer's certificate is for another role")
)

// Material is an immutable set of a process's own certificate and the authority it trusts.
type Material struct {
	// Certificate has its Leaf set.
	Certificate tls.Certificate
	// Authority signs the certificates of all peers.
	Authority *x509.CertPool
}

// Source gives the material that is current.
type Source interface {
	Material() Material
}

// Fixed is a Source whose material never changes.
type Fixed Material

// Material implements Source.
func (f Fixed) Material() Material { return Material(f) }

// Client runs the handshake of the calling side, which must find a peer of the role. It closes conn on failure.
func Client(ctx context.Context, conn net.Conn, s Source, peer Role) (net.Conn, error) {
	m := s.Material()
	return handshake(ctx, conn, tls.Client(conn, &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.Certificate},
		RootCAs:      m.Authority,
		ServerName:   string(peer),
	}))
}

// Server runs the handshake of the called side, which must find a peer of the role. It closes conn on failure.
// A peer without a valid certificate is sent nothing but the alert.
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
	return newBoundedConn(t), nil
}

// boundedConn ends with the peer's certificate, so that no link outlives it.
type boundedConn struct {
	*tls.Conn
	expiry *time.Timer
}

func newBoundedConn(t *tls.Conn) *boundedConn {
	left := time.Until(t.ConnectionState().PeerCertificates[0].NotAfter)
	return &boundedConn{Conn: t, expiry: time.AfterFunc(left, func() { _ = t.Close() })}
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.expiry.Stop()
	return c.Conn.Close()
}

// classify names the fault of a failed handshake by one of the package's errors where it can.
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
	case errors.As(err, &header), noCertificate(err):
		return errors.Wrap(ErrNoCertificate, err.Error())
	}
	return errors.Wrap(err, "TLS handshake")
}

// noCertificate recognises the error of crypto/tls for an empty certificate message, which has no type.
func noCertificate(err error) bool {
	return err.Error() == "tls: client didn't provide a certificate"
}
