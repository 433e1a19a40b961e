package main

import (
	"fmt"
	"strings"
)

// pageHeader is the start of a new page.
const pageHeader = `# Measurements

Each section is written by the command that it names; nothing here is edited by hand.
`

// tableSeparator follows the header row of a Markdown table.
const tableSeparator = "\n|---"

// section is the part of the page for one benchmark.
type section struct {
	name    string
	machine machine
	command string
	output  []byte
}

func beginMarker(name string) string { return "<!-- begin " + name + " -->" }
func endMarker(name string) string   { return "<!-- end " + name + " -->" }

// render returns the section between its markers.
func (s section) render() string {
	var b strings.Builder
	fmt.Fprintln(&b, beginMarker(s.name))
	fmt.Fprintf(&b, "## %s\n\n", s.name)
	fmt.Fprintf(&b, "- date: %s\n", s.machine.date.UTC().Format("2006-01-02 15:04 MST"))
	fmt.Fprintf(&b, "- machine: %d cores, %s, load average at the end %s\n", s.machine.cores, s.machine.goVersion, s.machine.load)
	fmt.Fprintf(&b, "- command: `%s`\n\n", s.command)
	b.WriteString(s.body())
	fmt.Fprintf(&b, "\n%s\n", endMarker(s.name))
	return b.String()
}

// body returns the output, as a code block unless it contains a Markdown table.
func (s section) body() string {
	text := strings.TrimSpace(string(s.output))
	if strings.Contains(text, tableSeparator) {
		return text
	}
	return "```text\n" + text + "\n```"
}

// insertSection adds a section to a page, or replaces the earlier section of the same name.
func insertSection(page string, s section) (string, error) {
	if page == "" {
		page = pageHeader
	}
	begin := strings.Index(page, beginMarker(s.name))
	end := strings.Index(page, endMarker(s.name))
	if begin < 0 && end < 0 {
		return strings.TrimRight(page, "\n") + "\n\n" + s.render(), nil
	}
	if begin < 0 || end < begin {
		return "", fmt.Errorf("the markers of section %q are incomplete or out of order", s.name)
	}
	rest := strings.TrimPrefix(page[end+len(endMarker(s.name)):], "\n")
	return page[:begin] + s.render() + rest, nil
}
