package sock

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// muchInput is the number of received bytes from which on the peer may have sent more than the system had room for. Many
	// small packets fill the system's buffer long before their content does.
	muchInput = 8 << 10
	// lossRecovery is the time within which a peer has repeated a packet that was dropped: the shortest timeout of TCP is
	// 200 ms, and it doubles once where a probe was sent first.
	lossRecovery = 500 * time.Millisecond
)

// inputLosses keeps whether the system has dropped packets of a peer for want of room. Until the peer has repeated them, its
// further input and its close do not arrive, though it may have closed the connection. A zero value is ready for use.
type inputLosses struct {
	packets uint32    // packets dropped so far
	until   time.Time // when the peer has repeated the last of them; zero: none was dropped
}

// record takes the system's count of dropped packets, and returns by how many it has grown.
func (i *inputLosses) record(packets uint32) (more uint32) {
	if more = packets - i.packets; more > 0 {
		i.packets, i.until = packets, time.Now().Add(lossRecovery)
	}
	return more
}

// unrecovered reports whether the peer may have yet to repeat a dropped packet.
func (i *inputLosses) unrecovered() bool { return !i.until.IsZero() && time.Now().Before(i.until) }

// checkLosses records the packets that the system has dropped of a client's input, if muchInput has come since the last
// call that did. The caller must hold mu.
func (l *Link) checkLosses() {
	if !l.accepted || l.uncheckedBytes < muchInput {
		return
	}
	l.uncheckedBytes = 0
	l.conn.Lock() // while it is locked, the descriptor can't be reused
	defer l.conn.Unlock()
	if closed, _ := l.conn.IsClosed(); closed {
		return
	}
	if packets, ok := droppedPackets(l.descriptor); ok {
		l.net.lostPackets.Add(uint64(l.losses.record(packets)))
	}
}

// droppedPackets returns how many received packets of a socket the system has dropped. ok is false if it does not tell.
func droppedPackets(descriptor int) (packets uint32, ok bool) {
	const dropsIndex, fields = 8, 9 // SK_MEMINFO_DROPS, SK_MEMINFO_VARS
	var info [fields]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(descriptor), unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	return info[dropsIndex], errno == 0 && uintptr(size) == unsafe.Sizeof(info)
}

// LostPackets returns how many packets of clients the system has dropped for want of room, as far as the front has noticed. It
// is safe for concurrent use.
func (n *Net) LostPackets() uint64 { return n.lostPackets.Load() }
