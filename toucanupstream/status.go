package toucanupstream

import (
	"net/http"

	"github.com/pkg/errors"
)

// errNoStatus means that the status line of an answer has no status, so that it is no answer.
var errNoStatus = errors.New("answer has no valid status")

// minStatus and maxStatus are the least and the greatest status of HTTP.
const minStatus, maxStatus = 100, 599

// checkStatus returns errNoStatus if an answer's status line has no status of HTTP, which net/http parses all the same: 000, 099, +99,
// 600 and others. It also does for 101, as no message asks for another protocol, so that what follows is no HTTP.
func checkStatus(resp *http.Response) error {
	status := resp.StatusCode
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errNoStatus
	}
	return nil
}

// checkedTransport is the transport of CheckStatus.
type checkedTransport struct{ next http.RoundTripper }

// CheckStatus returns a transport that fails if the answer that next returns has no valid status, as if none had arrived. If next is nil, it
// is http.DefaultTransport.
func CheckStatus(next http.RoundTripper) http.RoundTripper {
	if next == nil {
		next = http.DefaultTransport
	}
	return checkedTransport{next}
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkStatus(resp); err != nil {
		_ = resp.Body.Close() // Nothing of it is used.
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (t checkedTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
