package sock

import (
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// InputAge returns the time since the system received the last input, or 0 if the system does not tell. The system counts
// in whole milliseconds. Only the main loop may call it.
func (l *Link) InputAge() time.Duration {
	info, size := &l.net.tcpInfo, uint32(unsafe.Sizeof(l.net.tcpInfo))
	l.conn.Lock() // while it is locked, the descriptor can't be reused
	defer l.conn.Unlock()
	if closed, _ := l.conn.IsClosed(); closed {
		return 0
	}
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(l.descriptor), unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(info)), uintptr(unsafe.Pointer(&size)), 0)
	known := unsafe.Offsetof(info.Last_data_recv) + unsafe.Sizeof(info.Last_data_recv)
	if errno != 0 || uintptr(size) < known {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
