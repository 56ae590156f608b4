// Package demo runs the main job in one process on loopback: stand-ins of the
// platform, three zones of two balancers each, two services and their callers.
// It drains a back end, replaces a node as planned and kills another one while
// flows are open, and reports what came of the flows.
package demo

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admin"
	"github.com/indigobarrow/indigobarrow/internal/node"
	"github.com/indigobarrow/indigobarrow/internal/settings"
	"github.com/indigobarrow/indigobarrow/internal/standin/backend"
	"github.com/indigobarrow/indigobarrow/internal/standin/caller"
	"github.com/indigobarrow/indigobarrow/internal/standin/fabric"
	"github.com/indigobarrow/indigobarrow/internal/standin/machines"
	"github.com/indigobarrow/indigobarrow/internal/standin/store"
)

var zones = []string{"maadi", "nasr", "giza"}

const (
	nodesPerZone     = 2
	lendingCount     = 6
	coversCount      = 3
	lendingAddress   = "10.200.0.1"
	coversAddress    = "10.200.0.2"
	storeRequestRate = 500
	machinesLag      = 2 * time.Second
	waitLimit        = 15 * time.Second
)

type runningNode struct {
	node         *node.Node
	cancel       context.CancelFunc
	dataAddress  string
	adminAddress string
}

type demo struct {
	ctx             context.Context
	out             io.Writer
	storeAddress    string
	machinesAddress string
	machineList     *machines.List
	fabric          *fabric.Fabric
	nodes           map[string]*runningNode
	nodeOrder       []string
	backends        []*backend.Backend
	callers         []*caller.Caller
	startedNodes    int
	// network is the second number of the loopback addresses.
	network int
}

// Run runs the demonstration and prints to out.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	demo := &demo{ctx: ctx, out: out, nodes: make(map[string]*runningNode)}
	if err := demo.startPlatform(); err != nil {
		return err
	}
	for number := range nodesPerZone * len(zones) {
		if err := demo.startNode(zones[number%len(zones)]); err != nil {
			return err
		}
	}
	demo.logf("6 nodes started in 3 zones")
	if err := demo.createServices(); err != nil {
		return err
	}
	if err := demo.startCallers(); err != nil {
		return err
	}
	return demo.runEvents()
}

func (demo *demo) logf(format string, values ...any) {
	fmt.Fprintf(demo.out, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, values...))
}

