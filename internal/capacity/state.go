package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/quetzalstall/quetzalstall/internal/domain"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/platform"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"

	"github.com/rcrowley/go-metrics"
)

const gibibyte = 1 << 30

// newOrganisation returns an organisation's document similar to those of the example deployments.
func newOrganisation(index int) *profile.Organisation {
	shape := func(members, accelerators int, adjacency fleet.Adjacency) fleet.Shape {
		return fleet.Shape{
			Members: members, Accelerators: fleet.Accelerators(accelerators), Cores: fleet.Cores(4 * accelerators),
			Memory: fleet.Bytes(accelerators) * 12 * gibibyte, Adjacency: adjacency,
		}
	}
	limits := profile.Limits{MaxWaiting: 500, MaxRunTime: profile.Duration(24 * time.Hour), MaxBody: 64 << 10}
	document := &profile.Organisation{
		ID: fleet.OrganisationID(fmt.Sprintf("organisation-%03d", index)), Quota: 512, MaxWaiting: 2000,
		TokenHashes: []string{fmt.Sprintf("%064x", index)},
		Guarantees: []profile.Guarantee{
			{Count: 2, Shape: shape(4, 8, fleet.AdjacencyRack)},
			{Count: 8, Shape: shape(1, 4, fleet.AdjacencyWorker)},
		},
	}
	for i := range 6 {
		gang := shape(1+i, 4, fleet.AdjacencyRack)
		document.Profiles = append(document.Profiles, profile.Profile{
			Name: fleet.ProfileName(fmt.Sprintf("planning-%d", i)), Shape: &gang, Urgency: profile.UrgencyNormal,
			Idempotent: true, Checkpoint: true, Limits: limits,
		})
	}
	return document
}

// configDocuments measures the parsing of one organisation's document, and the memory of the parsed documents of all
// organisations.
func configDocuments(context.Context) (Series, error) {
	series := Series{
		Operation: "configuration: one changed document read; heap of all documents", Unit: "organisations",
	}
	for _, count := range []int{50, 105, 210} {
		before := liveHeap()
		config := &profile.Config{Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
		var text []byte
		for i := range count {
			text, _ = json.Marshal(newOrganisation(i))
			parsed, err := profile.ParseOrganisation(text)
			if err != nil {
				return series, errors.Wrap(err, "document")
			}
			config.Organisations[parsed.ID] = parsed
		}
		heap := liveHeap() - before
		cpu, err := repeat(200, func() error {
			_, err := profile.ParseOrganisation(text)
			return err
		})
		if err != nil {
			return series, err
		}
		runtime.KeepAlive(config)
		series.Points = append(series.Points, Point{Size: count, CPU: cpu, Bytes: float64(len(text)), Heap: heap})
	}
	return series, nil
}

// configPacking measures the check that all guarantees fit on the fleet together. The process that accepts an edit
// makes this check once per edit.
func configPacking(context.Context) (Series, error) {
	series := Series{Operation: "configuration: packing of all guarantees at acceptance", Unit: "workers"}
	for _, count := range []int{1500, 3000, 6000, 12000} {
		var workers []fleet.Worker
		for i := range count {
			workers = append(workers, fleet.Worker{
				ID: fleet.WorkerID(fmt.Sprintf("worker-%05d", i)), Region: "region",
				DataCentre: fleet.DataCentreID(fmt.Sprintf("dc-%d", i%10)),
				Rack:       fleet.RackID(fmt.Sprintf("dc-%d-rack-%d", i%10, i/80)),
				Cores:      128, Memory: 512 * gibibyte, Accelerators: 20,
			})
		}
		config := &profile.Config{Organisations: map[fleet.OrganisationID]*profile.Organisation{}}
		for i := range 210 * count / 12000 {
			document := newOrganisation(i)
			config.Organisations[document.ID] = document
		}
		cpu, err := repeat(3, func() error {
			if _, shortfalls := scheduler.Pack(config, workers); len(shortfalls) > 0 {
				return errors.Errorf("%d guaranteed shapes do not fit", len(shortfalls))
			}
			return nil
		})
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, Point{Size: count, CPU: cpu})
	}
	return series, nil
}

