package interference

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// maxSteps limits the steps of jobs of a kind that are compared at the same time, and stepResidence is the time after
	// which a step without observations may be replaced.
	maxSteps      = 16
	stepResidence = 5 * time.Second
	// maxCells limits the cells of a step, and cellLifetime the age of a cell that is compared with others.
	maxCells     = 24
	cellLifetime = HalfLife
	// maxWindows limits the windows in the mean of a cell, so that later ones replace earlier ones.
	maxWindows = 8
	// minOthers is the number of other workers with runs without the neighbour that a run is compared with: the median of
	// two would follow a slow worker. minWindows is the number of windows without it that a serving run is compared with.
	minOthers  = 3
	minWindows = 3
)

// identity is a hash of a job's or worker's id, which takes less memory. A collision makes two workers count as one, which
// is no evidence that does not exist.
type identity uint32

// identify returns the FNV-1a hash of a text.
func identify(text string) identity {
	hash := uint32(2166136261)
	for i := range len(text) {
		hash = (hash ^ uint32(text[i])) * 16777619
	}
	return identity(hash)
}

// stepRuns is what was observed of the runs of one step of a job.
type stepRuns struct {
	job     fleet.JobID
	step    int
	serving bool
	seen    time.Duration
	// news is set while observations have not been compared yet.
	news  bool
	cells []cell
}

// cell is the mean of the windows with the same neighbours on one worker.
type cell struct {
	worker       identity
	always, ever Set
	// length is the mean logarithm of the time that a unit of work took.
	length  float64
	windows int
	seen    time.Duration
	// compared is set once the latest window has been compared for each neighbour.
	compared bool
}

// stepOf returns the step of an observation, or nil if too many other steps are compared at present.
func (kind *followed) stepOf(observed Observation) *stepRuns {
	oldest := -1
	for i, step := range kind.steps {
		if step.job == observed.Job && step.step == observed.Step {
			return step
		}
		if oldest < 0 || step.seen < kind.steps[oldest].seen {
			oldest = i
		}
	}
	created := &stepRuns{job: observed.Job, step: observed.Step, serving: observed.Serving}
	switch {
	case len(kind.steps) < maxSteps:
		kind.steps = append(kind.steps, created)
	case observed.At-kind.steps[oldest].seen >= stepResidence:
		kind.steps[oldest] = created
	default:
		return nil
	}
	return created
}

// add adds a window with the given logarithm of the time for a unit of work.
func (step *stepRuns) add(observed Observation, length float64) {
	worker := identify(string(observed.Worker))
	step.seen, step.news = observed.At, true
	oldest := 0
	for i := range step.cells {
		known := &step.cells[i]
		if known.worker == worker && known.always == observed.Beside.always && known.ever == observed.Beside.ever {
			known.windows = min(known.windows+1, maxWindows)
			known.length += (length - known.length) / float64(known.windows)
			known.seen, known.compared = observed.At, false
			return
		}
		if known.seen < step.cells[oldest].seen {
			oldest = i
		}
	}
	created := cell{
		worker: worker, always: observed.Beside.always, ever: observed.Beside.ever,
		length: length, windows: 1, seen: observed.At,
	}
	if len(step.cells) < maxCells {
		step.cells = append(step.cells, created)
	} else {
		step.cells[oldest] = created
	}
}

// markUnclear notes that it is not known beside which runs a kind was.
func (step *stepRuns) markUnclear(slot Slot) {
	for i := range step.cells {
		step.cells[i].always = step.cells[i].always.Without(slot)
		step.cells[i].ever = step.cells[i].ever.With(slot)
	}
}

// compare adds evidence from the steps of a kind with new observations. Runs beside a third kind that is known to
// interfere count on neither side, so that its slowdown is not attributed to others.
func (learner *Learner) compare(slot Slot, now time.Duration) {
	kind := &learner.slots[slot]
	for _, step := range kind.steps {
		if !step.news {
			continue
		}
		step.news = false
		for i := range step.cells {
			if with := &step.cells[i]; !with.compared && now-with.seen <= cellLifetime {
				with.compared = kind.compareCell(step, with, learner.interfering[slot], now)
			}
		}
	}
}

// compareCell adds evidence from the runs in a cell. It reports whether there were runs to compare it with for each
// neighbour.
func (kind *followed) compareCell(step *stepRuns, with *cell, interfering Set, now time.Duration) bool {
	complete := true
	for neighbour := range with.always.all() {
		others := interfering.Without(neighbour)
		if with.ever&others != 0 {
			continue
		}
		reference, ok := step.reference(with, neighbour, others, now)
		if !ok {
			complete = false
			continue
		}
		if kind.beside[neighbour] == nil {
			kind.beside[neighbour] = &evidence{}
		}
		kind.beside[neighbour].put(comparison{
			job: identify(string(step.job)), worker: with.worker, references: reference.workers,
			effect: float32(with.length - reference.length), at: with.seen,
		})
	}
	return complete
}

// reference is what a run is compared with: the median over the workers with runs of the same step without the neighbour,
// and the workers at or next to the median.
type reference struct {
	length  float64
	workers [2]identity
}

// reference returns the reference for runs beside a neighbour: the runs on other workers without the neighbour and
// without the other kinds. For a serving step it is the same run at other times.
func (step *stepRuns) reference(with *cell, neighbour Slot, others Set, now time.Duration) (reference, bool) {
	var buffer [maxCells]cell
	workers, windows := buffer[:0], 0
	for _, found := range step.cells {
		if found.ever&others.With(neighbour) != 0 || now-found.seen > cellLifetime ||
			(found.worker == with.worker) != step.serving {
			continue
		}
		windows += found.windows
		at := slices.IndexFunc(workers, func(earlier cell) bool { return earlier.worker == found.worker })
		if at < 0 {
			workers = append(workers, found)
			continue
		}
		workers[at].windows += found.windows
		workers[at].length += (found.length - workers[at].length) * float64(found.windows) / float64(workers[at].windows)
	}
	if step.serving && windows < minWindows || !step.serving && len(workers) < minOthers {
		return reference{}, false
	}
	slices.SortFunc(workers, func(a, b cell) int { return cmp.Compare(a.length, b.length) })
	low, high := workers[(len(workers)-1)/2], workers[len(workers)/2]
	found := reference{length: (low.length + high.length) / 2, workers: [2]identity{low.worker, high.worker}}
	if len(workers)%2 == 1 && len(workers) > 1 {
		found.workers[0] = workers[len(workers)/2-1].worker
	}
	return found, true
}
