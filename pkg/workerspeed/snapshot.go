package workerspeed

import (
	"encoding/json"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// snapshot is the stored form of a Fleet, in whole hundredths to keep it small.
type snapshot struct {
	// Workers has, for each worker, the logarithm of its factor and its weight, both in hundredths.
	Workers map[fleet.WorkerID][2]int `json:"workers"`
}

const (
	hundredths = 100
	// maxStoredMean is above every logarithm of a factor that Observe can learn.
	maxStoredMean = 10 * hundredths
)

// Encode returns what was learnt of the workers that are known, for another process.
func (known *Fleet) Encode(now time.Duration) []byte {
	stored := snapshot{Workers: map[fleet.WorkerID][2]int{}}
	for worker, learnt := range known.workers {
		if weight := learnt.decayed(now); weight >= knownWeight {
			stored.Workers[worker] = [2]int{
				int(math.Round(float64(learnt.mean) * hundredths)), int(math.Round(weight * hundredths)),
			}
		}
	}
	// A map of numbers can always be encoded.
	encoded, _ := json.Marshal(stored)
	return encoded
}

// Decode returns a Fleet that knows what another process has encoded. How old that is does not show, so that it counts
// half: what the workers do now soon outweighs it.
func Decode(encoded []byte, now time.Duration) (Fleet, error) {
	var stored snapshot
	if err := json.Unmarshal(encoded, &stored); err != nil {
		return Fleet{}, errors.Wrap(err, "workers")
	}
	known := Fleet{workers: make(map[fleet.WorkerID]knowledge, len(stored.Workers))}
	for worker, numbers := range stored.Workers {
		mean, weight := numbers[0], numbers[1]
		if mean < -maxStoredMean || mean > maxStoredMean || weight < 0 || weight > maxWeight*hundredths {
			return Fleet{}, errors.Errorf("workers.%.80q: mean %d or weight %d is out of range", worker, mean, weight)
		}
		known.workers[worker] = knowledge{
			mean:   float32(mean) / hundredths,
			weight: float32(max(float64(weight)/hundredths/2, knownWeight)),
			at:     now,
		}
	}
	return known, nil
}
