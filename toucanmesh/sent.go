package toucanmesh

import (
	"github.com/uber-go/tally/v4"

	"toucanport/toucanpeer"
)

const (
	// metricSentBytes counts the bytes of datagrams to peers by tagKind, without the headers of UDP and IP.
	metricSentBytes = "peer_sent_bytes"
	tagKind         = "kind"
)

// messageKind is what a datagram to a peer carries.
type messageKind int

const (
	kindReport messageKind = iota
	kindChanges
	kindSlot
	kindEvidence
	kindCount
)

func (k messageKind) String() string {
	return [kindCount]string{"report", "changes", "slot", "evidence"}[k]
}

// kindOf returns the kind of a message. Only reports of the state have a serial.
func kindOf(r *toucanpeer.Report) messageKind {
	switch {
	case r.GetSerial() > 0:
		return kindReport
	case r.GetChanges() != nil:
		return kindChanges
	case r.GetAsk() != nil || r.GetGrant() != nil:
		return kindSlot
	default:
		return kindEvidence
	}
}

// sentBytes counts the bytes that were sent to peers, by kind.
type sentBytes [kindCount]tally.Counter

func newSentBytes(scope tally.Scope) sentBytes {
	var s sentBytes
	for k := range kindCount {
		s[k] = scope.Tagged(map[string]string{tagKind: k.String()}).Counter(metricSentBytes)
	}
	return s
}

// WithMetrics counts the bytes that are sent to peers in a scope.
func WithMetrics(scope tally.Scope) MeshOption {
	return func(m *Mesh) { m.sent = newSentBytes(scope) }
}
