// Package evacuation decides what the evacuation of a data centre allows: which workers may start tasks, and which
// running work is moved. Operators request an evacuation when a data centre is about to be worked on, and take the data
// centre back later. The decisions have no side effects outside of Requests, and times are readings of the caller's
// monotonic clock.
package evacuation

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	// RampTime is the time after a data centre was taken back over which its workers come into use one after the other.
	// All at once they would get the whole backlog in one plan.
	RampTime = 2 * time.Second
	// rampStart is the fraction of the workers that are in use at once.
	rampStart = 0.25
)

// Requests are the requests to evacuate data centres, as far as they are known. The zero value allows every start.
type Requests struct {
	// MaxAge is the age of the latest confirmation from which on no start is allowed, because a request may have been
	// written since. 0 means that evacuations are not followed in this deployment.
	MaxAge time.Duration

	// since has the time at which each request in force was learnt.
	since map[fleet.DataCentreID]time.Duration
	// takenBack has the time at which each evacuated data centre was taken back, until its ramp has ended.
	takenBack map[fleet.DataCentreID]time.Duration
	// confirmedAt is the latest time at which the known requests were certainly all. It is valid if confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
}

// Add records a request and reports whether it is new. A data centre that is evacuated again is no longer taken back.
func (requests *Requests) Add(dataCentre fleet.DataCentreID, now time.Duration) bool {
	if _, ok := requests.since[dataCentre]; ok {
		return false
	}
	if requests.since == nil {
		requests.since = map[fleet.DataCentreID]time.Duration{}
	}
	requests.since[dataCentre] = now
	delete(requests.takenBack, dataCentre)
	return true
}

// Remove records that a data centre was taken back, and reports whether it was evacuated.
func (requests *Requests) Remove(dataCentre fleet.DataCentreID, now time.Duration) bool {
	if _, ok := requests.since[dataCentre]; !ok {
		return false
	}
	delete(requests.since, dataCentre)
	if requests.takenBack == nil {
		requests.takenBack = map[fleet.DataCentreID]time.Duration{}
	}
	requests.takenBack[dataCentre] = now
	return true
}

// Confirm records that the known requests were certainly all at a time.
func (requests *Requests) Confirm(at time.Duration) {
	if !requests.confirmed || at > requests.confirmedAt {
		requests.confirmed, requests.confirmedAt = true, at
	}
}

// Current reports whether the known requests are young enough for a start.
func (requests *Requests) Current(now time.Duration) bool {
	return requests.MaxAge == 0 || requests.confirmed && now-requests.confirmedAt < requests.MaxAge
}

// Age returns the time since the known requests were last confirmed, or false if they never were.
func (requests *Requests) Age(now time.Duration) (time.Duration, bool) {
	return now - requests.confirmedAt, requests.confirmed
}

// Evacuated reports whether the evacuation of a data centre is requested.
func (requests *Requests) Evacuated(dataCentre fleet.DataCentreID) bool {
	_, ok := requests.since[dataCentre]
	return ok
}

// Clone returns a copy that changes independently.
func (requests *Requests) Clone() Requests {
	clone := *requests
	clone.since, clone.takenBack = maps.Clone(requests.since), maps.Clone(requests.takenBack)
	return clone
}

// Any reports whether any evacuation is requested.
func (requests *Requests) Any() bool { return len(requests.since) > 0 }

// Since returns the time at which each request in force was learnt.
func (requests *Requests) Since() map[fleet.DataCentreID]time.Duration {
	return maps.Clone(requests.since)
}

// DataCentres returns the evacuated data centres in the order of their ids.
func (requests *Requests) DataCentres() []fleet.DataCentreID {
	return slices.Sorted(maps.Keys(requests.since))
}

// Allows reports whether tasks may start on a worker of a data centre: the data centre is not evacuated, and if it was
// taken back just now, the worker is among those in use already.
func (requests *Requests) Allows(dataCentre fleet.DataCentreID, worker fleet.WorkerID, now time.Duration) bool {
	if requests.Evacuated(dataCentre) {
		return false
	}
	at, ok := requests.takenBack[dataCentre]
	if !ok {
		return true
	}
	elapsed := now - at
	if elapsed >= RampTime {
		delete(requests.takenBack, dataCentre)
		return true
	}
	share := rampStart + (1-rampStart)*float64(elapsed)/float64(RampTime)
	return position(worker) < share
}

// position returns where a worker stands in the order in which workers come into use, from 0 to below 1.
func position(worker fleet.WorkerID) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(worker))
	const positions = 1000
	return float64(hash.Sum32()%positions) / positions
}
