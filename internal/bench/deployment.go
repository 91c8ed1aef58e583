package bench

import (
	"fmt"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// Names of the deployments.
const (
	ReedWorks  = "reed_works"
	Groupement = "groupement"
)

const (
	deploymentWorkers                     = 50
	workerAccelerators                    = fleet.Accelerators(8)
	workerCores                           = fleet.Cores(32)
	gigabyte                              = fleet.Bytes(1 << 30)
	largeOrganisations                    = 2
	organisationMaxWaiting                = 100000
	coresPerAccelerator                   = workerCores / fleet.Cores(workerAccelerators)
	deploymentRegion       fleet.RegionID = "region"
)

// Names of the profiles that every organisation has. Jobs of profileOnce and profileOnceSaved are not idempotent, and
// only the latter save checkpoints. profileImpossible has a shape that fits on no deployment.
const (
	profileSingle     fleet.ProfileName = "single"
	profilePair       fleet.ProfileName = "pair"
	profileHalf       fleet.ProfileName = "half"
	profileWhole      fleet.ProfileName = "whole"
	profileWide       fleet.ProfileName = "wide"
	profileGang       fleet.ProfileName = "gang"
	profileOnce       fleet.ProfileName = "once"
	profileOnceSaved  fleet.ProfileName = "once_saved"
	profileBulk       fleet.ProfileName = "bulk"
	profileUrgent     fleet.ProfileName = "urgent"
	profileUrgentWide fleet.ProfileName = "urgent_wide"
	profileUrgentGang fleet.ProfileName = "urgent_gang"
	profileImpossible fleet.ProfileName = "impossible"
)

// Deployment is a fleet with its organisations, the large ones first.
type Deployment struct {
	Name          string
	Workers       []fleet.Worker
	Organisations []fleet.OrganisationID
	Config        *profile.Config
}

// DeploymentNames returns the names of all deployments.
func DeploymentNames() []string { return []string{ReedWorks, Groupement} }

// findDeployment returns the deployment of a name, or false if there is none.
func findDeployment(name string) (Deployment, bool) {
	switch name {
	case ReedWorks:
		centres := []fleet.DataCentreID{"ngara", "gikomba", "kariakor", "westlands"}
		organisations := []fleet.OrganisationID{"wanjiru", "kibet", "athieno", "mutua"}
		return newDeployment(name, centres, 6, 128*gigabyte, organisations), true
	case Groupement:
		centres := []fleet.DataCentreID{"finistere", "morbihan", "ille"}
		organisations := []fleet.OrganisationID{"armor", "cadastre", "kermorvan", "lanvaux"}
		return newDeployment(name, centres, 8, 64*gigabyte, organisations), true
	}
	return Deployment{}, false
}

func newDeployment(name string, centres []fleet.DataCentreID, rackSize int, memory fleet.Bytes,
	organisations []fleet.OrganisationID) Deployment {
	deployment := Deployment{Name: name, Organisations: organisations}
	inCentre := make([]int, len(centres))
	for i := range deploymentWorkers {
		centre := i % len(centres)
		worker := fleet.Worker{
			ID:           fleet.WorkerID(fmt.Sprintf("w%02d", i)),
			Region:       deploymentRegion,
			DataCentre:   centres[centre],
			Rack:         fleet.RackID(fmt.Sprintf("r%d", inCentre[centre]/rackSize)),
			Cores:        workerCores,
			Memory:       memory,
			Accelerators: workerAccelerators,
		}
		inCentre[centre]++
		deployment.Workers = append(deployment.Workers, worker)
	}
	deployment.Config = newConfig(organisations, memory/fleet.Bytes(workerAccelerators))
	return deployment
}

// flooder returns the organisation that submits the floods: the last one, which is small.
func (deployment Deployment) flooder() fleet.OrganisationID {
	return deployment.Organisations[len(deployment.Organisations)-1]
}

// newConfig returns a configuration that guarantees 30 of the 50 workers: 12 and 10 to the large organisations and 4
// to each small one.
func newConfig(organisations []fleet.OrganisationID, memoryPerAccelerator fleet.Bytes) *profile.Config {
	config := &profile.Config{Revision: 1, Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
	profiles := newProfiles(memoryPerAccelerator)
	shape := func(name fleet.ProfileName) fleet.Shape {
		for _, candidate := range profiles {
			if candidate.Name == name {
				return *candidate.Shape
			}
		}
		panic("bench: unknown profile " + string(name))
	}
	guarantees := [][]profile.Guarantee{
		{{Count: 4, Shape: shape(profileWhole)}, {Count: 2, Shape: shape(profileGang)}},
		{
			{Count: 4, Shape: shape(profileWhole)}, {Count: 1, Shape: shape(profileGang)},
			{Count: 1, Shape: shape(profileWide)},
		},
		{{Count: 2, Shape: shape(profileWhole)}, {Count: 1, Shape: shape(profileWide)}},
		{{Count: 2, Shape: shape(profileWhole)}, {Count: 1, Shape: shape(profileWide)}},
	}
	for i, id := range organisations {
		config.Organisations[id] = &profile.Organisation{
			ID:         id,
			MaxWaiting: organisationMaxWaiting,
			Guarantees: guarantees[i],
			Profiles:   profiles,
		}
	}
	return config
}

func newProfiles(memoryPerAccelerator fleet.Bytes) []profile.Profile {
	shape := func(members int, accelerators fleet.Accelerators, adjacency fleet.Adjacency) *fleet.Shape {
		return &fleet.Shape{
			Members:      members,
			Accelerators: accelerators,
			Cores:        fleet.Cores(accelerators) * coresPerAccelerator,
			Memory:       fleet.Bytes(accelerators) * memoryPerAccelerator,
			Adjacency:    adjacency,
		}
	}
	limits := profile.Limits{MaxWaiting: organisationMaxWaiting}
	const (
		worker = fleet.AdjacencyWorker
		rack   = fleet.AdjacencyRack
		centre = fleet.AdjacencyDataCentre
	)
	return []profile.Profile{
		{Name: profileSingle, Shape: shape(1, 1, worker),
			Urgency: profile.UrgencyNormal, Idempotent: true, Limits: limits},
		{Name: profilePair, Shape: shape(1, 2, worker),
			Urgency: profile.UrgencyNormal, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileHalf, Shape: shape(1, 4, worker),
			Urgency: profile.UrgencyNormal, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileWhole, Shape: shape(1, 8, worker),
			Urgency: profile.UrgencyNormal, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileWide, Shape: shape(2, 8, rack),
			Urgency: profile.UrgencyHigh, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileGang, Shape: shape(4, 8, centre),
			Urgency: profile.UrgencyNormal, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileOnce, Shape: shape(1, 2, worker), Urgency: profile.UrgencyNormal, Limits: limits},
		{Name: profileOnceSaved, Shape: shape(1, 4, worker),
			Urgency: profile.UrgencyNormal, Checkpoint: true, Limits: limits},
		{Name: profileBulk, Shape: shape(1, 4, worker),
			Urgency: profile.UrgencyLow, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileUrgent, Shape: shape(1, 8, worker),
			Urgency: profile.UrgencyUrgent, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileUrgentWide, Shape: shape(2, 8, rack),
			Urgency: profile.UrgencyUrgent, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileUrgentGang, Shape: shape(4, 8, centre),
			Urgency: profile.UrgencyUrgent, Idempotent: true, Checkpoint: true, Limits: limits},
		{Name: profileImpossible, Shape: shape(12, 8, rack),
			Urgency: profile.UrgencyNormal, Idempotent: true, Limits: limits},
	}
}
