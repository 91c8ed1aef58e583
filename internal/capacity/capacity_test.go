package capacity

import (
	"math"
	"testing"
)

// Guards against a fit that misses points on a straight line, which would make the figures of docs/CAPACITY.md wrong.
func TestFitLine(t *testing.T) {
	series := Series{Points: []Point{{Size: 1, Bytes: 13}, {Size: 4, Bytes: 22}, {Size: 9, Bytes: 37}}}
	fit := series.FitLine(WireBytes)
	if math.Abs(fit.Slope-3) > 1e-9 || math.Abs(fit.Base-10) > 1e-9 || math.Abs(fit.At(100)-310) > 1e-9 {
		t.Errorf("fit is %+v, want base 10 and slope 3", fit)
	}
	single := Series{Points: []Point{{Size: 2, Bytes: 5}, {Size: 2, Bytes: 7}}}
	if fit := single.FitLine(WireBytes); fit.Slope != 0 || fit.Base != 6 {
		t.Errorf("fit of points of the same size is %+v, want base 6 and slope 0", fit)
	}
}
