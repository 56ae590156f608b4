package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/lab"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// quietSettings are a group without traffic.
func quietSettings(seed uint64, nodesPerZone, backends int) lab.Settings {
	settings := lab.DarAlWarraq(seed)
	settings.NodesPerZone = nodesPerZone
	settings.FlowCapacity = 1 << 10
	settings.Services = []lab.ServiceSettings{{Name: "service", Backends: backends, MeanDuration: time.Minute, PacketInterval: time.Second}}
	return settings
}

// processorTime is the processor time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// Measure measures all slopes and reports its steps to out. The largest run has
// so many groups of hollow nodes, for so long in virtual time; 0 leaves it out.
func Measure(out io.Writer, groups int, length time.Duration) Slopes {
	var slopes Slopes
	measureRest(out, &slopes)
	measureChange(out, &slopes)
	measureChangeCPU(out, &slopes)
	measureMemory(out, &slopes)
	if groups == 0 {
		return slopes
	}
	slopes.Hollow = RunHollow(out, groups, length)
	return slopes
}

// measureRest runs groups of three sizes without traffic.
func measureRest(out io.Writer, slopes *Slopes) {
	var bytes, processor, memory, inForce []Point
	for _, nodesPerZone := range []int{2, 4, 8} {
		nodes := float64(3 * nodesPerZone)
		before := heapInUse()
		world := lab.New(quietSettings(1, nodesPerZone, 140))
		world.Clock.RunUntil(20 * time.Second)
		memory = append(memory, Point{nodes - 1, (heapInUse() - before) / nodes})
		start := processorTime()
		sent := world.SentBytes()
		world.Clock.RunUntil(80 * time.Second)
		processor = append(processor, Point{nodes - 1, (processorTime() - start).Seconds() / 60 / nodes})
		bytes = append(bytes, Point{nodes - 1, float64(world.SentBytes()-sent) / 60 / nodes})
		for change := range 20 {
			world.At(time.Duration(80+6*change)*time.Second, func() { world.Reweigh(0, change, 50) })
		}
		world.Clock.RunUntil(205 * time.Second)
		worst := lab.Percentile(world.Finish().InForce, 100)
		inForce = append(inForce, Point{nodes - 1, worst.Seconds()})
		fmt.Fprintf(out, "group of %.0f at rest: %.0f B/s, %.5f core, %.0f B of memory a node; in force after %s at worst\n", nodes,
			bytes[len(bytes)-1].Value, processor[len(processor)-1].Value, memory[len(memory)-1].Value, worst)
	}
	slopes.HeartbeatBytes = fit("B/s a peer", bytes)
	slopes.ControlCPU = fit("core a peer", processor)
	slopes.NodeMemory = fit("B a peer", memory)
	slopes.InForceSeconds = fit("s a peer", inForce)
}

// measureChange runs a drain in groups with different numbers of open flows.
func measureChange(out io.Writer, slopes *Slopes) {
	var bytes, settle []Point
	for _, flows := range []int{6000, 12_000, 24_000} {
		settings := quietSettings(1, 4, 14)
		settings.FlowCapacity = 100_000
		settings.Services[0].WarmFlows = flows
		settings.Services[0].MeanDuration = time.Hour
		settings.Services[0].PacketInterval = 2 * time.Second
		const start, length = 150 * time.Second, 60 * time.Second
		quiet, _ := runDrain(settings, start, length, false)
		changed, settled := runDrain(settings, start, length, true)
		nodes := float64(settings.NodesPerZone * len(settings.Zones))
		displaced := float64(flows) / 14
		bytes = append(bytes, Point{displaced, (changed - quiet) / nodes})
		settle = append(settle, Point{displaced, settled.Seconds()})
		fmt.Fprintf(out, "drain with %d flows in a group of %.0f: %.0f B a node, settled after %s\n",
			flows, nodes, bytes[len(bytes)-1].Value, settled)
		slopes.RecordBytesPerSecond = float64(settings.Core.RecordBytesPerSecond)
	}
	slopes.ChangeBytes = fit("B a displaced flow", bytes)
	slopes.SettleSeconds = fit("s a displaced flow", settle)
}

