package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// problem is a way in which a response that claims to be complete is not the
// right one.
type problem string

const (
	// problemForeign is a response that belongs to another request.
	problemForeign problem = "foreign response"
	// problemIncomplete is a response that ended cleanly before its end.
	problemIncomplete problem = "incomplete response"
)

// expectation is what a response must match.
type expectation struct {
	requestID string
	key       string
	route     Route
	// replayed means that the response is that of an earlier request with the
	// same idempotency key, and echoes that one's id.
	replayed bool
}

// echo is the part of a stand-in target's first line that is checked.
type echo struct {
	RequestID string
	Key       string
	Body      string
	// Instance names the target's process.
	Instance string
}

// instanceOf returns the target's name for itself, or "".
func instanceOf(body []byte) string {
	first, _, _ := bytes.Cut(body, []byte("\n"))
	var e echo
	if json.Unmarshal(first, &e) != nil {
		return ""
	}
	return e.Instance
}

// check returns the problem of a response, or "".
func check(want expectation, headerID string, body []byte) problem {
	if headerID != "" && headerID != want.requestID {
		return problemForeign
	}
	first, rest, whole := bytes.Cut(body, []byte("\n"))
	var got echo
	if !whole || json.Unmarshal(first, &got) != nil {
		return problemIncomplete
	}
	id := want.requestID
	if want.replayed {
		id = got.RequestID
	}
	switch {
	case got.RequestID != id:
		return problemForeign
	case want.route.echoesKey() && got.Key != want.key:
		return problemForeign
	case got.Body != want.route.Body:
		return problemForeign
	}
	return checkChunks(id, want.route.Chunks, string(rest))
}

// echoesKey reports whether the key is the second segment of the path, the one
// that stand-in targets echo.
func (r Route) echoesKey() bool {
	path, _, _ := strings.Cut(r.Path, "?")
	parts := strings.Split(path, "/")
	return len(parts) > 2 && parts[2] == keyPlaceholder
}

// checkChunks requires each chunk line exactly once and in order.
func checkChunks(id string, chunks int, rest string) problem {
	for n := range chunks {
		line, after, whole := strings.Cut(rest, "\n")
		if !whole {
			return problemIncomplete
		}
		// Filler without a line end may precede the first chunk.
		if !strings.HasSuffix(line, fmt.Sprintf("chunk %d of %d of %s", n+1, chunks, id)) {
			return problemForeign
		}
		rest = after
	}
	return ""
}
