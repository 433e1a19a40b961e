// Package fleet holds the data that operators declare and the platform reports:
// data centres, hosts, endpoints, organisations, fleets and the selectors that tie
// them together. The types are plain data without behaviour that does I/O; parsing
// and validation collect findings with their place in the source text.
package fleet
