package progress

import "github.com/quetzalstall/quetzalstall/pkg/workload"

// SetCheckpoint records a checkpoint of a placed run and reports whether it is new.
func (record *Record) SetCheckpoint(job workload.Job, id workload.TaskID, run RunNumber, checkpoint string) bool {
	task := record.Task(id)
	if task == nil || task.Phase != Placed || task.Run != run || task.Checkpoint == checkpoint || checkpoint == "" {
		return false
	}
	record.storeCheckpoint(job.Steps[id.Step], id, checkpoint)
	return true
}

// storeCheckpoint sets the checkpoint of a task. It sets the same checkpoint for all members of a gang, because they
// must all resume from the same one.
func (record *Record) storeCheckpoint(step workload.Step, id workload.TaskID, checkpoint string) {
	tasks := record.Tasks(id.Occurrence, id.Step)
	if !step.Gang {
		tasks[id.Index].Checkpoint = checkpoint
		return
	}
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
}
