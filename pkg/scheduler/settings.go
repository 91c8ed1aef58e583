package scheduler

import (
	"time"

	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Settings are the parameters of a Core. Zero fields take the values of DefaultSettings.
type Settings struct {
	// CheckpointGrace is the time between the request to checkpoint and the stop.
	CheckpointGrace time.Duration `json:"checkpoint_grace"`
	// StopConfirmation is the time after which the accelerators of a worker that ignores a stop are no longer expected
	// to become free.
	StopConfirmation time.Duration `json:"stop_confirmation"`
	// ServiceHalfLife is the half-life of the attained service of an organisation or caller.
	ServiceHalfLife time.Duration `json:"service_half_life"`
	// FairnessQuantum is the service charged for each accelerator in use when organisations and callers are ordered.
	FairnessQuantum time.Duration `json:"fairness_quantum"`
	// Levels are the thresholds between the priority levels of a job, in attained service, ascending.
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
	// MaxWaiting limits the waiting jobs of an organisation whose configuration sets no limit.
	MaxWaiting int `json:"max_waiting"`
	// RetryAfter is the time after which a caller may retry when a queue is full.
	RetryAfter time.Duration `json:"retry_after"`
	// CompactionInterval is the minimum time between attempts to free accelerators by moving work.
	CompactionInterval time.Duration `json:"compaction_interval"`
	// LossShare is the share of the accelerator time in use that may be lost by moving work.
	LossShare float64 `json:"loss_share"`
	// FairLossShare is the share that may be lost by moving work of organisations with much more attained service.
	FairLossShare float64 `json:"fair_loss_share"`
	// GainFactor scales the estimated gain of a start, which is compared with the work lost for it.
	GainFactor float64 `json:"gain_factor"`
	// MinRun is the minimum time for which a gang runs before it may be moved.
	MinRun time.Duration `json:"min_run"`
	// AvoidTime is the time for which a waiting job avoids the workers on which it failed.
	AvoidTime time.Duration `json:"avoid_time"`
	// StarvationTime is the time after which a waiting job may get a reservation.
	StarvationTime time.Duration `json:"starvation_time"`
	// History is the number of placements, evictions and refusals that Dump returns, each.
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
		FailuresOfJob:      3,
		FailuresOfWorker:   3,
		QuarantineTime:     5 * time.Minute,
		QuarantineShare:    0.1,
		MaxWaiting:         200_000,
		RetryAfter:         5 * time.Second,
		CompactionInterval: time.Second,
		LossShare:          0.002,
		FairLossShare:      0.003,
		GainFactor:         1,
		StarvationTime:     10 * time.Minute,
		AvoidTime:          30 * time.Second,
		MinRun:             20 * time.Second,
		History:            64,
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
