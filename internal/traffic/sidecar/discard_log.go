package sidecar

import (
	"io"
	"log"
)

// discardLog drops the log lines of net/http. Connection errors that matter are logged
// with the request on that connection.
var discardLog = log.New(io.Discard, "", 0)
