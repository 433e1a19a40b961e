// Command cmd runs the policy bench and writes its tables to standard output.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"rattanchute/internal/policybench"
)

func main() {
	seeds, workers := 5, 2
	flaggy.SetName("policybench")
	flaggy.SetDescription("Measures routing and admission against small fakes in virtual time.")
	flaggy.SetVersion("1")
	flaggy.Int(&seeds, "s", "seeds", "number of seeds, at least 1")
	flaggy.Int(&workers, "w", "workers", "runs at once, at least 1")
	flaggy.Parse()
	if seeds < 1 || workers < 1 {
		fmt.Fprintln(os.Stderr, "policybench: seeds and workers must be at least 1")
		os.Exit(2)
	}
	sites := []*policybench.Site{policybench.Agroprecios(), policybench.Vazduh()}
	if err := policybench.NewSuite(seeds, workers).Report(os.Stdout, sites); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}
