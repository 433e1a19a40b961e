// Command harness plays the cases of the second review: it starts the daemons as processes, and is their platform, their
// runners and their clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*site){}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a case.
const longest = 110 * time.Second

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER; cases:", names)
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(f func(*site), folder string) (code int) {
	temporary, err := os.MkdirTemp("", "review")
	check(err)
	s := newSite(temporary)
	s.trouble = os.Getenv("TROUBLE") != "0"
	defer func() {
		if reason := recover(); reason != nil {
			s.record.add("not run: %v", reason)
			code = exitNotRun
		}
		s.close()
		s.record.add("exit code %d", code)
		check(os.WriteFile(filepath.Join(folder, "record.txt"), []byte(s.record.text()), 0o644))
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temporary)
		} else {
			fmt.Println("logs:", temporary)
		}
	}()
	time.AfterFunc(longest, func() {
		s.record.add("not run: took longer than %v", longest)
		s.close()
		_ = os.WriteFile(filepath.Join(folder, "record.txt"), []byte(s.record.text()), 0o644)
		os.Exit(exitNotRun)
	})
	s.record.add("trouble: %v", s.trouble)
	f(s)
	if s.broken {
		return exitBroken
	}
	return exitHeld
}

// record is what a case writes to its record.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	r.lines = append(r.lines, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

func (r *record) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := ""
	for _, l := range r.lines {
		text += l + "\n"
	}
	return text
}
