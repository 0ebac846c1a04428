//go:build linux && amd64

// Package syscallfault runs a program under ptrace and injects faults into its system calls: they fail, transfer fewer bytes
// than requested, or return late, all within what Linux documents. It needs no privileges beyond those that a parent has over
// its child.
package syscallfault

import (
	"syscall"
	"time"
)

// Call is one system call that the program is about to make.
type Call struct {
	Number     uint64 // system call number, such as syscall.SYS_WRITE
	Descriptor int    // first argument
	Size       int    // third argument: the byte count of read and write
	Thread     int    // thread ID of the caller
}

// Fault describes what to do to a call. The zero value leaves the call as it is.
type Fault struct {
	Errno syscall.Errno // if not 0, the call isn't made and fails with this error
	Size  int           // if positive, replaces the byte count of the call
	Delay time.Duration // how long the calling thread is held before it sees the result; other threads continue
}

// FaultFunc returns the fault to inject into a call. It is called from one goroutine only.
type FaultFunc func(call Call) Fault

const (
	minMessageSize = 9 // bytes; shorter transfers are wake-ups between the program's own threads
	firstSocket    = 3 // lower descriptors are the standard streams
)

// IsTransfer reports whether the call is a read or write that can carry a message on a connection.
func (c Call) IsTransfer() bool {
	return (c.Number == syscall.SYS_WRITE || c.Number == syscall.SYS_READ) && c.Descriptor >= firstSocket && c.Size >= minMessageSize
}
