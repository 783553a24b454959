package toucanforward

import (
	"regexp"
	"strings"

	"toucanport/toucanlog"
)

// localPort is what differs from run to run in a cause.
var localPort = regexp.MustCompile(`127\.0\.0\.1:\d+->|readfrom tcp \S+ `)

// steady replaces what differs from run to run in lines.
func (sc *scene) steady(lines string) string {
	var pairs []string
	for _, e := range sc.endpoints {
		pairs = append(pairs, e.address(), "address of "+e.name)
	}
	return strings.NewReplacer(pairs...).Replace(localPort.ReplaceAllString(lines, ""))
}

// requestMessages are those of the lines that this package writes.
var requestMessages = []string{
	toucanlog.MsgRequestPlaced, toucanlog.MsgRequestHeld, toucanlog.MsgRequestRefused,
	toucanlog.MsgRequestAnswered, toucanlog.MsgRequestFailed, toucanlog.MsgRequestRetried,
	toucanlog.MsgStreamCut, toucanlog.MsgCallerLeft, toucanlog.MsgGenerationMoved,
	toucanlog.MsgGenerationNotMoved, toucanlog.MsgStreamResumed,
}
