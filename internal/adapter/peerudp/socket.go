// Package peerudp sends and receives the entry hosts' heartbeat messages over UDP over IPv4.
// Each message is one datagram of JSON.
package peerudp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"rattanchute/internal/heartbeat"
)

// maxDatagramBytes is the largest UDP payload over IPv4.
const maxDatagramBytes = 65507

// Socket is a UDP socket that sends and receives heartbeat messages.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a socket at address, an IPv4 "ip:port".
func Listen(address string) (*Socket, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("peer socket: %w", err)
	}
	return &Socket{conn: conn}, nil
}

// Close closes the socket and makes a blocked Receive return.
func (s *Socket) Close() error { return s.conn.Close() }

// ErrTooLarge means that a message does not fit into a datagram.
var ErrTooLarge = errors.New("peer message: does not fit a datagram")

// Encode returns the datagram of a message, or ErrTooLarge.
func Encode(d heartbeat.Datagram) ([]byte, error) {
	text, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	if len(text) > maxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(text))
	}
	return text, nil
}

// Decode parses a datagram, which is the JSON text that Encode returns.
func Decode(text []byte) (heartbeat.Datagram, error) {
	var d heartbeat.Datagram
	if err := json.Unmarshal(text, &d); err != nil {
		return d, fmt.Errorf("peer message: %w", err)
	}
	return d, nil
}

// Send sends a datagram to address, an IPv4 "ip:port".
func (s *Socket) Send(address string, datagram []byte) error {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	_, err = s.conn.WriteToUDPAddrPort(datagram, addr)
	return err
}

// Receive waits for the next datagram and decodes it. A datagram longer than the buffer is
// truncated; a buffer of BufferBytes holds any.
func (s *Socket) Receive(buffer []byte) (heartbeat.Datagram, error) {
	n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return heartbeat.Datagram{}, err
	}
	return Decode(buffer[:n])
}

// BufferBytes is the size of a buffer that holds any datagram.
const BufferBytes = maxDatagramBytes
