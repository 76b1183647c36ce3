package node

import "github.com/ansel1/merry/v2"

// Errors of this package.
var (
	// ErrSettings means that a listener of the settings could not be opened.
	ErrSettings = merry.Sentinel("cannot listen")
	// errMayTakeEffect means that a call of the control group may take effect
	// although no response arrived.
	errMayTakeEffect = merry.Sentinel("call may have taken effect")
	// errTarget means that the node's own target did not answer a call of the
	// target protocol.
	errTarget = merry.Sentinel("target call failed")
)
