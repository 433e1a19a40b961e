// Command benchpage copies the output of a benchmark from standard input to standard output, and
// also writes it to the section of the benchmark in the page of measurements.
package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	file, name, command := "docs/MEASUREMENTS.md", "", ""
	flaggy.SetName("benchpage")
	flaggy.SetDescription("writes a bench's output into the page of measurements")
	flaggy.String(&file, "p", "page", "file of the page")
	flaggy.String(&name, "s", "section", "name of the section")
	flaggy.String(&command, "c", "command", "command that gave the output")
	flaggy.Parse()
	if err := run(file, section{name: name, command: command}); err != nil {
		fmt.Fprintln(os.Stderr, "benchpage:", err)
		os.Exit(1)
	}
}

func run(file string, s section) error {
	if s.name == "" {
		return errors.New("the name of the section is missing")
	}
	var err error
	if s.output, err = io.ReadAll(io.TeeReader(os.Stdin, os.Stdout)); err != nil {
		return err
	}
	if len(s.output) == 0 {
		return errors.New("the benchmark printed nothing")
	}
	page, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	s.machine = currentMachine()
	text, err := insertSection(string(page), s)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text), 0o644)
}

// machine describes the machine and the time of a benchmark run.
type machine struct {
	date      time.Time
	cores     int
	goVersion string
	load      string
}

func currentMachine() machine {
	return machine{date: time.Now(), cores: runtime.NumCPU(), goVersion: runtime.Version(), load: loadAverage()}
}

// loadAverage returns the load averages of the machine over 1, 5 and 15 minutes, or "not known".
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "not known"
	}
	return strings.Join(fields[:3], ", ")
}
