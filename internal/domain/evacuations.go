package domain

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// maxUncertainJobs limits the jobs in recovery that the list of evacuated work names for each data centre.
const maxUncertainJobs = 50

// ListEvacuations returns the evacuated data centres of the configuration in force at this process, with the work that
// the owners of the domains report there. The work of an owner that does not respond is missing, and a problem says so.
func (service *Service) ListEvacuations(ctx context.Context) *operatorv1.ListEvacuationsResponse {
	response := &operatorv1.ListEvacuationsResponse{}
	config := service.Configs.Current()
	if config == nil {
		return response
	}
	response.Revision = int64(config.Revision)
	regions := map[fleet.DataCentreID]map[fleet.RegionID]int{}
	inventory := service.Inventory()
	for i := range inventory.Workers {
		machine := &inventory.Workers[i]
		if _, evacuated := config.Evacuations[machine.DataCentre]; !evacuated {
			continue
		}
		if regions[machine.DataCentre] == nil {
			regions[machine.DataCentre] = map[fleet.RegionID]int{}
		}
		regions[machine.DataCentre][machine.Region]++
	}
	reports := service.askOwners(ctx, regions)
	for _, id := range slices.Sorted(maps.Keys(config.Evacuations)) {
		listed := &operatorv1.Evacuation{
			DataCentre: string(id), SinceUnixMs: config.Evacuations[id].Since.UnixMilli(),
		}
		for _, region := range slices.Sorted(maps.Keys(regions[id])) {
			listed.Workers += int32(regions[id][region])
			reports[region].addTo(listed, config.Revision)
		}
		response.Evacuations = append(response.Evacuations, listed)
	}
	return response
}

// ownerReport is the response of a domain's owner, or the error if it did not respond.
type ownerReport struct {
	domain   fleet.RegionID
	response *peerv1.ListEvacuatedWorkResponse
	err      error
}

// askOwners requests the work in evacuated data centres from the owners of all domains with workers there.
func (service *Service) askOwners(
	ctx context.Context, regions map[fleet.DataCentreID]map[fleet.RegionID]int,
) map[fleet.RegionID]*ownerReport {
	reports := map[fleet.RegionID]*ownerReport{}
	for _, byRegion := range regions {
		for region := range byRegion {
			if reports[region] == nil {
				response, err := service.evacuatedWorkAtOwner(ctx, region)
				reports[region] = &ownerReport{region, response, err}
			}
		}
	}
	return reports
}

func (service *Service) evacuatedWorkAtOwner(
	ctx context.Context, domain fleet.RegionID,
) (*peerv1.ListEvacuatedWorkResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	ownerPeer, ok := service.View.Owner(domain)
	if !ok {
		return nil, fault.New(fault.OwnerUnavailable, "domain %s has no owner", domain)
	}
	request := &peerv1.ListEvacuatedWorkRequest{}
	if service.isSelf(ownerPeer) {
		return service.ListEvacuatedWork(ctx, request)
	}
	response, err := ownerPeer.Client.ListEvacuatedWork(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, fault.New(fault.OwnerUnavailable, "owner %s did not respond", ownerPeer.VM.ID)
	}
	return response.Msg, nil
}

// addTo adds the work in a data centre to its evacuation, or the problem why it is missing.
func (report *ownerReport) addTo(listed *operatorv1.Evacuation, revision fleet.Revision) {
	if report.err != nil {
		listed.Problems = append(listed.Problems,
			fmt.Sprintf("the work of domain %s is not known: %s", report.domain, fault.FromError(report.err).Reason))
		return
	}
	switch applied := report.response.Revision; {
	case applied == 0:
		listed.Problems = append(listed.Problems,
			fmt.Sprintf("the owner of domain %s is taking over: not all work there is known yet", report.domain))
	case applied < int64(revision):
		listed.Problems = append(listed.Problems, fmt.Sprintf("the owner of domain %s has not applied revision %d yet",
			report.domain, revision))
	}
	for _, work := range report.response.Work {
		if work.DataCentre != listed.DataCentre {
			continue
		}
		listed.RunningJobs += work.RunningJobs
		listed.AcceleratorsInUse += work.AcceleratorsInUse
		listed.Jobs = append(listed.Jobs, work.Jobs...)
	}
}

// ListEvacuatedWork returns the work in evacuated data centres. It runs at the owner.
func (service *Service) ListEvacuatedWork(
	ctx context.Context, _ *peerv1.ListEvacuatedWorkRequest,
) (*peerv1.ListEvacuatedWorkResponse, error) {
	owner := service.currentOwner()
	if owner == nil {
		return nil, fault.New(fault.OwnerUnavailable, "the owner is changing")
	}
	return runOnLoop(ctx, owner, owner.evacuatedWork)
}

