package node

import "github.com/ansel1/merry/v2"

// Errors of this package.
var (
	// ErrSettings means that a listener could not be opened at an address of the
	// settings.
	ErrSettings = merry.Sentinel("cannot listen")
	// errMayTakeEffect means that a call of the control group got no response but may
	// take effect.
	errMayTakeEffect = merry.Sentinel("call may have taken effect")
	// errTarget means that a call of the target protocol failed at the node's own
	// target.
	errTarget = merry.Sentinel("target call failed")
)
