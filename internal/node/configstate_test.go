package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

var stateEpoch = time.Unix(1000, 0)

func TestOlderConfigurationOfACopyIsNotPutInForce(t *testing.T) {
	is := is.New(t)
	var s configurationState
	is.True(s.read(objectstore.NewVersion(1, 90), 7))
	is.True(s.confirmed(stateEpoch, 7))
	s.restored(stateEpoch)
	is.True(!s.read(objectstore.NewVersion(2, 50), 5)) // the copy holds an older one
	is.Equal(s.active, fleet.Generation(7))
	settled := stateEpoch.Add(restoreSettleTime)
	is.True(!s.confirmed(settled, s.stored)) // the operator has not written again
	is.True(!s.read(objectstore.NewVersion(2, 60), 7))
	is.True(s.confirmed(settled, s.stored))
}

// TestConfigurationIsNotConfirmedRightAfterARestore covers the loss of a configuration that no host had
// read: the copy then looks like the newest state until the operator writes again.
func TestConfigurationIsNotConfirmedRightAfterARestore(t *testing.T) {
	is := is.New(t)
	var s configurationState
	s.read(objectstore.NewVersion(1, 40), 5)
	s.restored(stateEpoch)
	s.read(objectstore.NewVersion(2, 40), 5)
	is.True(!s.confirmed(stateEpoch.Add(restoreSettleTime-time.Millisecond), s.stored))
	is.True(s.read(objectstore.NewVersion(2, 41), 6))
	is.True(s.confirmed(stateEpoch.Add(restoreSettleTime), s.stored))
}

// TestHostThatMissedAConfigurationIsNotConfirmed covers a host that starts on the copy while its peers
// have a newer configuration in force.
func TestHostThatMissedAConfigurationIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	var s configurationState
	s.read(objectstore.NewVersion(2, 40), 5)
	is.True(s.confirmed(stateEpoch, s.stored))
	is.True(s.heard(6))
	is.True(!s.confirmed(stateEpoch, s.stored))
	is.True(!s.heard(5))
	is.True(s.read(objectstore.NewVersion(2, 41), 6))
	is.True(s.confirmed(stateEpoch, s.stored))
}
