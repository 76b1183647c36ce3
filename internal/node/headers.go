package node

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/gentiansail/gentiansail/internal/header"
)

// hopByHopFields belong to one connection (RFC 9110, section 7.6.1) and are not
// passed on.
var hopByHopFields = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true, "Content-Length": true,
}

// reservedFields are set by nodes only. Values from callers and targets are dropped.
var reservedFields = map[string]bool{
	header.Service: true, header.Route: true, header.Partition: true, header.FencingToken: true,
	header.Member: true, header.Attempt: true, header.DeadlineMillis: true, header.RequestID: true,
	header.Outcome: true, header.Reason: true, header.Replayed: true, header.Rejected: true,
	header.InFlight: true, header.Limit: true, header.Fingerprint: true,
}

// endToEnd returns the fields of h that are passed on.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := connectionFields(h)
	for k, v := range h {
		if !hopByHopFields[k] && !reservedFields[k] && !named[k] {
			out[k] = v
		}
	}
	return out
}

// connectionFields returns the names of the fields that the Connection field lists.
func connectionFields(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for f := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(f))] = true
		}
	}
	return named
}
