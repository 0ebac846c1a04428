//go:build linux && amd64

// Package syscallfault runs a program under ptrace and makes system calls of its choice fail, transfer less than was asked
// for, or return late, as Linux documents that they may. It needs no rights beyond those of a parent over its child.
package syscallfault

import (
	"syscall"
	"time"
)

// Call is one system call that the program is about to make.
type Call struct {
	Number     uint64 // as in package syscall: SYS_WRITE and so on
	Descriptor int
	Size       int // third argument: bytes for read and write
	Thread     int
}

// Fault is what happens to a call. The zero value: nothing.
type Fault struct {
	Errno syscall.Errno // the call is not made, and fails with this
	Size  int           // over 0: it is asked for this many bytes in place of all
	Delay time.Duration // its thread sees the result that much later, while all others go on
}

// FaultFunc decides what happens to each call. It is called by one goroutine.
type FaultFunc func(call Call) Fault

const (
	minMessageSize = 9 // bytes; shorter transfers are wake-ups between the program's own threads
	firstSocket    = 3 // descriptors below are the standard streams
)

// IsTransfer tells whether a call reads or writes a message on a connection.
func (c Call) IsTransfer() bool {
	return (c.Number == syscall.SYS_WRITE || c.Number == syscall.SYS_READ) && c.Descriptor >= firstSocket && c.Size >= minMessageSize
}
