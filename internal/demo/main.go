// Command demo shows the whole path with the example configurations: stand-in, three
// daemons, streamed and plain calls through each, a reclaim and a drain. It ends all
// processes that it started.
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
	for _, u := range users {
		started := time.Now()
		if err := show(u, binaries, examples); err != nil {
			fmt.Fprintf(os.Stderr, "demo: %s: %v\n", u.name, err)
			os.Exit(1)
		}
		fmt.Printf("%s: shown in %.1f s\n", u.name, time.Since(started).Seconds())
	}
	fmt.Println("demo: ok")
}

// user is one of the example sites and the calls that the demo makes there.
type user struct {
	name         string
	organisation string
	model        string
	prompt       string
	// readPath may be repeated; bookPath may not.
	readPath string
	bookPath string
	// dataCentres are those of the entry hosts.
	dataCentres []string
}

var users = []user{
	{
		name:         "agroprecios",
		organisation: "cooperativas-sierra",
		model:        "comentario-mercado",
		prompt:       "Comentario semanal de urea y fosfato para la Sierra",
		readPath:     "/suscriptores/boletines/urea",
		bookPath:     "/suscriptores/price-locks",
		dataCentres:  []string{"quito-norte", "quito-sur", "cumbaya"},
	},
	{
		name:         "vazduh",
		organisation: "examiners",
		model:        "logbook-summary",
		prompt:       "Summarise the logbook of the last ninety days",
		readPath:     "/renew/pilots/17",
		bookPath:     "/renew/fees",
		dataCentres:  []string{"sofia-a", "sofia-b", "sofia-c"},
	},
}
