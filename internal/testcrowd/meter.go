package testcrowd

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// sampleInterval is how often a Meter counts descriptors, and queueInterval how often it counts queued bytes.
	sampleInterval = 20 * time.Millisecond
	queueInterval  = 100 * time.Millisecond
)

// Meter measures a process.
type Meter struct {
	pid  int
	stop chan struct{}
	done sync.WaitGroup

	mu          sync.Mutex
	descriptors int
	peak        queues
}

// queues are the bytes that the kernel holds of connections.
type queues struct {
	// unread is what the process has not read, and untaken what it has written and its clients have not taken.
	unread, untaken int64
}

// Measure begins to measure a process.
func Measure(pid int) *Meter {
	m := &Meter{pid: pid, stop: make(chan struct{})}
	m.done.Go(func() {
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(sampleInterval):
				m.sample()
			}
		}
	})
	return m
}

func (m *Meter) sample() {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid))
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.descriptors = max(m.descriptors, len(open))
}

// MeasureQueues also measures how many bytes the kernel holds of the connections of a listener, "ip:port".
func (m *Meter) MeasureQueues(address string) {
	m.done.Go(func() {
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(queueInterval):
				m.sampleQueues(address)
			}
		}
	})
}

func (m *Meter) sampleQueues(address string) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return
	}
	local := procAddress(address)
	var now queues
	for line := range strings.Lines(string(table)) {
		// The second field is the local address, the fifth the sizes of both queues.
		if fields := strings.Fields(line); len(fields) > 4 && fields[1] == local {
			sent, received, _ := strings.Cut(fields[4], ":")
			now.untaken += parseSize(sent)
			now.unread += parseSize(received)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak.unread = max(m.peak.unread, now.unread)
	m.peak.untaken = max(m.peak.untaken, now.untaken)
}

// parseSize returns the size of a queue, which /proc/net/tcp writes in hex; zero if it is none.
func parseSize(hex string) int64 {
	size, _ := strconv.ParseInt(hex, 16, 64)
	return size
}

// procAddress returns an IPv4 address, "ip:port", as /proc/net/tcp writes it on a little-endian machine.
func procAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	ip := a.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}

// peakQueues returns the most bytes that were queued at a time, each direction for itself.
func (m *Meter) peakQueues() queues {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// Stop ends the measurement.
func (m *Meter) Stop() {
	close(m.stop)
	m.done.Wait()
}

// PeakDescriptors returns the largest number of open descriptors seen.
func (m *Meter) PeakDescriptors() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.descriptors
}

// Check returns an error if the process has ended, or has taken more memory, in bytes, or more descriptors than it may.
func (m *Meter) Check(memory int64, descriptors int) error {
	peak, err := m.PeakMemory()
	peak += m.peakQueues().unread + m.peakQueues().untaken
	switch {
	case err != nil:
		return fmt.Errorf("the process has ended: %w", err)
	case peak > memory:
		return fmt.Errorf("%d bytes were taken of %d", peak, memory)
	case m.PeakDescriptors() > descriptors:
		return fmt.Errorf("%d descriptors were open of %d", m.PeakDescriptors(), descriptors)
	}
	return nil
}

// String tells the peaks.
func (m *Meter) String() string {
	peak, _ := m.PeakMemory()
	q := m.peakQueues()
	return fmt.Sprintf("peak %d MB, %d MB unread, %d MB untaken, %d descriptors", peak>>20, q.unread>>20, q.untaken>>20, m.PeakDescriptors())
}

// PeakMemory returns the largest resident size of the process so far, in bytes. It returns an error if the process has
// ended.
func (m *Meter) PeakMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes * kib, nil
		}
	}
	return 0, fmt.Errorf("process %d has no resident size", m.pid)
}
