package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Settings are the parameters of a Core. Zero fields take the values of DefaultSettings.
type Settings struct {
	// CheckpointGrace is the time that an evicted gang has to save a checkpoint and end before it is stopped.
	CheckpointGrace time.Duration `json:"checkpoint_grace"`
	// StopConfirmation is the time that a gang has to confirm a stop. After it, claims no longer wait for the gang's
	// accelerators.
	StopConfirmation time.Duration `json:"stop_confirmation"`
	// ServiceHalfLife is the time in which the attained service of an idle organisation or caller decays to half.
	ServiceHalfLife time.Duration `json:"service_half_life"`
	// FairnessQuantum is added to the attained service of an organisation or caller for each accelerator in use, so
	// that concurrent placements alternate between organisations, or callers, of equal attained service.
	FairnessQuantum time.Duration `json:"fairness_quantum"`
	// Levels are the thresholds between the priority levels of a job, ascending. A job drops to the next lower priority
	// when the accelerator time that it has used reaches a threshold.
	Levels []fleet.AcceleratorTime `json:"levels"`
	// FailuresOfJob is the number of different workers on which a job must fail before it ends as failed.
	FailuresOfJob int `json:"failures_of_job"`
	// FailuresOfWorker is the number of different jobs that must fail on a worker, without a success between them,
	// before the worker is quarantined.
	FailuresOfWorker int `json:"failures_of_worker"`
	// QuarantineTime is the duration of the first quarantine of a worker; each further one is twice as long.
	QuarantineTime time.Duration `json:"quarantine_time"`
	// QuarantineShare is the largest share of the fleet that may be in quarantine.
	QuarantineShare float64 `json:"quarantine_share"`
	// MaxWaiting is the limit on waiting jobs that never started, for each organisation whose configuration sets no
	// limit.
	MaxWaiting int `json:"max_waiting"`
	// RetryAfter is the time after which a caller may retry when a queue is full.
	RetryAfter time.Duration `json:"retry_after"`
	// CompactionInterval is the minimum time between two attempts to free accelerators for waiting jobs by evicting
	// preemptible gangs, which then run on other workers or later.
	CompactionInterval time.Duration `json:"compaction_interval"`
	// LossShare is the share of the accelerator time in use that these evictions may lose.
	LossShare float64 `json:"loss_share"`
	// FairLossShare is the further share that these evictions may lose if they only evict gangs of organisations that
	// have much more attained service than the organisation of the waiting job.
	FairLossShare float64 `json:"fair_loss_share"`
	// ConsolidationLossShare is the further share that may be lost by moving gangs to empty workers.
	ConsolidationLossShare float64 `json:"consolidation_loss_share"`
	// GainFactor multiplies the estimated gain of an eviction before it is compared with the work that the eviction
	// loses.
	GainFactor float64 `json:"gain_factor"`
	// MinRun is the minimum time for which a gang runs before it may be evicted for a waiting job or to empty a worker.
	// Reclaims of guarantees do not wait for it.
	MinRun time.Duration `json:"min_run"`
	// AvoidTime is the time for which a waiting job avoids the workers on which it failed.
	AvoidTime time.Duration `json:"avoid_time"`
	// StarvationTime is the time for which a job must wait before workers may be reserved for it.
	StarvationTime time.Duration `json:"starvation_time"`
	// History is the number of the latest placements that Dump returns, and likewise of evictions and of refusals.
	History int `json:"history"`
}

// DefaultSettings returns the defaults that replace zero fields.
func DefaultSettings() Settings {
	return Settings{
		CheckpointGrace:  2 * time.Second,
		StopConfirmation: time.Second,
		ServiceHalfLife:  30 * time.Minute,
		FairnessQuantum:  time.Minute,
		Levels: []fleet.AcceleratorTime{
			fleet.AcceleratorTime(10 * time.Minute),
			fleet.AcceleratorTime(2 * time.Hour),
			fleet.AcceleratorTime(24 * time.Hour),
		},
		FailuresOfJob:          3,
		FailuresOfWorker:       3,
		QuarantineTime:         5 * time.Minute,
		QuarantineShare:        0.1,
		MaxWaiting:             200_000,
		RetryAfter:             5 * time.Second,
		CompactionInterval:     time.Second,
		LossShare:              0.002,
		FairLossShare:          0.003,
		ConsolidationLossShare: 0.005,
		GainFactor:             1,
		StarvationTime:         10 * time.Minute,
		AvoidTime:              30 * time.Second,
		MinRun:                 20 * time.Second,
		History:                64,
	}
}

// withDefaults replaces zero fields by their defaults.
func (settings Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	setDefault(&settings.CheckpointGrace, defaults.CheckpointGrace)
	setDefault(&settings.StopConfirmation, defaults.StopConfirmation)
	setDefault(&settings.ServiceHalfLife, defaults.ServiceHalfLife)
	setDefault(&settings.FairnessQuantum, defaults.FairnessQuantum)
	setDefault(&settings.FailuresOfJob, defaults.FailuresOfJob)
	setDefault(&settings.FailuresOfWorker, defaults.FailuresOfWorker)
	setDefault(&settings.QuarantineTime, defaults.QuarantineTime)
	setDefault(&settings.QuarantineShare, defaults.QuarantineShare)
	setDefault(&settings.MaxWaiting, defaults.MaxWaiting)
	setDefault(&settings.RetryAfter, defaults.RetryAfter)
	setDefault(&settings.CompactionInterval, defaults.CompactionInterval)
	setDefault(&settings.LossShare, defaults.LossShare)
	setDefault(&settings.FairLossShare, defaults.FairLossShare)
	setDefault(&settings.ConsolidationLossShare, defaults.ConsolidationLossShare)
	setDefault(&settings.GainFactor, defaults.GainFactor)
	setDefault(&settings.MinRun, defaults.MinRun)
	setDefault(&settings.AvoidTime, defaults.AvoidTime)
	setDefault(&settings.StarvationTime, defaults.StarvationTime)
	setDefault(&settings.History, defaults.History)
	if settings.Levels == nil {
		settings.Levels = defaults.Levels
	}
	return settings
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
