// Command cmd measures the control traffic between daemons and prints what it costs
// at the planned size.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"rattanchute/internal/capacitybench"
)

func main() {
	windows := capacitybench.DefaultWindows
	plot := "docs/capacity.svg"
	flaggy.SetName("capacitybench")
	flaggy.SetDescription("measures the control traffic between daemons")
	flaggy.Duration(&windows.Loopback, "l", "loopback", "time of each run over HTTP")
	flaggy.Duration(&windows.Virtual, "t", "virtual", "virtual time of each run of many nodes")
	flaggy.String(&plot, "p", "plot", "file for the plot, empty for none")
	flaggy.Parse()
	log.DefaultLogger.Level = log.ErrorLevel
	if err := run(windows, plot); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(windows capacitybench.Windows, plot string) error {
	start := time.Now()
	results, err := capacitybench.Run(windows)
	if err != nil {
		return err
	}
	if plot != "" {
		if err := results.Plot(plot); err != nil {
			return err
		}
	}
	fmt.Printf("measured in %v\n", time.Since(start).Round(time.Second))
	results.Print(os.Stdout)
	return nil
}