// runDrain returns the bytes from start on, and when the drain had settled.
func runDrain(settings lab.Settings, start, length time.Duration, drain bool) (sent float64, settled time.Duration) {
	world := lab.New(settings)
	world.Clock.RunUntil(start)
	before := world.SentBytes()
	if drain {
		world.Drain(0, 3)
	}
	for world.Clock.Now() < start+length {
		world.Clock.RunUntil(world.Clock.Now() + 50*time.Millisecond)
		if settled == 0 && world.SettledRevision() == 2 {
			settled = world.Clock.Now() - start
		}
	}
	return float64(world.SentBytes() - before), settled
}

// measureChangeCPU drains a back end in groups whose nodes hold different
// numbers of flows, without traffic, and compares with rest.
func measureChangeCPU(out io.Writer, slopes *Slopes) {
	var processor []Point
	for _, flows := range []int{50_000, 100_000, 200_000} {
		settings := quietSettings(1, 4, 140)
		settings.FlowCapacity = 400_000
		world := lab.New(settings)
		world.Clock.RunUntil(20 * time.Second)
		world.Fill(flows)
		used := func(until time.Duration) float64 {
			runtime.GC()
			start := processorTime()
			world.Clock.RunUntil(until)
			return (processorTime() - start).Seconds()
		}
		rest := used(35 * time.Second)
		world.Drain(0, 3)
		changed := used(50 * time.Second)
		nodes := float64(settings.NodesPerZone * len(settings.Zones))
		processor = append(processor, Point{float64(flows), (changed - rest) / nodes})
		fmt.Fprintf(out, "drain with %d flows in every table: %.4f s of processor a node\n", flows, processor[len(processor)-1].Value)
	}
	slopes.ChangeCPU = fit("s an open flow", processor)
}

// measureMemory measures the flow table and the rules.
func measureMemory(out io.Writer, slopes *Slopes) {
	var table, state, view []Point
	for _, flows := range []int{100_000, 200_000, 400_000} {
		before := heapInUse()
		made := flowtable.New(flows * 11 / 10)
		for number := range flows {
			key := flow.Key{Source: [4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}, DestinationPort: 80, Protocol: 6}
			made.Put(key, key.Hash(), flowtable.Entry{Backend: 1})
		}
		table = append(table, Point{float64(flows), heapInUse() - before})
		runtime.KeepAlive(made)
	}
	for _, backends := range []int{18, 70, 140} {
		epoch := epochOf(backends)
		state = append(state, Point{float64(backends), float64(proto.Size(epoch))})
		before := heapInUse()
		const copies = 200
		sets := make([]*rule.Set, copies)
		for index := range sets {
			sets[index], _ = rule.NewSet(epoch)
		}
		view = append(view, Point{float64(backends), (heapInUse() - before) / copies})
		runtime.KeepAlive(sets)
	}
	slopes.FlowMemory = fit("B a flow", table)
	slopes.StateBytes = fit("B a back end", state)
	slopes.ViewMemory = fit("B a back end", view)
	fmt.Fprintf(out, "flow table: %.1f B a flow; epoch: %.1f B a back end; rules: %.1f B a back end\n",
		slopes.FlowMemory.Slope, slopes.StateBytes.Slope, slopes.ViewMemory.Slope)
}

