package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/asynclog"
	"rattanchute/internal/node"
	"rattanchute/internal/objectstore"
	"rattanchute/platform"
)

const (
	// storeTimeout bounds a store call; a watch may take storeWatchWait longer. The store
	// normally responds within milliseconds.
	storeTimeout = 700 * time.Millisecond
	// storeWatchWait is how long a watch waits for changes. Shorter waits mean more calls.
	storeWatchWait = 8 * time.Second
	// dutyTimeout bounds a call of the duty client. It is shorter than the safety margin of
	// the lease.
	dutyTimeout = 800 * time.Millisecond
)

// reloadSignals returns a channel that receives SIGHUP. Signals that arrive while one is
// pending are merged with it.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// ignoreClosedOutput keeps the process alive if the reader of its standard output goes away. By
// default the Go runtime ends a process that writes to a broken pipe there.
func ignoreClosedOutput() { signal.Ignore(syscall.SIGPIPE) }

// runOnPlatform runs the daemon as an entry host of the users' platform.
func runOnPlatform(ctx context.Context) error {
	ignoreClosedOutput()
	logger := asynclog.New(os.Stdout, log.InfoLevel)
	defer func() { _ = logger.Close() }()
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	logger.Context = log.NewContext(nil).Str("node", s.Name).Value()
	eras := &objectstore.EraTracker{}
	store := platform.NewStore(platform.StoreOptions{
		Address:   s.StoreAddress,
		Eras:      eras,
		Timeout:   storeTimeout,
		WatchWait: storeWatchWait,
		OnMalformed: objectstore.ReportMalformedOnce(func(kind objectstore.Kind, err error) {
			logger.Warn().Str("kind", string(kind)).Err(err).Msg("store entry skipped")
		}),
	})
	n, err := node.New(node.Dependencies{
		Settings:    s,
		Store:       store,
		StoreEras:   eras,
		Duties:      platform.NewDutyClient(s.DutyAddress, dutyTimeout),
		HeaderCodec: platform.HeaderCodec{},
		Decode: node.Decoders{
			ConfigurationName: platform.ConfigurationName,
			Configuration:     platform.DecodeConfiguration,
			Endpoint:          platform.DecodeEndpoint,
			Rollout:           platform.DecodeRollout,
			RolloutStatus:     platform.EncodeRolloutStatus,
		},
		Log:            &logger.Logger,
		LogDropped:     logger.Dropped,
		ReloadSettings: platform.ReadSettings,
	})
	if err != nil {
		return err
	}
	return n.Run(ctx, reloadSignals())
}
