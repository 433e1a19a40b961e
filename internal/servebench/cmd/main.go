// Command cmd measures the daemon's serving path and prints the results as Markdown.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"rattanchute/internal/servebench"
)

func main() {
	plan := servebench.DefaultPlan
	flaggy.SetName("servebench")
	flaggy.SetDescription("measures what a daemon adds to the engines' answers")
	flaggy.Int(&plan.Runs, "r", "runs", "number of runs, at least 1")
	flaggy.UInt64(&plan.Seed, "s", "seed", "seed of the first run")
	flaggy.Parse()
	if plan.Runs < 1 {
		fmt.Fprintln(os.Stderr, "servebench: runs must be at least 1")
		os.Exit(2)
	}
	results, err := servebench.Measure(plan)
	if err != nil {
		fmt.Fprintln(os.Stderr, "servebench:", err)
		os.Exit(1)
	}
	results.Print(os.Stdout)
}
