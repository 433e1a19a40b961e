package main

import (
	"fmt"
	"strings"
)

// pageHead starts a page that does not exist yet.
const pageHead = `# Measurements

Each section is written by the command that it names; nothing here is edited by hand.
`

// tableRule stands under the head of a Markdown table.
const tableRule = "\n|---"

// section is one bench's part of the page.
type section struct {
	name    string
	machine machine
	command string
	output  []byte
}

func beginMark(name string) string { return "<!-- begin " + name + " -->" }
func endMark(name string) string   { return "<!-- end " + name + " -->" }

// render returns the section with its marks.
func (s section) render() string {
	var b strings.Builder
	fmt.Fprintln(&b, beginMark(s.name))
	fmt.Fprintf(&b, "## %s\n\n", s.name)
	fmt.Fprintf(&b, "- date: %s\n", s.machine.date.UTC().Format("2006-01-02 15:04 MST"))
	fmt.Fprintf(&b, "- machine: %d cores, %s, load average at the end %s\n", s.machine.cores, s.machine.goVersion, s.machine.load)
	fmt.Fprintf(&b, "- command: `%s`\n\n", s.command)
	b.WriteString(s.body())
	fmt.Fprintf(&b, "\n%s\n", endMark(s.name))
	return b.String()
}

// body is the output, set as plain text unless it has Markdown tables of its own.
func (s section) body() string {
	text := strings.TrimSpace(string(s.output))
	if strings.Contains(text, tableRule) {
		return text
	}
	return "```text\n" + text + "\n```"
}

// place puts a section into a page, in the place of the earlier one if there is any.
func place(page string, s section) (string, error) {
	if page == "" {
		page = pageHead
	}
	begin := strings.Index(page, beginMark(s.name))
	end := strings.Index(page, endMark(s.name))
	if begin < 0 && end < 0 {
		return strings.TrimRight(page, "\n") + "\n\n" + s.render(), nil
	}
	if begin < 0 || end < begin {
		return "", fmt.Errorf("the marks of section %q are out of order", s.name)
	}
	rest := strings.TrimPrefix(page[end+len(endMark(s.name)):], "\n")
	return page[:begin] + s.render() + rest, nil
}
