package balancer

import (
	"context"
	"hash/fnv"
	"log/slog"
	"math"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// lineKind is the kind of event that a log line describes. Each kind has its own limit of
// lines per second, so that passing requests, which are the most frequent, never displace
// a line that explains a failure.
type lineKind uint8

const (
	// lineUnlogged: the decision is not logged.
	lineUnlogged lineKind = iota
	// lineFailure: a packet was refused or dropped, or its flow was kept on the back end
	// that opened it.
	lineFailure
	// lineOpening: the first packet of a flow, or a retransmission of it.
	lineOpening
	// lineSampled: a request in the sample. The sample is the same on every balancer, so
	// that the logs together show the complete path of such a request.
	lineSampled
	// linePassing: any other request that passes.
	linePassing
	// lineNoCapacity: a flow was refused for lack of capacity. There are many in a burst.
	lineNoCapacity
	lineKindCount
)

// lineLimits holds the maximum number of lines per second of each kind.
var lineLimits = [lineKindCount]int{lineFailure: 60, lineOpening: 50, lineSampled: 30, linePassing: 40, lineNoCapacity: 20}

// sampleDivisor is the sampling ratio: one request in this many is in the sample.
const sampleDivisor = 16

// decisionLog writes one line for each decision that affects a request: a flow that opens,
// a request that passes, a packet that is not forwarded. It belongs to the traffic
// goroutine.
type decisionLog struct {
	logger  *slog.Logger
	second  int64
	written [lineKindCount]int
	omitted [lineKindCount]int
}

// record writes the line of a decision, if the decision is logged and the limit allows it.
func (d *decisionLog) record(packet tokenroute.Packet, request []byte, decision tokenroute.Decision, table *tokenroute.Table, now time.Time) {
	message, kind := describe(packet, request, decision)
	if !d.allow(kind, now) {
		return
	}
	attributes := []slog.Attr{
		slog.String("flow", packet.Key.String()),
		slog.String("reason", decision.Reason.String()),
	}
	if request != nil {
		attributes = append(attributes, slog.String("request", string(request)))
	}
	if decision.Backend != nil {
		attributes = append(attributes, slog.String("backend", decision.Backend.ID),
			slog.String("pool", decision.Backend.Pool), slog.String("target", decision.Backend.Target.String()))
	} else {
		attributes = append(attributes, slog.Uint64("token", uint64(packet.Token)))
	}
	if table != nil {
		attributes = append(attributes, slog.Uint64("version", table.Version), slog.Uint64("revision", revision.NumberOf(table.Revision)))
	}
	if decision.Reason == tokenroute.ReasonEvacuated {
		attributes = append(attributes, slog.Any("evacuated", table.Evacuated))
	}
	if refused := decision.Refusal; refused != nil {
		attributes = append(attributes, slog.String("pool", refused.Pool), slog.Uint64("urgency", uint64(refused.Priority)),
			slog.Float64("refused_part", rounded(refused.Fraction)), slog.Float64("pressure", rounded(refused.Pressure.RequestsPerSlot)),
			slog.Duration("pressure_age", refused.Pressure.Age(now).Round(time.Millisecond)))
	}
	attributes = append(attributes, numbers(packet)...)
	if decision.Reason == tokenroute.ReasonOpenedElsewhere {
		attributes = append(attributes, slog.Uint64("token", uint64(packet.Token)))
	}
	level := slog.LevelInfo
	if kind == lineFailure || kind == lineNoCapacity {
		level = slog.LevelWarn
	}
	d.logger.LogAttrs(context.Background(), level, message, attributes...)
}

// numbers returns the attributes that tell the flow of a packet from others with the same key.
func numbers(packet tokenroute.Packet) []slog.Attr {
	sequence := slog.Uint64("sequence", uint64(packet.Sequence))
	if packet.First {
		return []slog.Attr{sequence}
	}
	return []slog.Attr{sequence, slog.Uint64("acknowledged", uint64(packet.Acknowledged))}
}

// rounded rounds a number to two decimals for log lines.
func rounded(figure float64) float64 { return math.Round(figure*100) / 100 }

func describe(packet tokenroute.Packet, request []byte, decision tokenroute.Decision) (message string, kind lineKind) {
	switch {
	case decision.Reason == tokenroute.ReasonNoCapacity:
		return "Traffic: flow refused.", lineNoCapacity
	case decision.Verdict == tokenroute.Refuse:
		return "Traffic: flow refused.", lineFailure
	case decision.Verdict == tokenroute.Drop:
		return "Traffic: packet dropped.", lineFailure
	case decision.Reason == tokenroute.ReasonOpenedElsewhere:
		return "Traffic: flow kept on the back end that opened it.", lineFailure
	case packet.First:
		return "Traffic: flow sent to a back end.", lineOpening
	case request != nil && sampled(request):
		return "Traffic: request passes.", lineSampled
	case request != nil:
		return "Traffic: request passes.", linePassing
	}
	return "", lineUnlogged
}

// sampled reports whether a request is in the sample, by its ID.
func sampled(request []byte) bool {
	hash := fnv.New32a()
	_, _ = hash.Write(request)
	return hash.Sum32()%sampleDivisor == 0
}

// allow reports whether another line of the kind may be written in this second. The
// numbers of omitted lines are logged by kind when the second is over.
func (d *decisionLog) allow(kind lineKind, now time.Time) bool {
	if kind == lineUnlogged {
		return false
	}
	if second := now.Unix(); second != d.second {
		d.logOmitted()
		d.second = second
		d.written, d.omitted = [lineKindCount]int{}, [lineKindCount]int{}
	}
	if d.written[kind] >= lineLimits[kind] {
		d.omitted[kind]++
		return false
	}
	d.written[kind]++
	return true
}

func (d *decisionLog) logOmitted() {
	if d.omitted == [lineKindCount]int{} {
		return
	}
	d.logger.Warn("Traffic: lines left out.", "failures", d.omitted[lineFailure], "openings", d.omitted[lineOpening],
		"sampled", d.omitted[lineSampled], "passing", d.omitted[linePassing],
		"no_room", d.omitted[lineNoCapacity])
}
