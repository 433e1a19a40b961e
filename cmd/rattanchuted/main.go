// Command rattanchuted is the daemon that runs on each entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"rattanchute/internal/app"
	"rattanchute/internal/settings"
)

// The exit codes other than 0: a failed start or run, and findings in the settings file.
const (
	exitFailed   = 1
	exitFindings = 2
)

func main() {
	file := "rattanchuted.jsonc"
	check := false
	flaggy.SetName("rattanchuted")
	flaggy.SetDescription("serves callers, routes their requests and recovers them")
	flaggy.SetVersion(app.Version)
	flaggy.String(&file, "s", "settings", "settings file, JSON with comments")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	onPlatform := false
	flaggy.Bool(&onPlatform, "p", "platform", "take settings, configuration and endpoints from the users' platform")
	flaggy.Parse()

	if onPlatform {
		exitOn(runOnPlatform(stopContext()))
		return
	}

	s, findings := settings.Load(file, settings.ProcessEnvironment())
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings.Error())
		os.Exit(exitFindings)
	}
	if check {
		return
	}
	exitOn(run(s))
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "rattanchuted:", err)
		os.Exit(exitFailed)
	}
}

// stopContext returns a context that is cancelled by the first SIGTERM or SIGINT. Further
// signals are ignored, so that the graceful shutdown completes.
func stopContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

func run(s settings.Settings) error {
	logger := &log.Logger{
		Level:      log.ParseLevel(s.LogLevel),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
	daemon, err := app.New(s, logger)
	if err != nil {
		return err
	}
	return daemon.Run(stopContext())
}