// evacuatedWork lists the work that the core knows in evacuated data centres, and the jobs that may run there.
func (owner *owner) evacuatedWork() *peerv1.ListEvacuatedWorkResponse {
	response := &peerv1.ListEvacuatedWorkResponse{}
	if owner.config == nil {
		return response
	}
	if owner.settled {
		response.Revision = int64(owner.config.Revision)
	}
	uncertain := owner.uncertainWork()
	for _, work := range owner.core.EvacuatedWork(time.Now()) {
		listed := &peerv1.EvacuatedWork{
			DataCentre: string(work.DataCentre), RunningJobs: int32(work.Jobs),
			AcceleratorsInUse: int64(work.Accelerators),
		}
		for _, gang := range work.Gangs {
			listed.Jobs = append(listed.Jobs, &operatorv1.EvacuatedJob{
				Organisation: string(gang.Key.Organisation), JobId: string(gang.Key.Job),
				Workers: int32(gang.Workers), Accelerators: int64(gang.Accelerators), Reason: gang.Reason,
			})
		}
		jobs := uncertain[work.DataCentre]
		listed.RunningJobs += int32(len(jobs))
		for _, job := range jobs {
			listed.AcceleratorsInUse += job.Accelerators
		}
		listed.Jobs = append(listed.Jobs, jobs[:min(len(jobs), maxUncertainJobs)]...)
		response.Work = append(response.Work, listed)
	}
	return response
}

// uncertainWork lists, by data centre, the jobs that are not in the core and may have members on workers of evacuated
// data centres: those in recovery, those being stopped, and those of leases that belong to no known attempt.
func (owner *owner) uncertainWork() map[fleet.DataCentreID][]*operatorv1.EvacuatedJob {
	centres := map[fleet.WorkerID]fleet.DataCentreID{}
	inventory := owner.service.Inventory()
	for i := range inventory.Workers {
		machine := &inventory.Workers[i]
		if _, evacuated := owner.config.Evacuations[machine.DataCentre]; evacuated {
			centres[machine.ID] = machine.DataCentre
		}
	}
	found := map[fleet.DataCentreID][]*operatorv1.EvacuatedJob{}
	for _, job := range owner.jobs {
		if job.inCore || job.phase != phaseRecovering && job.phase != phaseEnding || len(job.members) == 0 {
			continue
		}
		// All members of a gang are in one data centre.
		if centre, evacuated := centres[job.members[0].Worker]; evacuated {
			found[centre] = append(found[centre], job.asUncertain())
		}
	}
	for at, leases := range owner.unmatchedIn(centres) {
		found[at.centre] = append(found[at.centre], asUncertain(at.key, leases))
	}
	for _, jobs := range found {
		slices.SortFunc(jobs, func(left, right *operatorv1.EvacuatedJob) int {
			return cmp.Or(cmp.Compare(left.Organisation, right.Organisation), cmp.Compare(left.JobId, right.JobId))
		})
	}
	return found
}

// asUncertain describes a job that is not in the core and may have members on workers.
func (job *job) asUncertain() *operatorv1.EvacuatedJob {
	listed := &operatorv1.EvacuatedJob{
		Organisation: string(job.record.Organisation), JobId: string(job.record.Job), Reason: "it is being stopped",
	}
	if job.phase == phaseRecovering {
		listed.Reason = "the new owner is checking whether it runs"
	}
	workers := map[fleet.WorkerID]bool{}
	for _, member := range job.members {
		listed.Accelerators += int64(member.Accelerators)
		workers[member.Worker] = true
	}
	listed.Workers = int32(len(workers))
	return listed
}

// jobIn is a job in a data centre.
type jobIn struct {
	centre fleet.DataCentreID
	key    fleet.JobKey
}

// unmatchedIn returns the active leases on workers of the given data centres that belong to no known attempt.
func (owner *owner) unmatchedIn(centres map[fleet.WorkerID]fleet.DataCentreID) map[jobIn][]worker.Lease {
	found := map[jobIn][]worker.Lease{}
	for id, unmatched := range owner.unmatched {
		centre, evacuated := centres[unmatched.worker]
		lease, known := owner.manager.Lease(unmatched.worker, id)
		if job := owner.jobs[unmatched.key]; evacuated && known && lease.Active() && (job == nil || !job.holds(id)) {
			at := jobIn{centre, unmatched.key}
			found[at] = append(found[at], lease)
		}
	}
	return found
}

// asUncertain describes a job with leases that belong to no known attempt.
func asUncertain(key fleet.JobKey, leases []worker.Lease) *operatorv1.EvacuatedJob {
	listed := &operatorv1.EvacuatedJob{
		Organisation: string(key.Organisation), JobId: string(key.Job),
		Reason: "workers report leases of it that belong to no known attempt",
	}
	workers := map[fleet.WorkerID]bool{}
	for _, lease := range leases {
		listed.Accelerators += int64(lease.Accelerators)
		workers[lease.Worker] = true
	}
	listed.Workers = int32(len(workers))
	return listed
}

// logEvacuations logs the data centres that a new configuration evacuates or takes back.
func (owner *owner) logEvacuations(next *profile.Config) {
	var current map[fleet.DataCentreID]profile.Evacuation
	if owner.config != nil {
		current = owner.config.Evacuations
	}
	for id, evacuation := range next.Evacuations {
		if _, known := current[id]; !known {
			owner.logger.Info("data centre evacuated", "data_centre", id, "revision", next.Revision,
				"since", evacuation.Since)
		}
	}
	for id := range current {
		if _, kept := next.Evacuations[id]; !kept {
			owner.logger.Info("data centre taken back", "data_centre", id, "revision", next.Revision)
		}
	}
}
