// Package toucanrate keeps limits on requests a second that endpoints name for all entries together.
package toucanrate

import (
	"math"
	"strconv"
	"strings"
)

// NoticeKind tells what an answer says about its endpoint's limit.
type NoticeKind int

// Kinds of notices.
const (
	// NoticeNone means that the answer names no limit.
	NoticeNone NoticeKind = iota
	// NoticeNamed means that the answer names a limit.
	NoticeNamed
	// NoticeUnreadable means that the answer names a limit that is no number of requests. It says nothing.
	NoticeUnreadable
)

// Notice is what one answer says about how many requests a second its endpoint takes from all entries together.
type Notice struct {
	Kind NoticeKind
	// PerSecond is the limit in requests a second, finite and at least zero; zero unless Kind is NoticeNamed.
	PerSecond float64
}

// ParseNotice parses the decimal number in which an answer names a limit; empty if it names none.
func ParseNotice(text string) Notice {
	text = strings.TrimSpace(text)
	if text == "" {
		return Notice{}
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return Notice{Kind: NoticeUnreadable}
	}
	return Notice{Kind: NoticeNamed, PerSecond: n}
}
