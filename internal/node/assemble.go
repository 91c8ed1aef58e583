package node

import (
	"context"
	"net/http"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/caller"
	"github.com/quetzalstall/quetzalstall/internal/domain"
	"github.com/quetzalstall/quetzalstall/internal/metrics"
	"github.com/quetzalstall/quetzalstall/internal/operator"
	"github.com/quetzalstall/quetzalstall/internal/peer"
	"github.com/quetzalstall/quetzalstall/internal/platform"
	"github.com/quetzalstall/quetzalstall/internal/target"
	"github.com/quetzalstall/quetzalstall/internal/transport"
	"github.com/quetzalstall/quetzalstall/internal/worker"
	"github.com/quetzalstall/quetzalstall/pkg/api/operatorv1/operatorv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/peerv1/peerv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/api/platformv1/platformv1connect"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
	"github.com/quetzalstall/quetzalstall/pkg/scheduler"
)

const (
	// headerTimeout limits the time for reading the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle caller connection is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
	// storeBurstSeconds limits a burst of calls to the store. The budget limits the calls per second; a burst has at
	// most as many calls as the budget allows in this number of seconds.
	storeBurstSeconds = 2
)

// assemble creates all components of the process and connects them.
func (node *Node) assemble() error {
	if err := node.loadKeys(); err != nil {
		return err
	}
	node.client = transport.NewHTTPClient(node.tls)
	node.assemblePlatform()
	node.assembleConfig()
	node.assembleMembership()
	node.assembleJobs()
	node.assembleCalls()
	node.assembleServers()
	return nil
}

func (node *Node) loadKeys() error {
	files := node.Settings.TLS
	if !files.Enabled() {
		return nil
	}
	keys, err := transport.NewKeys(files.CertificateFile, files.KeyFile, files.AuthorityFile)
	if err != nil {
		return err
	}
	node.tls = keys.Config()
	return nil
}

func (node *Node) assemblePlatform() {
	// The platform has a protocol of its own, which does not use the system's TLS keys.
	client := transport.NewHTTPClient(nil)
	url := transport.BaseURL(node.Settings.StoreAddress, nil)
	node.store = platform.NewStore(platformv1connect.NewStoreServiceClient(client, url), node.Metrics)
	calls := float64(node.Settings.StoreReads + node.Settings.StoreWrites)
	node.store.Budget = platform.NewBudget(calls, storeBurstSeconds*calls)
	node.store.Logger = node.Logger.Named("store")
	node.inventory = platform.NewInventory(
		platform.NewVMList(platformv1connect.NewVMListServiceClient(client, url), node.Metrics),
	)
	node.inventory.Logger = node.Logger.Named("inventory")
}

func (node *Node) assembleConfig() {
	node.config = operator.NewDistributor(node.store)
	node.config.Check = node.checkPacking
	node.config.DescribePreemptions = describePreemptions
	node.config.Inventory = node.inventory.Current
	node.config.Parse = profile.ParseOrganisation
	node.config.Metrics = node.Metrics
	node.config.Logger = node.Logger.Named("config")
}

func (node *Node) assembleMembership() {
	vm := fleet.EntryVM{
		ID: node.Settings.VM, Address: node.Settings.PeerAddress,
		Region: node.Settings.Region, DataCentre: node.Settings.DataCentre,
	}
	// The incarnation distinguishes successive processes on the same VM. It is the start time of the process: a later
	// process gets a higher incarnation, because the VM's clock has advanced.
	node.membership = peer.NewMembership(node.store, vm, time.Now().UnixNano())
	node.membership.SeatCount = node.Settings.Seats
	node.membership.Bootstrap = node.Settings.Peers
	node.membership.Inventory = node.inventory.Current
	node.membership.Ready = node.Ready
	node.membership.FreeSlots = func() map[fleet.ServiceName]int { return node.calls.FreeSlots() }
	node.membership.Revision = node.config.Revision
	node.membership.OnRevision = node.config.RecordPeerRevision
	node.membership.NewClient = func(address string) peerv1connect.PeerServiceClient {
		return peerv1connect.NewPeerServiceClient(
			node.client, transport.BaseURL(address, node.tls), transport.Uncompressed())
	}
	node.membership.Logger = node.Logger.Named("peers")
	node.membership.Metrics = node.Metrics
}

func (node *Node) assembleJobs() {
	node.jobs = domain.NewService()
	node.jobs.View = node.membership
	node.jobs.Store = node.store
	node.jobs.Configs = node.config
	node.jobs.Inventory = node.currentInventory
	node.jobs.NewScheduler = func() scheduler.Scheduler { return scheduler.NewCore(scheduler.DefaultSettings()) }
	node.jobs.Dial = func(machine fleet.Worker) worker.Client {
		return worker.NewClient(node.client, transport.BaseURL(machine.Address, node.tls))
	}
	node.jobs.StoreRegressed = node.config.StoreRegressed
	node.jobs.Timing.SyncEvery = time.Duration(node.Settings.SyncInterval)
	node.jobs.Timing.TaskLease = time.Duration(node.Settings.TaskLease)
	node.jobs.Timing.RenewEvery = time.Duration(node.Settings.RenewInterval)
	node.jobs.Logger = node.Logger.Named("jobs")
	node.jobs.Metrics = node.Metrics
}

func (node *Node) assembleCalls() {
	node.calls = &target.Router{
		View:       node.membership,
		Configs:    node.config,
		Targets:    func() []fleet.Target { return node.currentInventory().Targets },
		DataCentre: node.Settings.DataCentre,
		RankSeats:  peer.RankSeats,
		Seed:       node.Seed,
		Logger:     node.Logger.Named("calls"),
		Metrics:    node.Metrics,
	}
}

func (node *Node) assembleServers() {
	node.callers = &caller.Server{
		Jobs:          node.jobs,
		Calls:         node.calls,
		Configs:       node.config,
		MaxConcurrent: node.Settings.MaxConcurrentCalls,
		Logger:        node.Logger.Named("callers"),
		Metrics:       node.Metrics,
	}
	node.callerServer = &http.Server{
		Handler:           node.callerHandler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         cleartextProtocols(),
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(peerService{node: node}))
	node.peerServer = transport.NewServer(mux, node.tls)
}

// cleartextProtocols allows HTTP/1.1 and HTTP/2 without TLS; the platform's load balancer terminates the callers' TLS.
func cleartextProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// callerHandler serves callers, operators, health checks and metrics collectors.
func (node *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(node.callers.Handler())
	path, handler := operatorv1connect.NewOperatorServiceHandler(operatorService{node: node}, operatorOptions()...)
	mux.Handle(path, requireToken(node.Settings.OperatorTokenHash, handler))
	mux.Handle("GET /ready", node.callers.ReadyHandler())
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("healthy\n"))
	})
	mux.Handle("GET /metrics", requireToken(node.Settings.OperatorTokenHash, metrics.NewHandler(node.Metrics)))
	return mux
}

// currentInventory returns the inventory last read from the VM list; it is empty before the first read.
func (node *Node) currentInventory() fleet.Inventory {
	inventory, _ := node.inventory.Current()
	return inventory
}

// explain returns the reasons for the state of a job or, with an empty job id, of an organisation. It asks the process
// that owns the job's domain, the region in which the job is scheduled.
func (node *Node) explain(ctx context.Context, id fleet.OrganisationID, job fleet.JobID) ([]string, error) {
	return node.jobs.Explain(ctx, fleet.JobKey{Organisation: id, Job: job})
}
