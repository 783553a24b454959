package toucantls_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"toucanport/toucanbubble"
	"toucanport/toucanrig"
	"toucanport/toucantls"
	"toucanport/toucanwire"
)

// TestLinkEndsWhenCertificatesExpire runs the inner protocol over TLS: the link ends when the certificates of its sides
// expire, and the sidecar then refuses the entry with ErrExpired.
func TestLinkEndsWhenCertificatesExpire(t *testing.T) {
	toucanbubble.Test(t, func(t *testing.T) {
		const address = "10.0.0.1:1"
		a := newAuthority(t)
		n := toucanrig.NewNetwork()
		ln, err := n.Listen(address)
		assert.NilError(t, err)
		defer ln.Close()
		protected := toucantls.NewListener(ln, issue(t, a, toucantls.RoleSidecar), toucantls.RoleEntry)
		accepted := make(chan error, 1)
		ended := make(chan struct{})
		accept := func() {
			conn, err := protected.Accept()
			if err != nil {
				accepted <- err
				return
			}
			link, err := toucanwire.Accept(context.Background(), conn, &toucanwire.Hello{Role: "sidecar"})
			accepted <- err
			if err == nil {
				<-link.Done()
				close(ended)
			}
		}
		dial := func(s toucantls.Source) error {
			conn, err := toucantls.WrapDial(n.Dialer("10.0.0.2"), s, toucantls.RoleSidecar)(context.Background(), address)
			if err != nil {
				return err
			}
			_, err = toucanwire.Dial(context.Background(), conn, &toucanwire.Hello{Role: "entry"})
			return err
		}
		entry := issue(t, a, toucantls.RoleEntry)
		go accept()
		assert.NilError(t, dial(entry))
		assert.NilError(t, <-accepted)

		// The link stays up until the certificates expire.
		time.Sleep(lifetime - time.Second)
		select {
		case <-ended:
			t.Fatal("the link ended early")
		default:
		}
		time.Sleep(2 * time.Second)
		<-ended
		protected = toucantls.NewListener(ln, issue(t, a, toucantls.RoleSidecar), toucantls.RoleEntry)
		go accept()
		assert.Assert(t, dial(entry) != nil)
		assert.ErrorContains(t, <-accepted, toucantls.ErrExpired.Error())
	})
}
