// Package fleet defines the data that operators declare and the platform reports: data centres,
// hosts, endpoints, organisations, fleets, and the selectors that connect them. The types are
// plain data and perform no I/O. Parsing and validation report findings with their position in
// the source text.
package fleet
