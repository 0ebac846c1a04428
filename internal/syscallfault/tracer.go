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
	waitNoThread   = 0x20000000 // __WNOTHREAD: only what this thread has started or traces
	optionExitKill = 0x100000   // PTRACE_O_EXITKILL
	syscallStop    = syscall.SIGTRAP | 0x80
	noSuchCall     = ^uint64(0)
	pollInterval   = 200 * time.Microsecond
	registerError  = "syscallfault: registers: %w"
)

// Process is a traced program.
type Process struct {
	PID  int
	done chan struct{}
	err  error
}

// Start starts the command under a tracer of its own. The command must not be waited for by its own methods: Wait does it.
func Start(cmd *exec.Cmd, faults FaultFunc) (*Process, error) {
	process := &Process{done: make(chan struct{})}
	started := make(chan error)
	go func() {
		defer close(process.done)
		runtime.LockOSThread() // ptrace obeys the thread that started the program, and no other; it ends with this goroutine
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

// Wait waits for the program's end. The error tells what went wrong with the tracing, if anything did.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Done is closed at the program's end.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends the program a signal.
func (p *Process) Signal(signal syscall.Signal) error { return syscall.Kill(p.PID, signal) }

// thread is one of the program's threads.
type thread struct {
	inCall    bool // it stopped at a call's entry, and stops next at its exit
	fault     Fault
	heldUntil time.Time // when it may go on; zero: it is running
}

type tracer struct {
	leader      int
	faults      FaultFunc
	threads     map[int]*thread
	heldThreads int
}

// run follows the program from its first stop to its end.
func (t *tracer) run() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(t.leader, &status, syscall.WALL, nil); err != nil {
		return fmt.Errorf("syscallfault: first stop: %w", err)
	}
	options := syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE | optionExitKill
	if err := syscall.PtraceSetOptions(t.leader, options); err != nil {
		return fmt.Errorf("syscallfault: options: %w", err)
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
			return nil // the last thread has ended
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

// handleStop handles one stop or end of a thread.
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
	case !known: // a new thread's first stop, with a SIGSTOP that nobody sent
		t.threads[id] = &thread{}
		t.resume(id, 0)
	case signal == syscallStop:
		return t.handleSyscall(id, current)
	case signal == syscall.SIGTRAP: // an event: the new thread's own stop tells of it
		t.resume(id, 0)
	default:
		t.resume(id, int(signal))
	}
	return nil
}

// handleSyscall handles the entry or the exit of a system call.
func (t *tracer) handleSyscall(id int, current *thread) error {
	var registers syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(id, &registers); err == syscall.ESRCH {
		return nil // killed meanwhile
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

// applyAtEntry changes a call's registers at its entry; false: it is made as it is.
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

func (t *tracer) setRegisters(id int, registers *syscall.PtraceRegs) error {
	if err := syscall.PtraceSetRegs(id, registers); err != nil && err != syscall.ESRCH {
		return fmt.Errorf(registerError, err)
	}
	t.resume(id, 0)
	return nil
}

// resume lets a thread go on to its next stop, unless it is held. A thread that was killed meanwhile is told of by Wait4.
func (t *tracer) resume(id, signal int) {
	if t.threads[id].heldUntil.IsZero() {
		syscall.PtraceSyscall(id, signal)
	}
}

// releaseHeld lets those threads go on whose time has come.
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
