package sidecar

import (
	"io"
	"log"
)

// quiet drops the lines of net/http: what matters of a connection is logged with
// the request that it carried.
var quiet = log.New(io.Discard, "", 0)
