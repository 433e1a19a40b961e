package fleet

import (
	"testing"

	"github.com/matryer/is"
)

func TestPhasesAreOrdered(t *testing.T) {
	is := is.New(t)
	is.True(PhaseLive < PhaseLeaving)
	is.True(PhaseLeaving < PhaseGone)
}
