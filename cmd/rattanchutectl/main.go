// Command rattanchutectl is the operators' command-line tool of rattanchute.
package main

import (
	"os"

	"rattanchute/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], ctl.ProcessEnvironment()))
}
