package gateway

import (
	"time"

	"github.com/quetzalstall/quetzalstall/internal/ledger"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/progress"
)

const (
	// organisationMemoryShare is the fraction of MaxJobMemory that the jobs of one organisation may take.
	organisationMemoryShare = 0.5
	// memoryRetryAfter is the retry delay sent to a caller whose job does not fit into MaxJobMemory.
	memoryRetryAfter = 5 * time.Second
)

// checkMemory refuses a job for which controllers would need too much memory together with the other jobs. A job that is
// known already is not refused.
func (gateway *Gateway) checkMemory(id fleet.JobID, status ledger.Status) error {
	limit := gateway.MaxJobMemory
	if _, known := gateway.Statuses.Get(id); known || limit == 0 {
		return nil
	}
	all, own := gateway.Statuses.Memory(status.Organisation)
	ownLimit := progress.Bytes(organisationMemoryShare * float64(limit))
	if all+status.Memory <= limit && own+status.Memory <= ownLimit {
		return nil
	}
	return fault.New(fault.QueueFull,
		"the job needs %d bytes of memory; the jobs of the organisation take %d of %d, all jobs %d of %d",
		status.Memory, own, ownLimit, all, limit).WithRetryAfter(memoryRetryAfter)
}
