package control

import (
	"slices"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// estimateSamples is the number of the latest runs of a profile from which the accuracy of its declared run times is
	// derived, and minEstimateSamples the number below which it is not known.
	estimateSamples    = 32
	minEstimateSamples = 8
)

// estimateAccuracy tells how far the declared run times of a profile are from the truth. Without it a gang on a slow
// worker cannot be told from one with a wrong declaration, since all of its members are equally slow.
type estimateAccuracy struct {
	// ratios are the speeds of the latest runs relative to their declared speeds.
	ratios []float64
	next   int
}

// add records the speed of a run that was done, relative to its declared speed.
func (accuracy *estimateAccuracy) add(ratio float64) {
	if len(accuracy.ratios) < estimateSamples {
		accuracy.ratios = append(accuracy.ratios, ratio)
		return
	}
	accuracy.ratios[accuracy.next] = ratio
	accuracy.next = (accuracy.next + 1) % estimateSamples
}

// median returns the median ratio, or false while there are too few runs. Runs on slow workers hardly change it as long
// as most workers are sound.
func (accuracy *estimateAccuracy) median() (float64, bool) {
	if accuracy == nil || len(accuracy.ratios) < minEstimateSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(accuracy.ratios))
	return sorted[len(sorted)/2], true
}

// accuracyOf returns the accuracy of the declared run times of a profile.
func (loop *dispatcher) accuracyOf(profile fleet.ProfileName) *estimateAccuracy {
	known := loop.accuracies[profile]
	if known == nil {
		known = &estimateAccuracy{}
		loop.accuracies[profile] = known
	}
	return known
}

// recordDuration records how long a run took that is done. It counts one run of each step, so that a wide step has no
// more weight than a narrow one.
func (loop *dispatcher) recordDuration(run *run) {
	ran := loop.clock() - run.startedAt
	if run.restored || run.task.Index != 0 || ran <= 0 {
		return
	}
	ratio := speed(1/ran.Seconds()) / run.declaredSpeed()
	loop.accuracyOf(run.job.Profile).add(float64(ratio))
}
