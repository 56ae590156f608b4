package balancer

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// callCounts counts calls by outcome.
type callCounts struct {
	answered, failed atomic.Uint64
}

func (c *callCounts) count(err error) {
	if err != nil {
		c.failed.Add(1)
		return
	}
	c.answered.Add(1)
}

// collector reads the balancer's counters when metrics are collected.
type collector struct {
	balancer *Balancer
}

var (
	packetsDescription = prometheus.NewDesc("indigobarrow_balancer_packets_total",
		"Packets by the reason of their decision.", []string{"reason"}, nil)
	faultyDescription = prometheus.NewDesc("indigobarrow_balancer_faulty_packets_total",
		"Datagrams that were malformed or could not be sent.", []string{"cause"}, nil)
	unreadableDescription = prometheus.NewDesc("indigobarrow_balancer_unreadable_entries_total",
		"Entries of the store that could not be read, each time that they came.", nil, nil)
	flowEventsDescription = prometheus.NewDesc("indigobarrow_balancer_flow_events_total",
		"First packets sent again to another back end, back ends that did not answer in time, and back ends judged dead.", []string{"event"}, nil)
	earlyDescription = prometheus.NewDesc("indigobarrow_balancer_early_packets_total",
		"Packets that came before the first table by what became of them. Each is counted as no_table when it came, and those sent once more by what the table decided.", []string{"outcome"}, nil)
	callsDescription = prometheus.NewDesc("indigobarrow_balancer_calls_total",
		"Calls to the store and to peers by outcome.", []string{"to", "outcome"}, nil)
	storeCallsDescription = prometheus.NewDesc("indigobarrow_balancer_store_calls_total",
		"Calls to the store by purpose.", []string{"purpose"}, nil)
	eraDescription = prometheus.NewDesc("indigobarrow_balancer_store_era",
		"How often the store came back from a copy, by its own count.", nil, nil)
	ageDescription = prometheus.NewDesc("indigobarrow_balancer_knowledge_age_seconds",
		"Time since the store confirmed what is known.", nil, nil)
	latenessDescription = prometheus.NewDesc("indigobarrow_balancer_control_late_seconds_total",
		"Time by which the control goroutine ran late, if it was longer than 0.25 s: waited for the processor, or ran too long.", []string{"state"}, nil)
	silentConnectionsDescription = prometheus.NewDesc("indigobarrow_balancer_silent_connections_total",
		"Connections to other balancers that were given up since they had gone silent.", nil, nil)
	versionDescription = prometheus.NewDesc("indigobarrow_balancer_configuration_version",
		"Version of the configuration in force.", nil, nil)
	lostObservationsDescription = prometheus.NewDesc("indigobarrow_balancer_statements_lost_total",
		"Statements on back ends that were not passed on, by the bound that was reached.", []string{"bound"}, nil)
	evacuatedDescription = prometheus.NewDesc("indigobarrow_balancer_zone_evacuated_revision",
		"Revision of the order that evacuates a zone.", []string{"zone"}, nil)
	withdrawalsDescription = prometheus.NewDesc("indigobarrow_balancer_stepped_aside_total",
		"How often the balancer stepped aside, since it could not carry its share.", nil, nil)
	refusalsDescription = prometheus.NewDesc("indigobarrow_balancer_refused_for_room_total",
		"New flows refused for want of room.", []string{"pool", "urgency"}, nil)
	refusedFractionDescription = prometheus.NewDesc("indigobarrow_balancer_refused_part",
		"Part of the new flows that is refused for want of room now.", []string{"pool", "urgency"}, nil)
	refusalPressureDescription = prometheus.NewDesc("indigobarrow_balancer_refused_by_pressure",
		"Requests that wait for each slot, by which flows are refused now.", []string{"pool"}, nil)
	readyDescription = prometheus.NewDesc("indigobarrow_balancer_ready",
		"1 while the balancer takes new flows.", nil, nil)
)

