package sock

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"

	"micatrack/internal/front"
	"micatrack/internal/pgwire"
)

// Dial starts a connection. What is written meanwhile waits until it is up; Closed follows if it is refused.
// One that never comes up is the core's to close: the library's own dial would leave it no handle for that,
// and misreads IPv4 addresses besides (1.6.8 takes the first four bytes of the sixteen-byte form).
func (n *Net) Dial(addr string) (front.Link, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	fd, sa, err := openBoundSocket(to)
	if err != nil {
		return nil, dialError(err)
	}
	file := os.NewFile(uintptr(fd), addr)
	defer file.Close()
	if err := syscall.Connect(fd, sa); err != nil && err != syscall.EINPROGRESS && err != syscall.EINTR {
		return nil, dialError(err)
	}
	c, err := net.FileConn(file)
	if err != nil {
		return nil, dialError(err)
	}
	l, err := n.add(c, 0, n.maxAnswer, pgwire.MaxQuerySize)
	if err != nil {
		return nil, dialError(err)
	}
	l.connecting = true
	return l, nil
}

// dialError is front.NoRoom where the machine is out of something for a moment, which says nothing of the store; else err.
func dialError(err error) error {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return err
	}
	switch errno {
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN:
		return front.ErrNoResources
	}
	return err
}

var bind = syscall.Bind // that no socket reads back where the port is left to connect, so a test stands in for it

// openBoundSocket opens a socket that is bound before it connects.
// Danger: the standard library asks a socket for its name before it takes it over. Where the system gives one
// that is bound nowhere no name until it is up, every store is unreachable. The port is left to connect:
// bind would take one that no other connection shares, and the machine runs out of those.
func openBoundSocket(to netip.AddrPort) (fd int, sa syscall.Sockaddr, err error) {
	family, sa, local := syscall.AF_INET6, syscall.Sockaddr(&syscall.SockaddrInet6{Port: int(to.Port()),
		Addr: to.Addr().As16()}), syscall.Sockaddr(&syscall.SockaddrInet6{})
	if a := to.Addr().Unmap(); a.Is4() {
		family, sa, local = syscall.AF_INET, &syscall.SockaddrInet4{Port: int(to.Port()), Addr: a.As4()},
			&syscall.SockaddrInet4{}
	}
	if fd, err = syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0); err != nil {
		return fd, sa, err
	}
	syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, ipBindAddressNoPort, 1) // a wish: older systems lack it
	if err = bind(fd, local); err != nil {
		syscall.Close(fd)
	}
	return fd, sa, err
}
