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

// Dial starts connecting to addr, an IP address and port, and returns without waiting. Data written before the connection is
// established is queued; a front.Closed event follows if the connection is refused. The core has to close a connection that is
// never established. nbio's own dial isn't used because it would give the core no handle for that, and because it misreads
// IPv4 addresses (version 1.6.8 takes the first four bytes of the sixteen-byte form).
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

// dialError returns front.ErrNoResources if err means that this machine is temporarily out of a resource, which says nothing
// about the store. Otherwise it returns err.
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

// bind is a variable so that a test can observe the call: a socket's state doesn't show afterwards that it was bound if the
// port is left to connect.
var bind = syscall.Bind

// openBoundSocket opens a non-blocking socket for a connection to the address and binds it to the wildcard address.
//
// net.FileConn calls getsockname on the socket. On systems where an unbound socket has no name until it is connected, that
// call fails and no store could be reached; so the socket is bound first. The port is chosen only by connect: bind would
// choose one that no other connection shares, and the machine could run out of ports.
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
	syscall.SetsockoptInt(fd, syscall.IPPROTO_IP, ipBindAddressNoPort, 1) // best effort: older systems don't support it
	if err = bind(fd, local); err != nil {
		syscall.Close(fd)
	}
	return fd, sa, err
}