// serve serves a handler on a free loopback port and returns its address.
func (demo *demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "demo: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(demo.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// The demonstration takes the first of these loopback networks, 127.N.0.0, that
// no other one has, and the two after it for its back ends and callers.
const (
	firstNetwork = 90
	lastNetwork  = 117
	// networksPerDemo are for balancers, back ends and callers.
	networksPerDemo = 3
)

// startFabric starts the fabric on the first free network.
func (demo *demo) startFabric() error {
	var err error
	for demo.network = firstNetwork; demo.network <= lastNetwork; demo.network += networksPerDemo {
		if demo.fabric, err = fabric.New(demo.fabricAddress()); err == nil {
			return nil
		}
	}
	return err
}

func (demo *demo) fabricAddress() string { return fmt.Sprintf("127.%d.0.1:6081", demo.network) }

func (demo *demo) nodeAddress(number, port int) string {
	return fmt.Sprintf("127.%d.1.%d:%d", demo.network, number, port)
}

func (demo *demo) tunnelAddress(net, number int) string {
	return fmt.Sprintf("127.%d.%d.%d:6080", demo.network+1, net, number)
}

func (demo *demo) startPlatform() error {
	var err error
	if demo.storeAddress, err = demo.serve(store.New(storeRequestRate).Handler()); err != nil {
		return err
	}
	demo.machineList = machines.New(machinesLag)
	if demo.machinesAddress, err = demo.serve(demo.machineList.Handler()); err != nil {
		return err
	}
	if err := demo.startFabric(); err != nil {
		return err
	}
	go demo.fabric.Run(demo.ctx)
	return nil
}

func (demo *demo) startNode(zone string) error {
	demo.startedNodes++
	id := fmt.Sprintf("%s-%d", zone, demo.startedNodes)
	chosen := settings.Defaults()
	chosen.Id, chosen.Zone, chosen.Group = id, zone, "demo"
	chosen.DataAddress = demo.nodeAddress(demo.startedNodes, 6080)
	chosen.PeerAddress = demo.nodeAddress(demo.startedNodes, 6090)
	chosen.AdminAddress = demo.nodeAddress(demo.startedNodes, 6070)
	chosen.StoreAddress, chosen.MachinesAddress = demo.storeAddress, demo.machinesAddress
	for other, running := range demo.nodes {
		chosen.Seeds = append(chosen.Seeds, other+"@"+peerAddress(running.dataAddress))
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	made, err := node.New(chosen, logger, new(slog.LevelVar))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(demo.ctx)
	go func() {
		if err := made.Run(ctx); err != nil {
			demo.logf("node %s failed: %v", id, err)
		}
	}()
	demo.nodes[id] = &runningNode{node: made, cancel: cancel, dataAddress: chosen.GetDataAddress(), adminAddress: chosen.GetAdminAddress()}
	demo.nodeOrder = append(demo.nodeOrder, id)
	demo.machineList.Put(node.Machine{ID: id, Zone: zone, PeerAddress: chosen.GetPeerAddress(), State: "live", Group: "demo"})
	return demo.updateFabric()
}

func peerAddress(data string) string {
	host, _, _ := net.SplitHostPort(data)
	return net.JoinHostPort(host, "6090")
}

func (demo *demo) updateFabric() error {
	var addresses []string
	for _, id := range demo.nodeOrder {
		addresses = append(addresses, demo.nodes[id].dataAddress)
	}
	return demo.fabric.SetNodes(addresses)
}

func (demo *demo) client() *admin.Client {
	return admin.NewClient(demo.nodes[demo.nodeOrder[0]].adminAddress, "")
}

func (demo *demo) createServices() error {
	lending, err := demo.service("lending", lendingAddress, lendingCount, 1)
	if err != nil {
		return err
	}
	covers, err := demo.service("covers", coversAddress, coversCount, 2)
	if err != nil {
		return err
	}
	for _, service := range []*apiv1.Service{lending, covers} {
		request := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutService{PutService: service}}
		if err := demo.change(request); err != nil {
			return err
		}
	}
	return demo.waitInForce("services lending and covers")
}

func (demo *demo) service(name, address string, count, net int) (*apiv1.Service, error) {
	service := &apiv1.Service{Name: name, Address: address, Port: 80}
	for number := range count {
		made, err := backend.New(backend.Settings{
			Name: fmt.Sprintf("%s-%d", name, number), Service: name,
			Address:       netip.MustParseAddrPort(address + ":80"),
			TunnelAddress: demo.tunnelAddress(net, number+1),
			Slots:         2, QueueLength: 64, MaximumConnections: 2000, ServiceTime: time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		report, err := demo.serve(made.Handler())
		if err != nil {
			return nil, err
		}
		go func() { _ = made.Run(demo.ctx) }()
		demo.backends = append(demo.backends, made)
		service.Backends = append(service.Backends, &apiv1.Backend{
			Name: fmt.Sprintf("%s-%d", name, number), Zone: zones[number%len(zones)],
			TunnelAddress: demo.tunnelAddress(net, number+1), ReportAddress: report, Slots: 2})
	}
	return service, nil
}

func (demo *demo) change(request *apiv1.ChangeRequest) error {
	request.OperationId = rand.Text()
	var err error
	for range 20 {
		if _, err = demo.client().Change(demo.ctx, request); err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return err
}

func (demo *demo) waitInForce(what string) error {
	start := time.Now()
	for time.Since(start) < waitLimit {
		status, err := demo.client().Status(demo.ctx)
		if err == nil && status.GetAcceptedRevision() > 0 && len(admin.NotInForce(status)) == 0 {
			demo.logf("%s in force on every node after %d ms", what, time.Since(start).Milliseconds())
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Newf("%s: not in force after %s", what, waitLimit)
}

func (demo *demo) startCallers() error {
	services := []struct{ name, address string }{{"lending", lendingAddress}, {"covers", coversAddress}}
	for number := range zones {
		for index, service := range services {
			made, err := caller.New(caller.Settings{
				Name:          fmt.Sprintf("%s-%s", zones[number], service.name),
				InnerAddress:  netip.AddrFrom4([4]byte{10, byte(demo.network + 2), byte(number), byte(index + 1)}),
				FabricAddress: demo.fabricAddress(), Service: service.name,
				Target:      netip.MustParseAddrPort(service.address + ":80"),
				Connections: 60, Requests: 40, Interval: 200 * time.Millisecond, NonRetryableEvery: 5,
			})
			if err != nil {
				return err
			}
			demo.callers = append(demo.callers, made)
			go made.Run(demo.ctx)
		}
	}
	demo.logf("6 callers hold 360 connections")
	return nil
}

// runEvents drives the events and reports.
func (demo *demo) runEvents() error {
	demo.printProgress(5 * time.Second)
	request := &apiv1.DrainRequest{Service: "lending", Backend: "lending-2", Leaving: true}
	if err := demo.change(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_Drain{Drain: request}}); err != nil {
		return err
	}
	if err := demo.waitInForce("drain of lending-2"); err != nil {
		return err
	}
	demo.printProgress(4 * time.Second)
	if err := demo.replaceNode(); err != nil {
		return err
	}
	demo.printProgress(4 * time.Second)
	demo.killNode()
	demo.printProgress(6 * time.Second)
	return demo.report()
}

// replaceNode starts a new node and stops the oldest one as planned.
func (demo *demo) replaceNode() error {
	if err := demo.startNode(zones[0]); err != nil {
		return err
	}
	id := demo.nodeOrder[0]
	old := demo.nodes[id]
	demo.nodeOrder = demo.nodeOrder[1:]
	if err := demo.updateFabric(); err != nil {
		return err
	}
	limit, cancel := context.WithTimeout(demo.ctx, waitLimit)
	defer cancel()
	start := time.Now()
	old.node.Stop(limit)
	old.cancel()
	delete(demo.nodes, id)
	demo.logf("node %s replaced as planned, handed over after %d ms", id, time.Since(start).Milliseconds())
	return nil
}

// killNode ends a node without notice; the fabric notices a second later.
func (demo *demo) killNode() {
	id := demo.nodeOrder[0]
	demo.nodes[id].cancel()
	delete(demo.nodes, id)
	demo.nodeOrder = demo.nodeOrder[1:]
	demo.logf("node %s killed", id)
	time.Sleep(time.Second)
	_ = demo.updateFabric()
}

func (demo *demo) printProgress(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(min(2*time.Second, time.Until(end)))
		total := demo.totalCounts()
		demo.logf("flows %d, open %d, answers %d, broken %d, refused %d, not run %d",
			total.Flows, total.Open, total.Responses, total.Broken, total.Refused, total.NotRun)
	}
}

func (demo *demo) totalCounts() caller.Counts {
	var total caller.Counts
	for _, made := range demo.callers {
		total.Add(made.Counts())
	}
	return total
}

// report prints the outcome; it fails when a flow broke.
func (demo *demo) report() error {
	total := demo.totalCounts()
	var most, sum uint64
	for _, made := range demo.backends[:lendingCount] {
		counts := made.Counts()
		most = max(most, counts.Served)
		sum += counts.Served
	}
	twice, foreign := 0, uint64(0)
	for _, made := range demo.backends {
		counts := made.Counts()
		foreign += counts.MisroutedPackets
		for _, runs := range counts.Executions {
			if runs > 1 {
				twice++
			}
		}
	}
	paths := make(map[string]uint64)
	for _, id := range demo.nodeOrder {
		status, err := admin.NewClient(demo.nodes[id].adminAddress, "").Status(demo.ctx)
		if err != nil {
			return err
		}
		for path, count := range status.GetPackets() {
			paths[path] += count
		}
	}
	fmt.Fprintf(demo.out, "\nflows opened          %d\nwhole answers         %d\nbroken flows          %d\nwrong answers         %d\nunknown fate          %d\n",
		total.Flows, total.Responses, total.Broken, total.WrongResponses, total.UnknownOutcomes)
	fmt.Fprintf(demo.out, "run twice             %d\nin another service    %d\nimbalance (max/mean of requests over lending, one drained) %.2f\n",
		twice, foreign, float64(most)*lendingCount/float64(max(sum, 1)))
	fmt.Fprintf(demo.out, "packets by path       local %d, settled %d, pending %d, keeper %d, dropped without contact %d, without keepers %d\n",
		paths["local"], paths["settled"], paths["pending"], paths["keeper"], paths["dropped_no_contact"], paths["dropped_keepers"])
	if total.Broken+total.WrongResponses > 0 {
		return errors.Newf("the demonstration broke %d flows, last error: %s", total.Broken+total.WrongResponses, total.LastError)
	}
	return nil
}
