package balancer

import (
	"context"
	"log/slog"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// The lines a second that decisions may take: those on packets that were not
// forwarded have a share of their own.
const (
	ordinaryLines = 120
	failureLines  = 60
)

// decisionLog writes one line for each decision that touches a request: a flow
// that opens, a request that passes, a packet that goes nowhere. It belongs to
// the traffic goroutine.
type decisionLog struct {
	logger   *slog.Logger
	second   int64
	ordinary int
	failures int
	leftOut  int
}

// note writes the line of a decision, if it has one and there is room for it.
func (d *decisionLog) note(packet tokenroute.Packet, request []byte, decision tokenroute.Decision, table *tokenroute.Table, now time.Time) {
	message, failure := describe(packet, request, decision)
	if message == "" || !d.room(failure, now) {
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
		attributes = append(attributes, slog.Uint64("version", table.Version), slog.Uint64("revision", table.Revision))
	}
	level := slog.LevelInfo
	if failure {
		level = slog.LevelWarn
	}
	d.logger.LogAttrs(context.Background(), level, message, attributes...)
}

func describe(packet tokenroute.Packet, request []byte, decision tokenroute.Decision) (message string, failure bool) {
	switch {
	case decision.Verdict == tokenroute.Refuse:
		return "Traffic: flow refused.", true
	case decision.Verdict == tokenroute.Drop:
		return "Traffic: packet dropped.", true
	case decision.Reason == tokenroute.ReasonKept:
		return "Traffic: flow kept with its opener.", true
	case packet.First:
		return "Traffic: flow sent to a back end.", false
	case request != nil:
		return "Traffic: request passes.", false
	}
	return "", false
}

// room tells whether this second's budget has a line left. What was left out
// is told once the second is over.
func (d *decisionLog) room(failure bool, now time.Time) bool {
	if second := now.Unix(); second != d.second {
		if d.leftOut > 0 {
			d.logger.Warn("Traffic: lines left out.", "lines", d.leftOut)
		}
		d.second, d.ordinary, d.failures, d.leftOut = second, 0, 0, 0
	}
	used, limit := &d.ordinary, ordinaryLines
	if failure {
		used, limit = &d.failures, failureLines
	}
	if *used >= limit {
		d.leftOut++
		return false
	}
	*used++
	return true
}
