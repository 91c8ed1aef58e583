package interference

import (
	"iter"
	"math/bits"
	"strconv"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Kind identifies tasks that are expected to load a worker in the same way: those with an image or, if their step names
// none, those of a step of a profile.
type Kind struct {
	Image   string
	Profile fleet.ProfileName
	Step    int
}

// KindOf returns the kind of the tasks of a step.
func KindOf(job *workload.Job, step int) Kind {
	if image := job.Steps[step].Image; image != "" {
		return Kind{Image: image}
	}
	return Kind{Profile: job.Profile, Step: step}
}

// maxKindText limits the text of a kind in logs and dumps, in bytes.
const maxKindText = 120

// String returns the image, or the profile with the index of the step, abbreviated to maxKindText.
func (kind Kind) String() string {
	text := "image " + kind.Image
	if kind.Image == "" {
		text = "profile " + string(kind.Profile) + " step " + strconv.Itoa(kind.Step)
	}
	if len(text) > maxKindText {
		text = text[:maxKindText-3] + "..."
	}
	return text
}

// Slot is the index of a kind that a Learner follows. It may later be that of another kind.
type Slot int

// Set is a set of slots.
type Set uint64

// With returns the set with one more slot.
func (set Set) With(slot Slot) Set { return set | 1<<slot }

// Without returns the set without a slot.
func (set Set) Without(slot Slot) Set { return set &^ (1 << slot) }

// Has reports whether the set contains a slot.
func (set Set) Has(slot Slot) bool { return set&(1<<slot) != 0 }

// all yields the slots of the set.
func (set Set) all() iter.Seq[Slot] {
	return func(yield func(Slot) bool) {
		for rest := set; rest != 0; rest &= rest - 1 {
			if !yield(Slot(bits.TrailingZeros64(uint64(rest)))) {
				return
			}
		}
	}
}

// Exposure is the kinds beside a run during a window. A kind that was there for a part of the window only, or that was
// not followed yet when the window began, says nothing about the run. The zero value is an exposure that has not begun.
type Exposure struct {
	began   time.Duration
	started bool
	// always are the kinds that every sample contained, and ever those that any sample contained.
	always, ever Set
}

// Add adds a sample of the kinds beside the run.
func (exposure *Exposure) Add(now time.Duration, beside Set) {
	if !exposure.started {
		*exposure = Exposure{began: now, started: true, always: beside, ever: beside}
		return
	}
	exposure.always &= beside
	exposure.ever |= beside
}
