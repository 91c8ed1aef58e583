package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the size and the decay rate of a histogram's sample. With these values a histogram
	// reflects about the last five minutes.
	sampleSize  = 512
	sampleAlpha = 0.015
)

// Observe adds a duration, in milliseconds, to the named histogram and creates it if needed.
func Observe(registry gometrics.Registry, name string, duration time.Duration) {
	histogram := registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
	histogram.Update(duration.Milliseconds())
}

// Count adds one to the named counter and creates it if needed.
func Count(registry gometrics.Registry, name string) {
	gometrics.GetOrRegisterCounter(name, registry).Inc(1)
}
