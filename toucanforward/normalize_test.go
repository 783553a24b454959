package toucanforward

import (
	"regexp"
	"strings"

	"toucanport/toucanlog"
)

// variableAddress matches addresses in causes that differ between runs of the tests.
var variableAddress = regexp.MustCompile(`127\.0\.0\.1:\d+->|readfrom tcp \S+ `)

// normalize replaces addresses that differ between runs by constant text.
func (sc *deployment) normalize(lines string) string {
	var pairs []string
	for _, e := range sc.endpoints {
		pairs = append(pairs, e.address(), "address of "+e.name)
	}
	return strings.NewReplacer(pairs...).Replace(variableAddress.ReplaceAllString(lines, ""))
}

// requestMessages are the messages of all log lines that this package writes.
var requestMessages = []string{
	toucanlog.MsgRequestPlaced, toucanlog.MsgRequestHeld, toucanlog.MsgRequestRefused,
	toucanlog.MsgRequestAnswered, toucanlog.MsgRequestFailed, toucanlog.MsgRequestRetried,
	toucanlog.MsgStreamCut, toucanlog.MsgCallerLeft, toucanlog.MsgGenerationMoved,
	toucanlog.MsgGenerationNotMoved, toucanlog.MsgStreamResumed, toucanlog.MsgCallerResumes, toucanlog.MsgStreamResent, toucanlog.MsgSourceAsked, toucanlog.MsgEndpointEnded, toucanlog.MsgPartQuarantined,
	toucanlog.MsgEndpointDeferred, toucanlog.MsgEndpointLeaves,
	toucanlog.MsgTargetEvacuated,
	toucanlog.MsgBodyNotKept, toucanlog.MsgEndpointLimited, toucanlog.MsgEndpointUnlimited, toucanlog.MsgSentToLimited,
}
