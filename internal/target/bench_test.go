package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/knownred"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/standin/network"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

const (
	benchTargets = 50
	// benchSlots is large enough for 1,000 requests at the same time, however unevenly they are spread over the
	// targets, so that no request waits for a slot or is refused.
	benchSlots = 64
	// maxCostRatio limits the cost of a call through a Router, as a multiple of the cost of a direct call to a target.
	maxCostRatio = 1.5
)

// soleView is the membership view of a process without peers, which therefore owns every slot.
type soleView struct{ peer.View }

func (soleView) Live() []peer.Peer { return nil }

func (soleView) OwnSeat() (peer.Seat, time.Time, bool) { return 0, time.Unix(0, 0), true }

func (soleView) SeatHolder(peer.Seat) (peer.Peer, bool) { return peer.Peer{}, false }

func (soleView) Seats() int { return 1 }

// path is one way to send requests to targets on loopback: directly or through a Router.
type path struct {
	record *standin.Record
	call   func(id string) error
}

// carrier is the network between a path and its targets.
type carrier struct {
	listen func(address string) (net.Listener, error)
	dial   dialFunc
}

// loopback returns the carrier of the machine's own loopback addresses.
func loopback() carrier {
	return carrier{
		listen: func(string) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") },
		dial:   (&net.Dialer{}).DialContext,
	}
}

// inMemory returns a carrier without sockets, which works with a fake clock.
func inMemory() carrier {
	memory := network.New()
	return carrier{
		listen: func(address string) (net.Listener, error) { return memory.Listen(address), nil },
		dial:   memory.Dial,
	}
}

func startTargets(t testing.TB, carrier carrier) ([]*standin.Target, *standin.Record) {
	record := standin.NewRecord()
	var targets []*standin.Target
	for i := range benchTargets {
		id := fmt.Sprintf("target-%d", i)
		listener, err := carrier.listen(id + ":80")
		if err != nil {
			t.Fatal(err)
		}
		target := &standin.Target{
			ID: fleet.TargetID(id), Slots: benchSlots, Connections: 60, Record: record, Listener: listener,
		}
		target.Start()
		t.Cleanup(target.Close)
		targets = append(targets, target)
	}
	return targets, record
}

// newDirectPath returns the path of a plain HTTP/2 client that spreads its requests over the targets.
func newDirectPath(t testing.TB, carrier carrier) *path {
	targets, record := startTargets(t, carrier)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: carrier.dial}
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	var next atomic.Int64
	return &path{record: record, call: func(id string) error {
		target := targets[next.Add(1)%benchTargets]
		request, err := http.NewRequest(
			http.MethodPost, "http://"+target.Address()+"/run", bytes.NewReader([]byte("hello")))
		if err != nil {
			return err
		}
		request.Header.Set("Request-Id", "reed/"+id)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if _, err = io.ReadAll(response.Body); err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("direct call: status %d", response.StatusCode)
		}
		return err
	}}
}

// newRoutedPath returns the path through a Router.
func newRoutedPath(t testing.TB, carrier carrier) *path {
	targets, record := startTargets(t, carrier)
	var list []fleet.Target
	for _, target := range targets {
		list = append(list, target.FleetTarget(testService, "ngara"))
	}
	router := &Router{
		View: soleView{}, Configs: testConfig("reed"), Targets: func() []fleet.Target { return list },
		DataCentre: "ngara", DefaultRequestTime: testRequestTime, Dial: carrier.dial,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = router.Run(ctx) })
	t.Cleanup(func() { _ = router.Close(); cancel(); running.Wait() })
	return &path{record: record, call: func(id string) error {
		got := router.Call(context.Background(), "reed", &callerv1.CallRequest{
			RequestId: id, Profile: "read", Caller: "c", Body: []byte("hello"),
		})
		if got.GetOutcome() != callerv1.Outcome_OUTCOME_COMPLETED {
			return fmt.Errorf("%v", got)
		}
		return nil
	}}
}

// cost is the average cost of calls: mean time and allocations per call, and connections in total.
type cost struct {
	mean        time.Duration
	allocations float64
	connections int
}

