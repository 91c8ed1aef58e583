package control

import (
	"time"

	"github.com/hashicorp/go-hclog"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/pkg/demand"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/workload"
)

const (
	// headroomLogPause is the shortest time between two log lines about the headroom of a service.
	headroomLogPause = 5 * time.Second
	// headroomLogChange is the change of the headroom that is logged, as a fraction of the service's accelerators.
	headroomLogChange = 0.1
)

// headroom decides how many accelerators of each service are kept free for urgent jobs. The zero value knows no
// arrivals.
type headroom struct {
	estimator demand.Estimator
	logged    map[fleet.ServiceName]loggedHeadroom
}

// loggedHeadroom is the decision that was last logged for a service.
type loggedHeadroom struct {
	demand.Decision
	at time.Duration
}

// add records the arrival of a job if the job is urgent.
func (headroom *headroom) add(now time.Duration, job *job) {
	if job.policy.Priority != workload.Urgent {
		return
	}
	first := job.Steps[0]
	headroom.estimator.Observe(now, demand.Arrival{
		Service: job.policy.Service, Profile: job.Profile,
		Accelerators: first.Each.Accelerators * fleet.Accelerators(first.Tasks),
	})
}

// keptFree returns the number of accelerators to keep free for urgent jobs of a service. all is the number of
// accelerators of the service.
func (loop *dispatcher) keptFree(
	now time.Duration, service fleet.ServiceName, all fleet.Accelerators,
) fleet.Accelerators {
	decision := loop.headroom.estimator.Headroom(now, service, all)
	gauge := func(name string) gometrics.GaugeFloat64 {
		return gometrics.GetOrRegisterGaugeFloat64(metrics.Name(name, "service", string(service)), loop.Metrics)
	}
	gauge("headroom_accelerators").Update(float64(decision.Kept))
	gauge("urgent_accelerators_per_second").Update(decision.Rate)
	loop.headroom.log(loop.Logger, now, service, all, decision)
	return decision.Kept
}

// log logs that the headroom follows a wave or does so no longer, or has changed much while it follows one.
func (headroom *headroom) log(
	logger hclog.Logger, now time.Duration, service fleet.ServiceName, all fleet.Accelerators, decision demand.Decision,
) {
	last, known := headroom.logged[service]
	change := max(decision.Kept-last.Kept, last.Kept-decision.Kept)
	changedMuch := decision.Wave && float64(change) > headroomLogChange*float64(all)
	if decision.Wave == last.Wave && !changedMuch || known && now-last.at < headroomLogPause {
		return
	}
	if headroom.logged == nil {
		headroom.logged = map[fleet.ServiceName]loggedHeadroom{}
	}
	headroom.logged[service] = loggedHeadroom{Decision: decision, at: now}
	logger.Info("headroom changed", "service", string(service), "kept_accelerators", int(decision.Kept),
		"steady_accelerators", int(decision.Steady), "of", int(all), "accelerators_per_second", decision.Rate,
		"wave", decision.Wave)
}
