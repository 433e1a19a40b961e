package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConfirmationIsRenewedInTime checks the age at which hosts renew a confirmation. It has to leave time
// for a failed read, and a follower must not read the store itself while its leader's confirmations
// arrive as they do in a group of some thirty hosts.
func TestConfirmationIsRenewedInTime(t *testing.T) {
	is := is.New(t)
	const (
		readTimeout = 700 * time.Millisecond
		// A follower reports every 250 ms, its leader reads every 1.1 s at most and sends digests every
		// 550 ms at most.
		ageInLargeGroup = (250 + 1100 + 550) * time.Millisecond
	)
	for _, maxAge := range []time.Duration{3500 * time.Millisecond, 4 * time.Second, 4700 * time.Millisecond} {
		leader, follower := confirmationInterval(true, maxAge), confirmationInterval(false, maxAge)
		is.Equal(leader, pollInterval)
		is.True(jitteredAtMost(follower)+readTimeout+retryDelay <= maxAge)
		is.True(jitteredAtLeast(follower) >= ageInLargeGroup-50*time.Millisecond)
	}
	// Short limits are kept by leaders as well.
	is.True(jitteredAtMost(confirmationInterval(true, time.Second)) < time.Second)
	is.Equal(confirmationInterval(false, 0), maxFollowerInterval)
}

func jitteredAtMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction/2))
}

func jitteredAtLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction/2))
}