func epochOf(backends int) *apiv1.Epoch {
	const perService = 5
	epoch := &apiv1.Epoch{Number: 1}
	for number := range backends {
		if number%perService == 0 {
			epoch.Services = append(epoch.Services, &apiv1.ServiceRule{Name: fmt.Sprintf("service-%d", number),
				Address: fmt.Sprintf("10.200.%d.%d", number>>8, byte(number)), Port: 80, Salt: rand.Uint64()})
		}
		service := epoch.Services[len(epoch.Services)-1]
		service.Candidates = append(service.Candidates, &apiv1.Candidate{Backend: uint32(number + 1),
			TunnelAddress: fmt.Sprintf("127.200.%d.%d:6080", number>>8, byte(number)), Weight: 100})
	}
	return epoch
}

// RunHollow runs many groups of 12 hollow nodes in this process at once, with
// the two-year rates of changes and node replacements.
func RunHollow(out io.Writer, groups int, length time.Duration) HollowRun {
	const nodesPerZone = 4
	groupSize := 3 * nodesPerZone
	size := TwoYears()
	before := heapInUse()
	worlds := make([]*lab.World, groups)
	eachWorld(groups, func(index int) { worlds[index] = lab.New(quietSettings(uint64(index+1), nodesPerZone, 140)) })
	planned := planHollow(worlds, size, length)
	start := processorTime()
	const slice = time.Second
	for now := slice; now <= length; now += slice {
		eachWorld(groups, func(index int) { worlds[index].Clock.RunUntil(now) })
	}
	used := processorTime() - start
	memory := heapInUse() - before
	run := HollowRun{Nodes: groups * groupSize, Groups: groups, GroupSize: groupSize, VirtualSeconds: length.Seconds(),
		Changes: planned.changes, Restarts: planned.restarts}
	nodeSeconds := float64(run.Nodes) * length.Seconds()
	var inForce []time.Duration
	var sent uint64
	var writes int
	for _, world := range worlds {
		sent += world.SentBytes()
		writes += world.StoreWrites()
		inForce = append(inForce, world.Finish().InForce...)
	}
	run.BytesPerNodeSecond = float64(sent) / nodeSeconds
	run.CPUPerNodeSecond = used.Seconds() / nodeSeconds
	run.MemoryPerNode = memory / float64(run.Nodes)
	run.InForceP99 = lab.Percentile(inForce, 99).Seconds()
	run.InForceWorst = lab.Percentile(inForce, 100).Seconds()
	run.StoreWritesPerSecond = float64(writes) / length.Seconds()
	fmt.Fprintf(out, "hollow: %+v\n", run)
	return run
}

type hollowPlan struct {
	changes, restarts int
}

// planHollow spreads the day's changes and replacements over the groups.
func planHollow(worlds []*lab.World, size Size, length time.Duration) hollowPlan {
	const quiet = 15 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	share := float64(len(worlds)) * size.GroupSize / size.Nodes * (length - 2*quiet).Seconds() / secondsPerDay
	plan := hollowPlan{
		changes:  int(size.ChangesPerDay*share) + 1,
		restarts: int(size.RestartsPerDay*size.Nodes/(size.Nodes+size.Backends)*share) + 1,
	}
	at := func() time.Duration {
		return quiet + time.Duration(random.Float64()*float64(length-2*quiet))
	}
	for range plan.changes {
		world, place := worlds[random.IntN(len(worlds))], random.IntN(140)
		world.At(at(), func() { world.Reweigh(0, place, 50) })
	}
	for range plan.restarts {
		world := worlds[random.IntN(len(worlds))]
		world.At(at(), func() {
			id := world.Nodes()[0]
			world.Start(world.ZoneOf(id))
			world.StopPlanned(id, 10*time.Second)
		})
	}
	return plan
}

// hollowWorkers leaves processors for others on the machine.
const hollowWorkers = 6

func eachWorld(count int, action func(int)) {
	var group sync.WaitGroup
	next := make(chan int)
	for range hollowWorkers {
		group.Add(1)
		go func() {
			defer group.Done()
			for index := range next {
				action(index)
			}
		}()
	}
	for index := range count {
		next <- index
	}
	close(next)
	group.Wait()
}
