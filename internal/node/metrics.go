package node

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// collector reads the node's counters when the metrics are asked for.
type collector struct {
	node *Node
}

var (
	packetsDescription = prometheus.NewDesc("indigobarrow_packets_total",
		"Packets by the path of their decision or the cause of their drop.", []string{"path"}, nil)
	controlDescription = prometheus.NewDesc("indigobarrow_control_bytes_total",
		"Bytes sent to peers by kind of message.", []string{"kind"}, nil)
	flowsDescription = prometheus.NewDesc("indigobarrow_flows",
		"Flows in this node's table.", nil, nil)
	recordsDescription = prometheus.NewDesc("indigobarrow_kept_records",
		"Records of displaced flows that this node keeps.", nil, nil)
	revisionDescription = prometheus.NewDesc("indigobarrow_revision",
		"Revision of the configuration.", []string{"state"}, nil)
	storeDescription = prometheus.NewDesc("indigobarrow_store_reachable",
		"1 when the last request to the store was answered.", nil, nil)
	contactDescription = prometheus.NewDesc("indigobarrow_contact",
		"1 for the way the node stands with its group.", []string{"state"}, nil)
	lostDescription = prometheus.NewDesc("indigobarrow_lost_messages_total",
		"Messages between nodes dropped at full queues.", nil, nil)
)

const metricsTimeout = 2 * time.Second

// Describe implements prometheus.Collector. It announces nothing, since what
// is collected depends on the state of the node.
func (collector *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (collector *collector) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	status, err := collector.node.Status(ctx)
	if err != nil {
		return
	}
	counter := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), labels...)
	}
	for path, count := range status.GetPackets() {
		counter(packetsDescription, count, path)
	}
	for kind, bytes := range status.GetControlBytes() {
		counter(controlDescription, bytes, kind)
	}
	counter(lostDescription, collector.node.transport.Dropped())
	gauge(flowsDescription, status.GetFlows())
	gauge(recordsDescription, status.GetKeptRecords())
	gauge(revisionDescription, status.GetAcceptedRevision(), "accepted")
	gauge(revisionDescription, status.GetInForceRevision(), "in_force")
	gauge(contactDescription, 1, status.GetContact())
	reachable := uint64(0)
	if status.GetStoreReachable() {
		reachable = 1
	}
	gauge(storeDescription, reachable)
}

func (node *Node) metricsHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{node: node}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
