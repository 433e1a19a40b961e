// Command cmd measures the capacity and reclaim decisions and prints Markdown.
package main

import (
	"os"

	"github.com/alitto/pond/v2"
	"github.com/integrii/flaggy"

	"rattanchute/internal/costbench"
)

func main() {
	seeds, workers := 5, 4
	flaggy.SetName("costbench")
	flaggy.SetDescription("Measures cost at the latency target and recomputed tokens in virtual time.")
	flaggy.Int(&seeds, "s", "seeds", "number of seeds")
	flaggy.Int(&workers, "w", "workers", "days simulated at once")
	flaggy.Parse()
	pool := pond.NewPool(workers)
	defer pool.StopAndWait()
	costbench.Report(os.Stdout, pool, seeds)
}
