//go:build linux && amd64

package syscallfault

import (
	"fmt"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

const (
	waitNoThread   = 0x20000000 // __WNOTHREAD: wait only for children and tracees of this thread
	optionExitKill = 0x100000   // PTRACE_O_EXITKILL
	syscallStop    = syscall.SIGTRAP | 0x80
	noSuchCall     = ^uint64(0)
	pollInterval   = 200 * time.Microsecond
	registerError  = "syscallfault: access registers: %w"
)

// Process is a program that runs under the tracer.
type Process struct {
	PID  int           // process ID
	done chan struct{} // closed when the program has ended and err is set
	err  error         // what went wrong with the tracing
}

// Start starts the command under its own tracer. The caller must not call cmd.Wait or similar methods; Process.Wait waits for
// the program.
func Start(cmd *exec.Cmd, faults FaultFunc) (*Process, error) {
	process := &Process{done: make(chan struct{})}
	started := make(chan error)
	go func() {
		defer close(process.done)
		runtime.LockOSThread() // ptrace requests must come from the thread that started the program; the thread exits with this goroutine
		attributes := syscall.SysProcAttr{}
		if cmd.SysProcAttr != nil {
			attributes = *cmd.SysProcAttr
		}
		attributes.Ptrace = true
		cmd.SysProcAttr = &attributes
		err := cmd.Start()
		if err == nil {
			process.PID = cmd.Process.Pid
		}
		started <- err
		if err != nil {
			return
		}
		tracer := tracer{leader: process.PID, faults: faults, threads: map[int]*thread{}}
		process.err = tracer.run()
	}()
	return process, <-started
}

// Wait waits until the program has ended. It returns an error if the tracing failed; the exit status is not reported.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Done returns a channel that is closed when the program has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the program.
func (p *Process) Signal(signal syscall.Signal) error { return syscall.Kill(p.PID, signal) }

// thread is the state of one thread of the program.
type thread struct {
	inCall    bool      // its last stop was the entry of a system call; the next is the exit
	fault     Fault     // fault of the current call
	heldUntil time.Time // when it may resume; zero if it is running
}

// tracer follows all threads of one program. All its methods run on the thread that started the program.
type tracer struct {
	leader      int             // process ID
	faults      FaultFunc       // decides the fault of each call
	threads     map[int]*thread // by thread ID
	heldThreads int             // threads whose heldUntil is set
}

// run traces the program from its first stop until its last thread has ended.
func (t *tracer) run() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(t.leader, &status, syscall.WALL, nil); err != nil {
		return fmt.Errorf("syscallfault: wait for first stop: %w", err)
	}
	options := syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | optionExitKill
	if err := syscall.PtraceSetOptions(t.leader, options); err != nil {
		return fmt.Errorf("syscallfault: set ptrace options: %w", err)
	}
	t.threads[t.leader] = &thread{}
	t.resume(t.leader, 0)
	for {
		waitOptions := syscall.WALL | waitNoThread
		if t.heldThreads > 0 {
			waitOptions |= syscall.WNOHANG
		}
		id, err := syscall.Wait4(-1, &status, waitOptions, nil)
		switch {
		case err == syscall.EINTR:
		case err == syscall.ECHILD:
			return nil // no tracee is left
		case err != nil:
			return fmt.Errorf("syscallfault: wait: %w", err)
		case id == 0:
			time.Sleep(pollInterval)
		default:
			if err := t.handleStop(id, status); err != nil {
				return err
			}
		}
		t.releaseHeld()
	}
}

// handleStop handles a stop or the exit of a thread.
func (t *tracer) handleStop(id int, status syscall.WaitStatus) error {
	if !status.Stopped() {
		if held := t.threads[id]; held != nil && !held.heldUntil.IsZero() {
			t.heldThreads--
		}
		delete(t.threads, id)
		return nil
	}
	signal := status.StopSignal()
	current, known := t.threads[id]
	switch {
	case !known: // the first stop of a new thread, for a SIGSTOP that the kernel generates
		t.threads[id] = &thread{}
		t.resume(id, 0)
	case signal == syscallStop:
		return t.handleSyscall(id, current)
	case signal == syscall.SIGTRAP: // a clone event; the new thread is registered at its own first stop
		t.resume(id, 0)
	default:
		t.resume(id, int(signal))
	}
	return nil
}

// handleSyscall handles a stop at the entry or exit of a system call.
func (t *tracer) handleSyscall(id int, current *thread) error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(id, &registers); err == syscall.ESRCH {
		return nil // the thread was killed in the meantime
	} else if err != nil {
		return fmt.Errorf(registerError, err)
	}
	if !current.inCall {
		current.inCall = true
		current.fault = t.faults(Call{Number: registers.Orig_rax, Descriptor: int(int32(registers.Rdi)),
			Size: int(registers.Rdx), Thread: id})
		if !t.applyAtEntry(current.fault, &registers) {
			t.resume(id, 0)
			return nil
		}
		return t.setRegisters(id, &registers)
	}
	current.inCall = false
	if current.fault.Delay > 0 {
		current.heldUntil = time.Now().Add(current.fault.Delay)
		t.heldThreads++
	}
	if current.fault.Errno != 0 {
		registers.Rax = uint64(-int64(current.fault.Errno))
		return t.setRegisters(id, &registers)
	}
	t.resume(id, 0)
	return nil
}

// applyAtEntry changes the registers of a call at its entry as the fault requires. It reports whether it changed any.
func (t *tracer) applyAtEntry(fault Fault, registers *syscall.PtraceRegs) bool {
	switch {
	case fault.Errno != 0:
		registers.Orig_rax = noSuchCall
	case fault.Size > 0:
		registers.Rdx = uint64(fault.Size)
	default:
		return false
	}
	return true
}

// setRegisters writes the registers of a stopped thread and resumes it.
func (t *tracer) setRegisters(id int, registers *syscall.PtraceRegs) error {
	if err := syscall.PtraceSetRegs(id, registers); err != nil && err != syscall.ESRCH {
		return fmt.Errorf(registerError, err)
	}
	t.resume(id, 0)
	return nil
}

// resume continues a thread until its next stop, unless it is held. Errors are ignored: Wait4 reports a thread that was
// killed in the meantime.
func (t *tracer) resume(id, signal int) {
	if t.threads[id].heldUntil.IsZero() {
		syscall.PtraceSyscall(id, signal)
	}
}

// releaseHeld resumes the held threads whose delay has passed.
func (t *tracer) releaseHeld() {
	if t.heldThreads == 0 {
		return
	}
	now := time.Now()
	for id, current := range t.threads {
		if !current.heldUntil.IsZero() && !now.Before(current.heldUntil) {
			current.heldUntil = time.Time{}
			t.heldThreads--
			t.resume(id, 0)
		}
	}
}
