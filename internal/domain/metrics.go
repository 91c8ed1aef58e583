package domain

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const (
	// histogramSampleSize is the number of values that a histogram keeps. With 210 organisations of six profiles,
	// all histograms together use about 4 MB.
	histogramSampleSize = 100
	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = 5 * time.Second
	// maxCallers limits the number of callers whose usage is tracked in memory. Any further caller counts as large.
	maxCallers = 10_000
)

// callerUsage is the accelerator time that the callers of each organisation have used in this term.
type callerUsage struct {
	byCaller map[fleet.CallerKey]time.Duration
	total    map[fleet.OrganisationID]time.Duration
	callers  map[fleet.OrganisationID]int
}

func newCallerUsage() callerUsage {
	return callerUsage{
		byCaller: map[fleet.CallerKey]time.Duration{},
		total:    map[fleet.OrganisationID]time.Duration{},
		callers:  map[fleet.OrganisationID]int{},
	}
}

// add adds accelerator time to the usage of a caller. It returns small if the caller has used less than the mean of
// its organisation, otherwise large.
func (usage callerUsage) add(key fleet.CallerKey, used time.Duration) string {
	if _, known := usage.byCaller[key]; !known {
		if len(usage.byCaller) >= maxCallers {
			return "large"
		}
		usage.callers[key.Organisation]++
	}
	usage.byCaller[key] += used
	usage.total[key.Organisation] += used
	if usage.byCaller[key]*time.Duration(usage.callers[key.Organisation]) < usage.total[key.Organisation] {
		return "small"
	}
	return "large"
}

// countEnd counts the outcome and the accelerator time of a job and, if it completed, observes its completion time
// and slowdown.
func (owner *owner) countEnd(record *Record, outcome callerv1.Outcome) {
	organisation, profile := string(record.Organisation), string(record.Profile.Name)
	owner.service.count(metrics.Name("jobs_ended", "organisation", organisation, "outcome", outcomeName(outcome),
		"profile", profile), 1)
	used := time.Duration(record.Used)
	owner.service.count(metrics.Name("accelerator_ms", "organisation", organisation, "profile", profile),
		used.Milliseconds())
	size := owner.usage.add(fleet.CallerKey{Organisation: record.Organisation, Caller: record.Caller}, used)
	if outcome != callerv1.Outcome_OUTCOME_COMPLETED {
		return
	}
	completion := record.Ended.Sub(record.Submitted)
	owner.observe(metrics.Name("job_completion_ms", "organisation", organisation, "profile", profile),
		completion.Milliseconds())
	if running := used / time.Duration(max(1, record.Profile.Shape.Total())); running > 0 {
		slowdown := int64(100 * completion / running)
		owner.observe(metrics.Name("job_slowdown_percent", "callers", size, "organisation", organisation), slowdown)
	}
}

func (owner *owner) observe(name string, value int64) {
	histogram := owner.service.Metrics.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(histogramSampleSize, 0.015))
	})
	if histogram, ok := histogram.(gometrics.Histogram); ok {
		histogram.Update(value)
	}
}

// ownerGauges are the names of the gauges that only the owner of the domain exports.
var ownerGauges = []string{
	"jobs_waiting", "workers_quarantined", "accelerators_free", "guarantee_shortfalls", "evacuated_data_centres",
	"evacuated_accelerators_in_use", "accelerators_held", "accelerators_guaranteed", "organisation_jobs_waiting",
}

// removeOwnerGauges removes the gauges of a term that has ended. What they show changes at another process now.
func (service *Service) removeOwnerGauges() { metrics.RemoveGauges(service.Metrics, ownerGauges...) }

// updateGauges copies the state of the scheduler to gauges, at most once per gaugeInterval.
func (owner *owner) updateGauges(now time.Time) {
	if now.Sub(owner.gaugesUpdatedAt) < gaugeInterval {
		return
	}
	owner.gaugesUpdatedAt = now
	state, ok := owner.core.Dump().(scheduler.State)
	if !ok {
		return
	}
	owner.gauge("jobs_waiting", int64(state.Waiting))
	owner.gauge("workers_quarantined", int64(state.Quarantined))
	owner.gauge("accelerators_free", state.Free)
	owner.gauge("guarantee_shortfalls", int64(len(state.Shortfalls)))
	owner.gauge("evacuated_data_centres", int64(len(state.Evacuated)))
	owner.gauge("evacuated_accelerators_in_use", int64(state.EvacuatedAccelerators))
	for _, organisation := range state.Organisations {
		id := string(organisation.ID)
		owner.gauge(metrics.Name("accelerators_held", "organisation", id), int64(organisation.Held))
		owner.gauge(metrics.Name("accelerators_guaranteed", "organisation", id), int64(organisation.Guaranteed))
		owner.gauge(metrics.Name("organisation_jobs_waiting", "organisation", id), int64(organisation.Waiting))
	}
}

func (owner *owner) gauge(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, owner.service.Metrics).Update(value)
}
