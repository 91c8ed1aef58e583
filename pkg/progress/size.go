package progress

import (
	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

// Bytes is a size of stored documents.
type Bytes int

// The bytes that parts of a stored record take at the most.
const (
	// recordBytes is for what is not of an occurrence.
	recordBytes Bytes = 4096
	stepBytes   Bytes = 20
	// taskBytes is for a task that waits or is done, with a row of its own.
	taskBytes Bytes = 34
	// placedBytes is for a task that is placed, with its worker, checkpoint and crashes.
	placedBytes Bytes = 420
)

// Footprint is what the record of a job takes in the store.
type Footprint struct {
	// occurrence is the size of one occurrence while none of its tasks is placed.
	occurrence Bytes
}

// FootprintOf returns the footprint of a job.
func FootprintOf(job workload.Job) Footprint {
	size := Bytes(0)
	for _, step := range job.Steps {
		size += stepBytes + Bytes(step.Tasks)*taskBytes
	}
	return Footprint{occurrence: size}
}

// Record returns the size of a record with the given numbers of occurrences and placed tasks.
func (footprint Footprint) Record(occurrences, placed int) Bytes {
	return recordBytes + Bytes(occurrences)*footprint.occurrence + Bytes(placed)*placedBytes
}

// CheckSize returns an error if the record of a job can become too large for the store while as few of its tasks are
// placed as possible: one, or all members of a gang.
func CheckSize(job workload.Job, limit Bytes) error {
	placed, widest := 1, 0
	for i, step := range job.Steps {
		if step.Gang && step.Tasks > placed {
			placed, widest = step.Tasks, i
		}
	}
	footprint := FootprintOf(job)
	size := footprint.Record(1, placed)
	if size <= limit {
		return nil
	}
	if placed > 1 && footprint.Record(1, 1) <= limit {
		return errors.Errorf("steps[%d]: the progress of a gang of %d tasks takes %d bytes, above the limit of %d",
			widest, placed, size, limit)
	}
	return errors.Errorf("steps: the progress of all tasks takes %d bytes, above the limit of %d", size, limit)
}
