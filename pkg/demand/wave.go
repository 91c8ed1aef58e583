package demand

import (
	"math"
	"time"
)

const (
	// shortestWave and longestWave bound the period of waves. The mean over meanWindow follows longer waves, and is
	// hardly changed by shorter ones.
	shortestWave = 8 * time.Second
	longestWave  = 32 * time.Second
	// frequencyStep is the distance of the frequencies that are tried, in hertz. At half of it, a wave is off by less
	// than a thirtieth of a period at the end of a series.
	frequencyStep = 1.0 / 512
	// minWaveTime is the shortest time, and wavePeriods the smallest number of periods, over which a wave is fitted.
	minWaveTime = 24 * time.Second
	wavePeriods = 2
	// minWaveJobs is the number of arrivals below which no wave is fitted.
	minWaveJobs = 40
	// minSpread is the amplitude of a wave, as a fraction of the mean, from which the headroom follows it.
	minSpread = 0.25
	// minPower is the power from which the headroom follows a wave, and keepPower the one down to which it does so
	// afterwards. Steady arrivals reach a power p by chance with a probability of about exp(-p) for each of some ten
	// independent frequencies.
	minPower  = 9
	keepPower = 6
	// maxResidual is the largest variance that is left of the arrivals in a bin, relative to their mean; it is 1 if they
	// are independent. Beyond it demand has another shape, such as regular bursts.
	maxResidual = 1.5
)

// wave is a sinusoid fitted to the numbers of arrivals in the bins of a series. The zero value is no wave.
type wave struct {
	// frequency is in radians per bin. mean, cosine and sine are in jobs per bin; the phase is 0 at bin origin.
	frequency, mean, cosine, sine float64
	origin                        bin
	// power is half the reduction of the squared errors by the wave, in units of the variance of a bin.
	power float64
	// residual is the variance of the bins that the wave leaves, relative to their mean.
	residual float64
}

// fitWave returns the wave that fits the complete bins from first on best.
func fitWave(series *series, first bin) wave {
	length := int(series.last - first)
	if length < int(minWaveTime/binLength) || series.totalJobs < minWaveJobs {
		return wave{}
	}
	var best wave
	longest := min(longestWave.Seconds(), float64(length)*binLength.Seconds()/wavePeriods)
	for hertz := 1 / shortestWave.Seconds(); hertz >= 1/longest; hertz -= frequencyStep {
		fitted := fitFrequency(series, first, length, 2*math.Pi*hertz*binLength.Seconds())
		if fitted.power > best.power {
			best = fitted
		}
	}
	return best
}

// fitFrequency fits a wave of the given frequency by least squares.
func fitFrequency(series *series, first bin, length int, frequency float64) wave {
	// The sums are those of the normal equations for the terms 1, c (cosine) and s (sine), and the counts y.
	var c1, s1, cc, cs, ss, y1, yc, ys, yy float64
	turnSine, turnCosine := math.Sincos(frequency)
	cosine, sine := 1.0, 0.0
	for i := range length {
		y := series.count(first + bin(i))
		c1, s1, cc, cs, ss = c1+cosine, s1+sine, cc+cosine*cosine, cs+cosine*sine, ss+sine*sine
		y1, yc, ys, yy = y1+y, yc+y*cosine, ys+y*sine, yy+y*y
		cosine, sine = cosine*turnCosine-sine*turnSine, sine*turnCosine+cosine*turnSine
	}
	n := float64(length)
	cc, cs, ss = cc-c1*c1/n, cs-c1*s1/n, ss-s1*s1/n
	yc, ys, yy = yc-y1*c1/n, ys-y1*s1/n, yy-y1*y1/n
	determinant := cc*ss - cs*cs
	if determinant <= 0 {
		return wave{}
	}
	fitted := wave{
		frequency: frequency, origin: first,
		cosine: (yc*ss - ys*cs) / determinant, sine: (ys*cc - yc*cs) / determinant,
	}
	fitted.mean = (y1 - fitted.cosine*c1 - fitted.sine*s1) / n
	explained := fitted.cosine*yc + fitted.sine*ys
	// Arrivals in clumps vary by more than independent ones, whose variance is their mean.
	variance := max(y1/n, (yy-explained)/(n-3))
	if variance > 0 && fitted.mean > 0 {
		fitted.power = explained / (2 * variance)
		fitted.residual = (yy - explained) / (n - 3) / (y1 / n)
	}
	return fitted
}

// found reports whether there is a wave at all.
func (wave wave) found() bool { return wave.power > 0 }

// spread returns the amplitude as a fraction of the mean.
func (wave wave) spread() float64 {
	if !wave.found() {
		return 0
	}
	return math.Hypot(wave.cosine, wave.sine) / wave.mean
}

// period returns the period of the wave.
func (wave wave) period() time.Duration {
	if !wave.found() {
		return 0
	}
	return time.Duration(2 * math.Pi / wave.frequency * float64(binLength))
}

// at returns the expected number of jobs in a bin.
func (wave wave) at(of bin) float64 {
	sine, cosine := math.Sincos(wave.frequency * float64(of-wave.origin))
	return max(wave.mean+wave.cosine*cosine+wave.sine*sine, 0)
}

// ahead returns the expected number of jobs per second over the given period from now on.
func (wave wave) ahead(now, length time.Duration) float64 {
	half := wave.frequency * float64(length) / float64(2*binLength)
	centre := float64(now+length/2)/float64(binLength) - 0.5 - float64(wave.origin)
	sine, cosine := math.Sincos(wave.frequency * centre)
	perBin := wave.mean + (wave.cosine*cosine+wave.sine*sine)*math.Sin(half)/half
	return max(perBin, 0) / binLength.Seconds()
}