// newRecord returns the record of a running job whose gang has eight members.
func newRecord(index int) domain.Record {
	document := newOrganisation(index % 210)
	record := domain.Record{
		WriteID: "0123456789-123456", Organisation: document.ID, Job: fleet.JobID(fmt.Sprintf("job-%06d", index)),
		Caller: "caller-12", Domain: "region", Profile: document.Profiles[5], ConfigRevision: 123456,
		Input: make([]byte, 200), Submitted: time.Unix(1_700_000_000, 0), State: domain.StateStarting,
		Attempt: 1, Begun: 1,
	}
	for i := range 8 {
		record.Members = append(record.Members, domain.RecordMember{
			Worker: fleet.WorkerID(fmt.Sprintf("worker-%05d", i)),
			Lease:  fleet.LeaseID(fmt.Sprintf("0123456789.1.%d.%d", index, i)), Accelerators: 4,
		})
	}
	return record
}

// jobCopies measures the decoding of one job record, and the memory of the decoded records of all jobs of one day, of
// which a process holds copies.
func jobCopies(context.Context) (Series, error) {
	series := Series{Operation: "jobs: one record read; heap of all copies", Unit: "records"}
	for _, count := range []int{1575, 3150, 6300} {
		before := liveHeap()
		copies := make(map[fleet.JobKey]*domain.Record, count)
		var text []byte
		for i := range count {
			text, _ = json.Marshal(newRecord(i))
			read := &domain.Record{}
			if err := json.Unmarshal(text, read); err != nil {
				return series, errors.Wrap(err, "record")
			}
			copies[read.Key()] = read
		}
		heap := liveHeap() - before
		cpu, err := repeat(2000, func() error { return json.Unmarshal(text, &domain.Record{}) })
		if err != nil {
			return series, errors.Wrap(err, "record")
		}
		runtime.KeepAlive(copies)
		series.Points = append(series.Points, Point{Size: count, CPU: cpu, Bytes: float64(len(text)), Heap: heap})
	}
	return series, nil
}

// storeWatch measures one write of a job record, including its delivery to the watches of several processes.
func storeWatch(ctx context.Context) (Series, error) {
	series := Series{Operation: "store: one record written and delivered to every watch", Unit: "watches"}
	for _, watches := range []int{1, 7, 14, 28} {
		point, err := measureWatchedWrite(ctx, watches)
		if err != nil {
			return series, err
		}
		series.Points = append(series.Points, point)
	}
	return series, nil
}

func measureWatchedWrite(ctx context.Context, watches int) (Point, error) {
	url, client, counter, stop, err := serveOnLoopback(standin.New().Handler())
	if err != nil {
		return Point{}, err
	}
	defer stop()
	store := platform.NewStore(platformv1connect.NewStoreServiceClient(client, url), metrics.NewRegistry())
	store.Budget = platform.NewBudget(1e6, 1e6)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	delivered := make(chan struct{}, watches)
	for range watches {
		go store.Watch(ctx, "jobs/", func(platform.Change) { delivered <- struct{}{} })
	}
	for range watches {
		<-delivered
	}
	text, _ := json.Marshal(newRecord(1))
	revision := platform.StoreRevision(0)
	write := func() error {
		text[len(text)-2]++
		written, err := store.Swap(ctx, "jobs/organisation/job", text, revision)
		revision = written
		for range watches {
			<-delivered
		}
		return err
	}
	return measureWrites(watches, counter, write)
}

func measureWrites(size int, counter *byteCounter, write func() error) (Point, error) {
	const writes = 500
	before := counter.bytes.Load()
	cpu, err := repeat(writes, write)
	return Point{Size: size, CPU: cpu, Bytes: float64(counter.bytes.Load()-before) / writes}, err
}
