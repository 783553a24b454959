package toucankeepalive

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveCount is the number of keep-alive probes without an answer after which a peer is dead. With TCP_USER_TIMEOUT, which counts
	// the time since the last answer instead, one is enough too.
	keepAliveCount = 1
	// maxProbeInterval is the longest time between two probes of a closed window, or two transmissions of a segment, that the kernel lets a
	// socket set, and kernelProbeInterval the longest time where it does not.
	maxProbeInterval    = time.Second
	kernelProbeInterval = 120 * time.Second
	// stateClosed is the state of a connection that has ended, as the kernel numbers it.
	stateClosed = 7
)

// socket has the calls to the kernel for one connection.
type socket struct{ raw syscall.RawConn }

// set sets an option of TCP.
func (s socket) set(option, value int) error {
	var failed error
	err := s.raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value)
	})
	if err != nil {
		return err
	}
	return failed
}

// info returns the state of the connection.
func (s socket) info() (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var failed error
	err := s.raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return info, failed
}

// unacked returns the number of bytes that were written and not acknowledged.
func (s socket) unacked() (int, error) {
	n := 0
	var failed error
	err := s.raw.Control(func(fd uintptr) {
		n, failed = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0, err
	}
	return n, failed
}

// boundProbes makes the kernel leave the death of the peer to the Monitor, and probe often. It returns the longest time between two probes.
func (s socket) boundProbes() time.Duration {
	// Each call fails only if the kernel lacks the option, and its effect with it.
	_ = s.limitUnacked(0)
	_ = s.set(unix.TCP_KEEPCNT, keepAliveCount)
	if err := s.set(unix.TCP_RTO_MAX_MS, int(maxProbeInterval.Milliseconds())); err != nil {
		return kernelProbeInterval
	}
	return maxProbeInterval
}

// leaveToKernel makes the kernel deliver what was written after the connection is closed, as long as the peer acknowledges. With a short
// interval between probes the kernel gives closed connections up early.
func (s socket) leaveToKernel() {
	_ = s.set(unix.TCP_RTO_MAX_MS, int(kernelProbeInterval.Milliseconds())) // As in boundProbes.
}

// limitUnacked makes the kernel end the connection if the peer does not take what is sent within a time.
func (s socket) limitUnacked(d time.Duration) error {
	return s.set(unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// tellsAcks reports whether the kernel tells when acknowledgements come: one that does counts the segments that it received, of which an open
// connection has at least one.
func tellsAcks(info *unix.TCPInfo) bool { return info.Segs_in > 0 }

// isClosed reports whether an error means that the connection was closed by this process.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
