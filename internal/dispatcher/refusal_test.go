package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/route"
)

// openingRouter is a router whose closed endpoints open at this moment.
type openingRouter struct{ Router }

func (openingRouter) Opening(time.Time, string, string) (time.Duration, bool) { return 0, true }

func TestRefusalWhileEndpointsAreClosedSaysWhenToComeBack(t *testing.T) {
	is := is.New(t)
	s := &Service{router: openingRouter{}, now: time.Now}
	refusal := s.refuseRoute("r", route.ErrNoEndpoint, route.Query{})
	is.Equal(refusal.Detail.Code, "endpoints_closed")
	is.True(refusal.Detail.RetryAfterMillis > 0)
}
