package control

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestTokenOfRelistedWorker guards against a term that ends because a worker which was removed and is listed again has
// received a higher token earlier in the term.
func TestTokenOfRelistedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newTestLoop(t, 0)
		loop.Workers, loop.LeaseDuration = &recordingWorkers{}, 5*time.Second
		entry := WorkerEntry{ID: "w0000", Incarnation: 1}
		loop.observeWorker(entry)
		entry.Incarnation++
		loop.workers[entry.ID].unresponsive = true
		loop.observeWorker(entry)
		former := loop.workers[entry.ID].link
		loop.markUnlisted(entry.ID)
		loop.workers[entry.ID].unresponsive = true
		loop.sweep()
		if loop.workers[entry.ID] != nil {
			t.Fatal("worker without an entry, a run and a response was not removed")
		}
		loop.observeWorker(entry)
		link := loop.workers[entry.ID].link
		if link.token <= former.token {
			t.Errorf("token %d of the worker after token %d, want a higher one", link.token, former.token)
		}
		link.cancel()
		_ = loop.group.Wait()
	})
}
