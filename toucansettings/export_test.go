package toucansettings_test

import (
	"net/netip"

	"github.com/google/go-cmp/cmp"
)

var cmpAddrPort = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
