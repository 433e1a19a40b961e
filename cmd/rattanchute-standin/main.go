// Command rattanchute-standin runs fakes of the platform, the cloud, model engines and
// plain services in one process, until SIGINT or SIGTERM. It prints their addresses as JSON.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"rattanchute/internal/standin"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "rattanchute-standin:", err)
		os.Exit(1)
	}
}

func run() error {
	settings := ""
	flaggy.SetName("rattanchute-standin")
	flaggy.SetDescription("Fakes of the platform, the cloud, engines and services, for tests and quick starts.")
	flaggy.String(&settings, "s", "settings", "File of settings: JSON with comments.")
	flaggy.Parse()
	var config standin.SiteConfig
	if settings != "" {
		text, err := os.ReadFile(settings)
		if err != nil {
			return err
		}
		if config, err = standin.ParseSiteConfig(text); err != nil {
			return err
		}
	}
	site, err := standin.NewSite(config)
	if err != nil {
		return err
	}
	defer site.Close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	if err := site.Listen(); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(site.ListenMap()); err != nil {
		return err
	}
	<-ended
	return nil
}
