package capacity

import (
	"math"
	"testing"
)

// Guards against a line that does not go through points on a line, which would make every figure of the page wrong.
func TestFitOf(t *testing.T) {
	series := Series{Points: []Point{{Size: 1, Bytes: 13}, {Size: 4, Bytes: 22}, {Size: 9, Bytes: 37}}}
	fit := series.FitOf(WireBytes)
	if math.Abs(fit.Slope-3) > 1e-9 || math.Abs(fit.Base-10) > 1e-9 || math.Abs(fit.At(100)-310) > 1e-9 {
		t.Errorf("fit = %+v, want base 10, slope 3", fit)
	}
	single := Series{Points: []Point{{Size: 2, Bytes: 5}, {Size: 2, Bytes: 7}}}
	if fit := single.FitOf(WireBytes); fit.Slope != 0 || fit.Base != 6 {
		t.Errorf("fit of one size = %+v, want base 6", fit)
	}
}
