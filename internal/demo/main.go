// Command demo demonstrates the system with the example configurations. For each, it
// starts the stand-in and three daemons, sends streamed and plain calls through each
// daemon, reclaims a host and drains a daemon. It ends all processes that it started, also
// after a step has failed.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

func main() {
	binaries := "bin"
	examples := "examples"
	flaggy.SetName("demo")
	flaggy.SetDescription("shows the whole path with the example configurations")
	flaggy.String(&binaries, "b", "binaries", "directory of the built programs")
	flaggy.String(&examples, "e", "examples", "directory of the example configurations")
	flaggy.Parse()
	for _, e := range exampleSites {
		started := time.Now()
		if err := show(e, binaries, examples); err != nil {
			fmt.Fprintf(os.Stderr, "demo: %s: %v\n", e.name, err)
			os.Exit(1)
		}
		fmt.Printf("%s: shown in %.1f s\n", e.name, time.Since(started).Seconds())
	}
	fmt.Println("demo: ok")
}

// example is one of the example sites with the calls that the demo makes there.
type example struct {
	name         string
	organisation string
	model        string
	prompt       string
	// Calls of readPath are idempotent, calls of writePath are not.
	readPath  string
	writePath string
	// dataCentres are those of the entry hosts.
	dataCentres []string
}

var exampleSites = []example{
	{
		name:         "agroprecios",
		organisation: "cooperativas-sierra",
		model:        "comentario-mercado",
		prompt:       "Comentario semanal de urea y fosfato para la Sierra",
		readPath:     "/suscriptores/boletines/urea",
		writePath:    "/suscriptores/price-locks",
		dataCentres:  []string{"quito-norte", "quito-sur", "cumbaya"},
	},
	{
		name:         "vazduh",
		organisation: "examiners",
		model:        "logbook-summary",
		prompt:       "Summarise the logbook of the last ninety days",
		readPath:     "/renew/pilots/17",
		writePath:    "/renew/fees",
		dataCentres:  []string{"sofia-a", "sofia-b", "sofia-c"},
	},
}
