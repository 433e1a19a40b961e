package httpclient

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isReset reports whether a connection was reset, also if the operating system has reported that to someone else. It was not
// if the peer has merely ended its side.
func isReset(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}} // POLLHUP needs not be asked for
		n, pollErr := unix.Poll(fds, 0)
		reset = pollErr == nil && n > 0 && fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && reset
}