// Describe implements prometheus.Collector. It sends no descriptions, because the set of
// metrics depends on the state of the balancer.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	balancer := c.balancer
	traffic := balancer.traffic
	counter := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	for reason := range tokenroute.ReasonCount {
		counter(packetsDescription, traffic.decisionCounts[reason].Load(), tokenroute.Reason(reason).String())
	}
	counter(faultyDescription, traffic.malformed.Load(), "malformed")
	counter(faultyDescription, traffic.sendErrors.Load(), "not_sent")
	counter(unreadableDescription, balancer.unreadableEntries.Load())
	counter(flowEventsDescription, traffic.flows.Retried.Load(), "retried")
	counter(flowEventsDescription, traffic.flows.Unanswered.Load(), "not_answered")
	counter(flowEventsDescription, traffic.flows.BackendFailures(), "backend_dead")
	counter(flowEventsDescription, traffic.flows.SilentZoneCount(), "zone_silent")
	counter(earlyDescription, traffic.earlyBuffer.sent.Load(), "sent")
	counter(earlyDescription, traffic.earlyBuffer.lost.Load(), "lost")
	counter(lostObservationsDescription, traffic.inbox.lost.Load()+traffic.outbox.lost.Load(), "mailbox")
	counter(lostObservationsDescription, balancer.control.observations.buffer.Dropped.Load(), "a_second")
	answered, failed := uint64(0), uint64(0)
	for purpose := range storePurposeCount {
		counts := &balancer.storeCalls[purpose]
		answered += counts.answered.Load()
		failed += counts.failed.Load()
		counter(storeCallsDescription, counts.answered.Load()+counts.failed.Load(), purpose.String())
	}
	counter(callsDescription, answered, "store", "answered")
	counter(callsDescription, failed, "store", "failed")
	counter(callsDescription, balancer.peerCalls.answered.Load(), "peer", "answered")
	counter(callsDescription, balancer.peerCalls.failed.Load(), "peer", "failed")
	counter(withdrawalsDescription, balancer.withdrawals.Load())
	seconds := func(sum *atomic.Int64, state string) {
		metrics <- prometheus.MustNewConstMetric(latenessDescription, prometheus.CounterValue, time.Duration(sum.Load()).Seconds(), state)
	}
	seconds(&balancer.control.lateness.waits, "waited")
	seconds(&balancer.control.lateness.runs, "ran")
	counter(silentConnectionsDescription, balancer.control.client.SilentConnections.Load()+balancer.control.observations.client.SilentConnections.Load())
	if confirmed := balancer.confirmedAt.Load(); confirmed > 0 {
		gauge(eraDescription, float64(balancer.era.Load()))
		gauge(ageDescription, (time.Since(balancer.started) - time.Duration(confirmed)).Seconds())
	}
	for kind, count := range traffic.refusals.snapshot() {
		counter(refusalsDescription, count, kind.pool, priorityLabel(kind.priority))
	}
	reported := make(map[string]bool)
	for _, refusal := range traffic.flows.Refusals().All() {
		gauge(refusedFractionDescription, refusal.Fraction, refusal.Pool, priorityLabel(refusal.Priority))
		if !reported[refusal.Pool] {
			reported[refusal.Pool] = true
			gauge(refusalPressureDescription, refusal.Pressure.RequestsPerSlot, refusal.Pool)
		}
	}
	if table := balancer.table.Load(); table != nil {
		gauge(versionDescription, float64(table.Version))
		for zone, ordered := range table.Evacuated {
			gauge(evacuatedDescription, float64(revision.NumberOf(ordered)), zone)
		}
	}
	collectDemand(balancer.DemandAggregate(), gauge)
	ready := 0.0
	if balancer.Ready() {
		ready = 1
	}
	gauge(readyDescription, ready)
}

func priorityLabel(priority admission.Priority) string {
	return strconv.FormatUint(uint64(priority), 10)
}

// serveMetrics serves the metrics if the settings give an address for them.
func (b *Balancer) serveMetrics(ctx context.Context) error {
	address := b.settings.Load().GetMetricsAddress()
	if address == "" {
		return nil
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{balancer: b})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := newServer(mux)
	server.Addr = address
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "metrics: serve")
}
