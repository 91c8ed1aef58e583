package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha make a histogram show about the last five minutes.
	sampleSize  = 512
	sampleAlpha = 0.015
)

// Observe adds a duration, in milliseconds, to the histogram of a name.
func Observe(registry gometrics.Registry, name string, taken time.Duration) {
	histogram := registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
	histogram.Update(taken.Milliseconds())
}

// Count adds one to the counter of a name.
func Count(registry gometrics.Registry, name string) {
	gometrics.GetOrRegisterCounter(name, registry).Inc(1)
}
