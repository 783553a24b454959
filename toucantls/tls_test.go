package toucantls_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucantls"
)

const lifetime = time.Hour

func newAuthority(t *testing.T) *toucantls.Authority {
	t.Helper()
	a, err := toucantls.NewAuthority(time.Now(), 24*time.Hour)
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *toucantls.Authority, role toucantls.Role) toucantls.Source {
	t.Helper()
	m, err := a.Issue("i", role, time.Now(), lifetime)
	assert.NilError(t, err)
	return toucantls.Fixed(m)
}

// runHandshake runs one handshake and sends one byte from the server. It returns the server's error, the bytes that the
// client received and the client's error.
func runHandshake(client, server toucantls.Source) (error, string, error) {
	c, s := net.Pipe()
	type result struct {
		got string
		err error
	}
	done := make(chan result, 1)
	go func() {
		defer c.Close()
		conn, err := toucantls.Client(context.Background(), c, client, toucantls.RoleSidecar)
		if err != nil {
			done <- result{"", err}
			return
		}
		b, err := io.ReadAll(conn)
		done <- result{string(b), err}
	}()
	conn, err := toucantls.Server(context.Background(), s, server, toucantls.RoleEntry)
	if err == nil {
		_, _ = conn.Write([]byte("x"))
		conn.Close()
	}
	r := <-done
	return err, r.got, r.err
}

func TestHandshake(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		own, other := newAuthority(t), newAuthority(t)
		entry, sidecar := issue(t, own, toucantls.RoleEntry), issue(t, own, toucantls.RoleSidecar)

		serverErr, got, _ := runHandshake(entry, sidecar)
		assert.NilError(t, serverErr)
		assert.Equal(t, got, "x")

		for _, c := range []struct {
			name   string
			client toucantls.Source
			want   error
		}{
			{"no certificate", toucantls.Fixed{Authority: entry.Material().Authority}, toucantls.ErrNoCertificate},
			{"another role", sidecar, toucantls.ErrRole},
			{"another authority", toucantls.Fixed{
				Authority:   entry.Material().Authority,
				Certificate: issue(t, other, toucantls.RoleEntry).Material().Certificate,
			}, toucantls.ErrUntrusted},
		} {
			serverErr, got, clientErr := runHandshake(c.client, sidecar)
			assert.ErrorIs(t, serverErr, c.want, c.name)
			assert.Equal(t, got, "", c.name)
			assert.Assert(t, clientErr != nil, c.name)
		}

		// The client refuses a peer with the wrong role too.
		_, _, clientErr := runHandshake(entry, issue(t, own, toucantls.RoleEntry))
		assert.ErrorIs(t, clientErr, toucantls.ErrRole)

		time.Sleep(lifetime + time.Second)
		serverErr, got, _ = runHandshake(entry, issue(t, own, toucantls.RoleSidecar))
		assert.ErrorIs(t, serverErr, toucantls.ErrExpired)
		assert.Equal(t, got, "")
		_, _, clientErr = runHandshake(issue(t, own, toucantls.RoleEntry), sidecar)
		assert.ErrorIs(t, clientErr, toucantls.ErrExpired)
	})
}

func TestPeerWithoutTLSGetsNothing(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		sidecar := issue(t, newAuthority(t), toucantls.RoleSidecar)
		c, s := net.Pipe()
		go func() {
			_, _ = c.Write([]byte("\x10plain protobuf"))
			_, _ = io.Copy(io.Discard, c)
		}()
		_, err := toucantls.Server(context.Background(), s, sidecar, toucantls.RoleEntry)
		assert.ErrorIs(t, err, toucantls.ErrNoCertificate)
	})
}

func TestHandshakeWithSilentPeerTimesOut(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		sidecar := issue(t, newAuthority(t), toucantls.RoleSidecar)
		c, s := net.Pipe()
		defer c.Close()
		_, err := toucantls.Server(context.Background(), s, sidecar, toucantls.RoleEntry)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

func TestTLS12IsRefused(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		a := newAuthority(t)
		entry := issue(t, a, toucantls.RoleEntry).Material()
		c, s := net.Pipe()
		go func() {
			_ = tls.Client(c, &tls.Config{
				MaxVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{entry.Certificate},
				RootCAs:      entry.Authority,
				ServerName:   string(toucantls.RoleSidecar),
			}).Handshake()
			c.Close()
		}()
		_, err := toucantls.Server(context.Background(), s, issue(t, a, toucantls.RoleSidecar), toucantls.RoleEntry)
		assert.ErrorContains(t, err, "unsupported versions")
	})
}

func writeFiles(t *testing.T, f toucantls.Files, a *toucantls.Authority, role toucantls.Role) {
	t.Helper()
	m, err := a.Issue("i", role, time.Now(), lifetime)
	assert.NilError(t, err)
	certificate, key, err := m.PEM()
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(f.Certificate, certificate, 0o600))
	assert.NilError(t, os.WriteFile(f.Key, key, 0o600))
	assert.NilError(t, os.WriteFile(f.Authority, a.PEM(), 0o600))
}

func TestReloadKeepsMaterialWhileFilesAreInvalid(t *testing.T) {
	dir := t.TempDir()
	toucanbubble.Test(t, func(t *testing.T) {
		f := toucantls.Files{
			Certificate: filepath.Join(dir, "certificate.pem"),
			Key:         filepath.Join(dir, "key.pem"),
			Authority:   filepath.Join(dir, "authority.pem"),
		}
		var logs bytes.Buffer
		logger := slog.New(slog.NewJSONHandler(&logs, nil))
		_, err := toucantls.NewReloader(f, logger)
		assert.ErrorContains(t, err, "certificate.pem")

		a := newAuthority(t)
		writeFiles(t, f, a, toucantls.RoleSidecar)
		r, err := toucantls.NewReloader(f, logger)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		// Run has read the files once before they change below.
		synctest.Wait()
		serial := func() string { return r.Material().Certificate.Leaf.SerialNumber.String() }
		first := serial()

		// A certificate that does not match the key is not applied. Files are in this state while they are replaced.
		certificate, err := os.ReadFile(f.Certificate)
		assert.NilError(t, err)
		writeFiles(t, f, a, toucantls.RoleSidecar)
		assert.NilError(t, os.WriteFile(f.Certificate, certificate, 0o600))
		time.Sleep(time.Minute)
		assert.Equal(t, serial(), first)
		assert.NilError(t, os.Remove(f.Authority))
		time.Sleep(time.Minute)
		assert.Equal(t, serial(), first)

		// A valid certificate of a new authority is applied without a restart.
		b := newAuthority(t)
		writeFiles(t, f, b, toucantls.RoleSidecar)
		time.Sleep(10 * time.Second)
		assert.Assert(t, serial() != first)
		serverErr, _, _ := runHandshake(issue(t, b, toucantls.RoleEntry), r)
		assert.NilError(t, serverErr)
		serverErr, _, _ = runHandshake(issue(t, a, toucantls.RoleEntry), r)
		assert.Assert(t, serverErr != nil)

		time.Sleep(2 * lifetime)
		cancel()
		<-done
		for _, want := range []string{"are invalid, keeping", "cannot be read, keeping", "certificate reloaded", "expires soon", "has expired"} {
			assert.Assert(t, strings.Contains(logs.String(), want), want)
		}
	})
}
