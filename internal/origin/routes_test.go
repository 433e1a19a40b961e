package origin

import (
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/route"
)

// TestDestinationIsCertainOnceNoStreamOfAnotherCanBeTakenUp: also after it was changed for a while, at a host that is younger than
// that, and by what others know.
func TestDestinationIsCertainOnceNoStreamOfAnotherCanBeTakenUp(t *testing.T) {
	is := is.New(t)
	first := NewTable(at(0), true)
	first.SetRoutes(at(1), []route.Destination{"a"})
	is.True(first.DestinationIsCertain(at(1), "a")) // there were no streams before
	first.SetRoutes(at(10), []route.Destination{"b"})
	is.True(!first.DestinationIsCertain(at(10), "a"))
	is.True(!first.DestinationIsCertain(at(39), "b"))
	first.SetRoutes(at(20), []route.Destination{"a", "b"})
	is.True(!first.DestinationIsCertain(at(49), "a")) // it has led elsewhere in between
	is.True(first.DestinationIsCertain(at(40), "b"))

	late := NewTable(at(0), true)
	late.SetRoutes(at(5), []route.Destination{"a"}) // others may have had another configuration
	is.True(!late.DestinationIsCertain(at(34), "a"))

	young := NewTable(at(50), false)
	young.SetRoutes(at(50), []route.Destination{"a", "b"})
	is.True(!young.DestinationIsCertain(at(51), "b"))
	first.Repeat(at(45))
	young.Apply(at(45), first.Report(at(45), longAgo, true), false)
	is.True(young.DestinationIsCertain(at(51), "b"))
	is.True(!young.DestinationIsCertain(at(51), "a")) // not 30 s at the other host either
	young.SetRoutes(at(52), []route.Destination{"a"})
	young.SetRoutes(at(53), []route.Destination{"a", "b"})
	is.True(!young.DestinationIsCertain(at(54), "b")) // what was heard is from before
	young.AddDestinations(at(54), []route.Destination{"b"})
	is.True(!young.DestinationIsCertain(at(54), "b")) // others may have missed the change
}
