// Command benchpage writes the output of a bench, read from standard input, into its
// section of the page of measurements and passes it on to standard output.
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
		return errors.New("no section is named")
	}
	var err error
	if s.output, err = io.ReadAll(io.TeeReader(os.Stdin, os.Stdout)); err != nil {
		return err
	}
	if len(s.output) == 0 {
		return errors.New("the bench printed nothing")
	}
	page, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	s.machine = thisMachine()
	text, err := place(string(page), s)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(text), 0o644)
}

// machine is where and when a bench ran.
type machine struct {
	date      time.Time
	cores     int
	goVersion string
	load      string
}

func thisMachine() machine {
	return machine{date: time.Now(), cores: runtime.NumCPU(), goVersion: runtime.Version(), load: loadAverage()}
}

// loadAverage is the machine's load over 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "not known"
	}
	return strings.Join(fields[:3], ", ")
}
