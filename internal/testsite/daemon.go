package testsite

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Build compiles the named command of this module into dir and returns its path.
func Build(dir, command string) (string, error) {
	out := filepath.Join(dir, command)
	build := exec.Command("go", "build", "-o", out, "rattanchute/cmd/"+command)
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", command, err, text)
	}
	return out, nil
}

// Daemon is one rattanchuted process.
type Daemon struct {
	Name string
	// Callers, Peers and Operators are the addresses of its listeners.
	Callers   string
	Peers     string
	Operators string

	binary   string
	settings string
	// descriptors limits the file descriptors of the process; zero means the limit of this process.
	descriptors int
	process     *exec.Cmd
	done        chan struct{}
	output      lockedBuffer
}

// lockedBuffer collects the output of a process. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all that was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Start starts the process.
func (d *Daemon) Start() error {
	d.process = exec.Command(d.binary, "--settings", d.settings)
	if d.descriptors > 0 {
		// The shell replaces itself: the process is the daemon.
		d.process = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" --settings "$3"`, "sh",
			strconv.Itoa(d.descriptors), d.binary, d.settings)
	}
	d.process.Stdout = &d.output
	d.process.Stderr = &d.output
	if err := d.process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	go func() {
		defer close(done)
		_ = d.process.Wait()
	}()
	return nil
}

// PID returns the ID of the process that Start has started last.
func (d *Daemon) PID() int { return d.process.Process.Pid }

// WaitServing waits until the daemon lists a model for the caller. After the timeout it
// returns an error with the daemon's output.
func (d *Daemon) WaitServing(c *Caller, model string, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for !c.serves(model) {
		if time.Now().After(end) {
			return fmt.Errorf("testsite: %s does not serve %s: %s", d.Name, model, d.Output())
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// Kill kills the process with SIGKILL and waits for its end.
func (d *Daemon) Kill() error {
	err := d.Signal(syscall.SIGKILL)
	<-d.done
	return err
}

// Signal sends a signal to the process: SIGTERM stops it gracefully, SIGSTOP pauses it
// and SIGCONT continues it.
func (d *Daemon) Signal(s syscall.Signal) error { return d.process.Process.Signal(s) }

// Wait waits for the end of the process and returns its exit code. If the process still runs after
// the timeout, it returns an error.
func (d *Daemon) Wait(timeout time.Duration) (int, error) {
	select {
	case <-d.done:
		return d.process.ProcessState.ExitCode(), nil
	case <-time.After(timeout):
		return 0, errors.New("testsite: daemon still runs")
	}
}

// Output returns the output of all processes that Start has started for the daemon so far.
func (d *Daemon) Output() string { return d.output.String() }

// Close kills the process if it is running, and waits for its end.
func (d *Daemon) Close() {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Signal(syscall.SIGCONT)
	_ = d.process.Process.Signal(os.Kill)
	<-d.done
}