// run makes calls from concurrent callers and returns their cost.
func (path *path) run(t testing.TB, callers, calls int) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var total, left atomic.Int64
	left.Store(int64(calls))
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for n := left.Add(-1); n >= 0; n = left.Add(-1) {
				started := time.Now()
				if err := path.call(fmt.Sprint(n)); err != nil {
					t.Error(err)
				}
				total.Add(int64(time.Since(started)))
			}
		})
	}
	running.Wait()
	runtime.ReadMemStats(&after)
	spent := cost{
		mean:        time.Duration(total.Load() / int64(calls)),
		allocations: float64(after.Mallocs-before.Mallocs) / float64(calls),
	}
	for i := range benchTargets {
		spent.connections += path.record.Usage(fleet.TargetID(fmt.Sprintf("target-%d", i))).AcceptedConnections
	}
	return spent
}

// awaitGoroutines waits until at most limit goroutines are left, for at most about 1 s, and returns how many there
// are.
func awaitGoroutines(limit int) int {
	for range 1000 {
		if runtime.NumGoroutine() <= limit {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return runtime.NumGoroutine()
}

// Guards against a request path that allocates more than 1.5 times as much as a direct call, or whose goroutines or
// connections grow with the number of calls. The ratio of the times is checked in BenchmarkRequestPath instead, because
// the race detector would distort the times in this test. The test runs on a fake clock, because a process that is
// suspended for longer than quietTimeout counts its connections as quiet and opens others.
func TestRequestPathCost(t *testing.T) {
	for _, callers := range []int{1, 100, 1000} {
		t.Run(fmt.Sprint(callers), func(t *testing.T) {
			knownred.SkipIfListed(t)
			synctest.Test(t, func(t *testing.T) { checkRequestPathCost(t, callers) })
		})
	}
}

func checkRequestPathCost(t *testing.T, callers int) {
	directPath, routedPath := newDirectPath(t, inMemory()), newRoutedPath(t, inMemory())
	directPath.run(t, callers, 1000)
	routedPath.run(t, callers, 1000)
	goroutines := runtime.NumGoroutine()
	direct := directPath.run(t, callers, 2000)
	routed := routedPath.run(t, callers, 2000)
	if ratio := routed.allocations / direct.allocations; ratio > maxCostRatio {
		t.Errorf("%.0f allocations per routed call, %.2f times those of a direct call", routed.allocations, ratio)
	}
	if left := awaitGoroutines(goroutines); left > goroutines {
		t.Errorf("%d goroutines after 2,000 calls, want at most %d as before", left, goroutines)
	}
	if routed.connections != benchTargets {
		t.Errorf("%d connections opened to %d targets, want one each", routed.connections, benchTargets)
	}
}

// BenchmarkRequestPath fails if the mean time of a routed call exceeds maxCostRatio times that of a direct call. It
// alternates between routed and direct calls and uses the best of several rounds for each, so that a pause of the
// machine affects neither mean time.
func BenchmarkRequestPath(b *testing.B) {
	const rounds = 7
	for _, callers := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			paths := []*path{newDirectPath(b, loopback()), newRoutedPath(b, loopback())}
			best := make([]cost, len(paths))
			for b.Loop() {
				for round := range rounds {
					for i, path := range paths {
						spent := path.run(b, callers, max(1000, 4*callers))
						if round == 0 || spent.mean < best[i].mean {
							best[i] = spent
						}
					}
				}
			}
			ratio := float64(best[1].mean) / float64(best[0].mean)
			b.ReportMetric(float64(best[0].mean.Nanoseconds()), "direct-ns")
			b.ReportMetric(float64(best[1].mean.Nanoseconds()), "routed-ns")
			b.ReportMetric(best[0].allocations, "direct-allocs")
			b.ReportMetric(best[1].allocations, "routed-allocs")
			b.ReportMetric(ratio, "ratio")
			if ratio > maxCostRatio {
				b.Errorf("mean time of a routed call is %.2f times that of a direct call", ratio)
			}
		})
	}
}
