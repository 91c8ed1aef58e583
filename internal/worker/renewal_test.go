package worker

import (
	"testing"
	"time"

	standin "github.com/quetzalstall/quetzalstall/internal/standin/worker"
)

// TestNoRenewalBeforeListed guards against a part of a gang that runs for longer than its probation because a worker
// confirmed a start that it did not carry out.
func TestNoRenewalBeforeListed(t *testing.T) {
	runFleet(t, 2, func(tested *testFleet) {
		tested.workers["w0"].SetFault(standin.OrderStart, badAnswers["confirmed_only"])
		tested.start("j")
		time.Sleep(tested.manager.Timing.MaxProbationLifetime() - 2*time.Second)
		if running := tested.running(); running != 0 {
			t.Errorf("%d tasks of an incomplete gang run after their probation, want 0", running)
		}
	})
}

// TestFirstRenewalDespiteLostSync guards against a gang that ends with its probation because a sync after its start was
// lost.
func TestFirstRenewalDespiteLostSync(t *testing.T) {
	runFleet(t, 2, func(tested *testFleet) {
		tested.workers["w0"].SetFault(standin.OrderSync, badAnswers["late"])
		go func() {
			time.Sleep(900 * time.Millisecond)
			tested.workers["w0"].SetFault(standin.OrderSync, nil)
		}()
		tested.start("j")
		time.Sleep(8 * time.Second)
		if running := tested.running(); running != 2 {
			t.Errorf("%d tasks run after their probation, want 2", running)
		}
	})
}
