package connlisten

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// sendBytes is the size of the operating system's send buffer of a connection, which holds up to twice as much of what its
// client does not take. With less, a client on the same machine would wait for acknowledgements that are sent with a delay.
const sendBytes = 64 << 10

// Listen opens a TCP listener whose connections have buffers as SetBuffers sets them.
func Listen(address string, receiveBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) { setErr = SetBuffers(int(fd), receiveBytes) })
		return errors.Join(err, setErr)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// SetBuffers sets the sizes of the operating system's buffers of a listener's connections. It holds up to about one and a half
// times the receive buffer of a connection whose server does not read, as while a request is in progress.
func SetBuffers(fd, receiveBytes int) error {
	return errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBytes),
	)
}
