package toucanscan

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawPieces draws a text of pieces, many of which belong to a head or a chunked body.
func drawPieces(t *rapid.T, pieces ...string) string {
	return strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 20).Draw(t, "pieces"), "")
}

// scanInParts scans a text in parts of any size and returns how much of it was consumed, and whether it ended.
func scanInParts(t *rapid.T, text string, scan func([]byte) (int, bool, error)) (consumed int, ended bool, err error) {
	for consumed < len(text) && !ended && err == nil {
		part := rapid.IntRange(1, len(text)-consumed).Draw(t, "part")
		var n int
		n, ended, err = scan([]byte(text[consumed : consumed+part]))
		consumed += n
	}
	return consumed, ended, err
}

// TestHeadEndsWhereNetHTTPEndsIt checks that a head that net/http takes ends at the same byte for the scan.
func TestHeadEndsWhereNetHTTPEndsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawPieces(t, "GET / HTTP/1.1", "Host: h", "X:", " ", "\r", "\n", "\r\n", "\r\n\r\n", "\n\n", ":", "a", "Content-Length: 3")
		if rapid.Bool().Draw(t, "whole") {
			text = "GET / HTTP/1.1\r\nHost: h\r\n" + text
		}
		r := bufio.NewReader(strings.NewReader(text))
		_, err := http.ReadRequest(r)
		s := NewHead()
		consumed, ended, _ := scanInParts(t, text, func(p []byte) (int, bool, error) {
			n, ended := s.Scan(p)
			return n, ended, nil
		})
		assert.Equal(t, s.Bytes, consumed)
		assert.Equal(t, s.Lines, strings.Count(text[:consumed], "\n"))
		if err == nil {
			assert.Assert(t, ended)
			assert.Equal(t, consumed, len(text)-r.Buffered())
		}
	})
}

// TestChunkedBodyEndsWhereNetHTTPEndsIt checks that a chunked body that net/http takes ends at the same byte for the scan.
func TestChunkedBodyEndsWhereNetHTTPEndsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawPieces(t, "1\r\nx\r\n", "a\r\n0123456789\r\n", "2;ext=1\r\nxy\r\n", "3 \r\nabc\r\n", "00", "\r\n", "0\r\n", "\n", "T: 1\r\n", ";", "f")
		text += rapid.SampledFrom([]string{"", "0\r\n\r\n", "0\r\nT: 1\r\n\r\n", "0\r\n\r\nGET"}).Draw(t, "end")
		const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		r := bufio.NewReader(strings.NewReader(head + text))
		req, err := http.ReadRequest(r)
		assert.NilError(t, err)
		_, bodyErr := io.Copy(io.Discard, req.Body)
		s := Chunks{}
		consumed, ended, err := scanInParts(t, text, s.Scan)
		if bodyErr == nil {
			assert.NilError(t, err)
			assert.Assert(t, ended, "%q", text)
			assert.Equal(t, consumed, len(text)-r.Buffered(), "%q", text)
		}
	})
}

// TestChunksOfAWriterAreScanned checks bodies as clients write them.
func TestChunksOfAWriterAreScanned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var buf bytes.Buffer
		w := httputil.NewChunkedWriter(&buf)
		for _, part := range rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 50)).Draw(t, "body") {
			_, err := w.Write(part)
			assert.NilError(t, err)
		}
		assert.NilError(t, w.Close())
		text := buf.String() + "\r\nGET"
		s := Chunks{}
		consumed, ended, err := scanInParts(t, text, s.Scan)
		assert.NilError(t, err)
		assert.Assert(t, ended)
		assert.Equal(t, text[consumed:], "GET")
	})
}
