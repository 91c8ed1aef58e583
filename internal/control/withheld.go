package control

// maxWithheldListing is the number of ends in a listing from which on withheld ends are acknowledged. A listing with
// maxListedEnds may lack the ends of other runs, and half of that leaves room for those that come before the
// acknowledgement has arrived.
const maxWithheldListing = maxListedEnds / 2

// withhold excludes an end from acknowledgement; see processUnknownEnd.
func (worker *worker) withhold(number int64) {
	worker.unstoredEnds[number] = true
	worker.withheldEnds = append(worker.withheldEnds, number)
}

// releaseWithheld allows the acknowledgement of the withheld ends if the worker lists too many ends because of them.
// That the end of a superseded run then counts as received is the smaller harm: otherwise the end of no further run on
// the worker would be seen.
func (loop *dispatcher) releaseWithheld(worker *worker, listedEnds int) {
	if len(worker.withheldEnds) == 0 || listedEnds < maxWithheldListing {
		return
	}
	loop.Logger.Warn("acknowledging withheld ends", "worker", string(worker.entry.ID),
		"withheld", len(worker.withheldEnds), "listed", listedEnds)
	for _, number := range worker.withheldEnds {
		delete(worker.unstoredEnds, number)
	}
	worker.withheldEnds = nil
}
