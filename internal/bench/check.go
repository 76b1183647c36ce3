package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// problem is the fault of an incorrect response whose outcome is complete.
type problem string

const (
	// problemForeign means that the response belongs to another request.
	problemForeign problem = "foreign response"
	// problemIncomplete means that the response ended without an error before all
	// of its content arrived.
	problemIncomplete problem = "incomplete response"
)

// expectation holds the values that a response must match.
type expectation struct {
	requestID string
	key       string
	route     Route
	// replayed means that the response was stored for an earlier request with the
	// same idempotency key, and echoes the id of that request.
	replayed bool
}

// echo holds the checked fields of the first response line of a stand-in target.
type echo struct {
	RequestID string
	Key       string
	Body      string
	// Instance identifies the target's process.
	Instance string
}

// instanceOf returns the instance name in the first line of body, or "".
func instanceOf(body []byte) string {
	first, _, _ := bytes.Cut(body, []byte("\n"))
	var e echo
	if json.Unmarshal(first, &e) != nil {
		return ""
	}
	return e.Instance
}

// check returns the problem of a response, or "" if the response is correct.
func check(want expectation, headerID string, body []byte) problem {
	if headerID != "" && headerID != want.requestID {
		return problemForeign
	}
	first, rest, found := bytes.Cut(body, []byte("\n"))
	var got echo
	if !found || json.Unmarshal(first, &got) != nil {
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

// echoesKey reports whether the key is the second segment of the path.
// Stand-in targets echo that segment.
func (r Route) echoesKey() bool {
	path, _, _ := strings.Cut(r.Path, "?")
	parts := strings.Split(path, "/")
	return len(parts) > 2 && parts[2] == keyPlaceholder
}

// checkChunks checks that each chunk line occurs exactly once and in order.
func checkChunks(id string, chunks int, rest string) problem {
	for n := range chunks {
		line, remaining, found := strings.Cut(rest, "\n")
		if !found {
			return problemIncomplete
		}
		// Filler without a newline may precede the first chunk.
		if !strings.HasSuffix(line, fmt.Sprintf("chunk %d of %d of %s", n+1, chunks, id)) {
			return problemForeign
		}
		rest = remaining
	}
	return ""
}
