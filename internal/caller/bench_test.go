package caller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzalstall/quetzalstall/internal/caller"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	standin "github.com/quetzalstall/quetzalstall/internal/standin/target"
	"github.com/quetzalstall/quetzalstall/internal/target"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1"
	"github.com/quetzalstall/quetzalstall/pkg/api/callerv1/callerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

const (
	benchTargets = 50
	// benchSlots is large enough for 1,000 requests at the same time, however unevenly they are spread over the
	// targets, so that no request waits for a slot or is refused.
	benchSlots = 64
	benchToken = "bench"
	// maxRatio limits the mean time of a call through an entry process, as a multiple of the mean time of a direct
	// call.
	maxRatio = 1.5
)

type fixedConfig struct{ config *profile.Config }

func (configs fixedConfig) Current() *profile.Config { return configs.config }

// soleView is the membership view of a process without peers, which therefore owns every slot.
type soleView struct{ peer.View }

func (soleView) Live() []peer.Peer { return nil }

func (soleView) OwnSeat() (peer.Seat, time.Time, bool) { return 0, time.Unix(0, 0), true }

func (soleView) Seats() int { return 1 }

func startTargets(b *testing.B, serviceTime time.Duration) (list []fleet.Target) {
	for i := range benchTargets {
		made, err := standin.New(fleet.TargetID(fmt.Sprintf("target-%d", i)), benchSlots, 60)
		if err != nil {
			b.Fatal(err)
		}
		made.Behave = func(string, []byte) standin.Behaviour {
			return standin.Behaviour{SleepMs: int(serviceTime.Milliseconds())}
		}
		made.Start()
		b.Cleanup(made.Close)
		list = append(list, made.FleetTarget("tuning", "ngara"))
	}
	return list
}

func hashOfToken(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// startEntry starts the caller API of one entry process on loopback and returns its address.
func startEntry(b *testing.B, list []fleet.Target) string {
	configs := fixedConfig{&profile.Config{Organisations: map[fleet.OrganisationID]*profile.Organisation{"reed": {
		ID: "reed", TokenHashes: []string{hashOfToken(benchToken)},
		Profiles: []profile.Profile{{Name: "read", Service: "tuning", Idempotent: true}},
	}}}}
	router := &target.Router{
		View: soleView{}, Configs: configs, Targets: func() []fleet.Target { return list }, DataCentre: "ngara",
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = router.Run(ctx) }()
	path, handler := (&caller.Server{Calls: router, Configs: configs}).Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := transport.NewServer(mux, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close(); _ = router.Close(); cancel() })
	return listener.Addr().String()
}

// meanOf makes calls from concurrent callers and returns the mean time of a call.
func meanOf(b *testing.B, callers, calls int, call func(n int64) error) time.Duration {
	var total, left atomic.Int64
	left.Store(int64(calls))
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for n := left.Add(-1); n >= 0; n = left.Add(-1) {
				started := time.Now()
				if err := call(n); err != nil {
					b.Error(err)
				}
				total.Add(int64(time.Since(started)))
			}
		})
	}
	running.Wait()
	return time.Duration(total.Load() / int64(calls))
}

// BenchmarkWholePath compares calls through an entry process with direct calls to the targets, and fails when the mean
// time of a call through the entry process exceeds maxRatio times the mean time of a direct call. Callers use the same
// number of connections on both paths. Callers, entry process and targets share the machine. With 1,000 callers,
// targets therefore take longer for each request, to keep the processors below saturation.
func BenchmarkWholePath(b *testing.B) {
	loads := []struct {
		callers     int
		serviceTime time.Duration
	}{{1, 10 * time.Millisecond}, {100, 10 * time.Millisecond}, {1000, 100 * time.Millisecond}}
	for _, load := range loads {
		callers := load.callers
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			list := startTargets(b, load.serviceTime)
			address := startEntry(b, startTargets(b, load.serviceTime))
			client := transport.NewHTTPClient(nil)
			defer client.CloseIdleConnections()
			direct := func(n int64) error {
				to := list[n%benchTargets]
				request, err := http.NewRequest(
					http.MethodPost, "http://"+to.Address+"/run", bytes.NewReader([]byte("hello")))
				if err != nil {
					return err
				}
				request.Header.Set("Request-Id", fmt.Sprint(n))
				response, err := client.Do(request)
				if err != nil {
					return err
				}
				defer func() { _ = response.Body.Close() }()
				if _, err = io.ReadAll(response.Body); err == nil && response.StatusCode != http.StatusOK {
					err = fmt.Errorf("direct call: status %d", response.StatusCode)
				}
				return err
			}
			services := make([]callerv1connect.CallerServiceClient, benchTargets)
			for i := range services {
				own := transport.NewHTTPClient(nil)
				defer own.CloseIdleConnections()
				services[i] = callerv1connect.NewCallerServiceClient(own, "http://"+address)
			}
			whole := func(n int64) error {
				request := connect.NewRequest(&callerv1.CallRequest{
					RequestId: fmt.Sprint(n), Profile: "read", Body: []byte("hello"),
				})
				request.Header().Set("Authorization", "Bearer "+benchToken)
				response, err := services[n%benchTargets].Call(context.Background(), request)
				if err == nil && response.Msg.GetOutcome() != callerv1.Outcome_OUTCOME_COMPLETED {
					err = fmt.Errorf("%v", response.Msg)
				}
				return err
			}
			calls := max(50, 4*callers)
			meanOf(b, callers, calls, direct)
			meanOf(b, callers, calls, whole)
			var best [2]time.Duration
			for b.Loop() {
				for range 7 {
					for i, call := range []func(int64) error{direct, whole} {
						if mean := meanOf(b, callers, calls, call); best[i] == 0 || mean < best[i] {
							best[i] = mean
						}
					}
				}
			}
			ratio := float64(best[1]) / float64(best[0])
			b.ReportMetric(float64(best[0].Nanoseconds()), "direct-ns")
			b.ReportMetric(float64(best[1].Nanoseconds()), "whole-ns")
			b.ReportMetric(ratio, "ratio")
			if ratio > maxRatio {
				b.Errorf("mean time through the entry process is %.2f times that of a direct call", ratio)
			}
		})
	}
}
