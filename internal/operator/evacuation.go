package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1"
	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	// maxDataCentreLength limits the length of a data centre's name in bytes, so that log lines and errors stay short.
	maxDataCentreLength = 128
	// maxEvacuationAttempts limits how often an evacuation is tried again because another edit was accepted at the same
	// time. Unlike edits of documents, it does not depend on the revision that the operator saw.
	maxEvacuationAttempts = 8
	// maxNamedDataCentres limits the data centres that an error lists.
	maxNamedDataCentres = 20
)

// evacuationEdit is a request to evacuate a data centre or to take it back.
type evacuationEdit struct {
	dataCentre fleet.DataCentreID
	takeBack   bool
	at         time.Time
	// before is the evacuation in force before the request, as found by checkEvacuation.
	before profile.Evacuation
}

func (requested *evacuationEdit) sum() string {
	return sumOf(fmt.Appendf(nil, "evacuation\n%s\n%t", requested.dataCentre, requested.takeBack))
}

// apply returns the evacuations that result from the request. They are nil if there are none, so that the head is then
// encoded as if there never were any.
func (requested *evacuationEdit) apply(
	current map[fleet.DataCentreID]profile.Evacuation, revision fleet.Revision,
) map[fleet.DataCentreID]profile.Evacuation {
	changed := maps.Clone(current)
	if requested.takeBack {
		delete(changed, requested.dataCentre)
		if len(changed) == 0 {
			return nil
		}
		return changed
	}
	if changed == nil {
		changed = map[fleet.DataCentreID]profile.Evacuation{}
	}
	changed[requested.dataCentre] = profile.Evacuation{Since: requested.at, Revision: revision}
	return changed
}

// errAlreadyEvacuated is returned by checkEvacuation for a data centre that is already evacuated.
var errAlreadyEvacuated = fault.New(fault.Conflict, "the data centre is already evacuated")

// Evacuate stores the request that nothing more is started on the workers of a data centre. A request for a data centre
// that is already evacuated succeeds and changes nothing. Errors are of type *fault.Error.
func (distributor *Distributor) Evacuate(
	ctx context.Context, request *operatorv1.EvacuateRequest,
) (*operatorv1.EvacuateResponse, error) {
	id, err := parseDataCentre(request.GetDataCentre())
	if err != nil {
		return nil, err
	}
	requested := &evacuationEdit{dataCentre: id, at: time.Now().UTC()}
	revision, err := distributor.changeEvacuation(ctx, requested)
	if fault.FromError(err) == errAlreadyEvacuated {
		return &operatorv1.EvacuateResponse{
			Revision:         int64(requested.before.Revision),
			SinceUnixMs:      requested.before.Since.UnixMilli(),
			AlreadyEvacuated: true,
		}, nil
	}
	if err != nil {
		return nil, err
	}
	return &operatorv1.EvacuateResponse{Revision: int64(revision), SinceUnixMs: requested.at.UnixMilli()}, nil
}

// TakeBack ends the evacuation of a data centre. The kind of the error is NotFound if the data centre is not evacuated.
func (distributor *Distributor) TakeBack(
	ctx context.Context, request *operatorv1.TakeBackRequest,
) (*operatorv1.TakeBackResponse, error) {
	id, err := parseDataCentre(request.GetDataCentre())
	if err != nil {
		return nil, err
	}
	requested := &evacuationEdit{dataCentre: id, takeBack: true, at: time.Now().UTC()}
	revision, err := distributor.changeEvacuation(ctx, requested)
	if err != nil {
		return nil, err
	}
	return &operatorv1.TakeBackResponse{
		Revision: int64(revision), SinceUnixMs: requested.before.Since.UnixMilli(),
	}, nil
}

// parseDataCentre checks the form of a data centre's name. Names come from the platform, so that any printable text
// without spaces at its ends is accepted.
func parseDataCentre(name string) (fleet.DataCentreID, error) {
	printable := utf8.ValidString(name) && strings.TrimSpace(name) == name &&
		!strings.ContainsFunc(name, func(char rune) bool { return !unicode.IsPrint(char) })
	if name == "" || len(name) > maxDataCentreLength || !printable {
		return "", fault.New(fault.InvalidArgument,
			"needs the name of a data centre: 1 to %d printable characters without spaces at the ends",
			maxDataCentreLength).WithField("data_centre")
	}
	return fleet.DataCentreID(name), nil
}

// changeEvacuation stores an evacuation or ends one, and returns the revision of the configuration that contains the
// change. It tries again when another edit was accepted at the same time.
func (distributor *Distributor) changeEvacuation(
	ctx context.Context, requested *evacuationEdit,
) (fleet.Revision, error) {
	select {
	case distributor.editSlot <- struct{}{}:
		defer func() { <-distributor.editSlot }()
	case <-ctx.Done():
		return 0, fault.New(fault.DeadlineBeforeStart, "another edit is in progress")
	}
	change := &edit{id: "evacuation-" + rand.Text(), evacuation: requested}
	var refusal *fault.Error
	for range maxEvacuationAttempts {
		revision, err := distributor.accept(ctx, change)
		if err == nil {
			distributor.count("accepted")
			distributor.Logger.Info("evacuation changed", "data_centre", requested.dataCentre,
				"evacuated", !requested.takeBack, "revision", revision)
			return revision, nil
		}
		refusal = fault.FromError(err)
		if refusal == errAlreadyEvacuated || refusal.Kind != fault.Conflict {
			break
		}
	}
	if refusal != errAlreadyEvacuated {
		distributor.count("refused." + string(refusal.Kind))
	}
	return 0, refusal
}

// checkEvacuation returns an error if no worker is in the data centre to evacuate or it is already evacuated, or if the
// data centre to take back is not evacuated. A data centre may be taken back when no worker is in it any more.
func (distributor *Distributor) checkEvacuation(base *state, requested *evacuationEdit) error {
	before, evacuated := base.head.Evacuations[requested.dataCentre]
	requested.before = before
	if requested.takeBack {
		if evacuated {
			return nil
		}
		return fault.New(fault.NotFound, "data centre %q is not evacuated; evacuated data centres: %s",
			requested.dataCentre, nameDataCentres(slices.Collect(maps.Keys(base.head.Evacuations)))).
			WithField("data_centre")
	}
	if evacuated {
		return errAlreadyEvacuated
	}
	inventory, ok := distributor.Inventory()
	if !ok {
		return fault.New(fault.Starting, "the list of VMs has not been read yet").WithRetryAfter(retryAfter)
	}
	known := map[fleet.DataCentreID]struct{}{}
	for i := range inventory.Workers {
		known[inventory.Workers[i].DataCentre] = struct{}{}
	}
	if _, ok := known[requested.dataCentre]; !ok {
		return fault.New(fault.NotFound, "no worker is in data centre %q; data centres with workers: %s",
			requested.dataCentre, nameDataCentres(slices.Collect(maps.Keys(known)))).WithField("data_centre")
	}
	return nil
}

// nameDataCentres lists data centres in an error.
func nameDataCentres(ids []fleet.DataCentreID) string {
	if len(ids) == 0 {
		return "none"
	}
	slices.Sort(ids)
	names := make([]string, 0, maxNamedDataCentres+1)
	for _, id := range ids[:min(len(ids), maxNamedDataCentres)] {
		names = append(names, string(id))
	}
	if len(ids) > maxNamedDataCentres {
		names = append(names, fmt.Sprintf("and %d more", len(ids)-maxNamedDataCentres))
	}
	return strings.Join(names, ", ")
}
