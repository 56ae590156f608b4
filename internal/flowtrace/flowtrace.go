// Package flowtrace extracts from the logs of many balancers what happened to one request, flow
// or client: which balancers handled it, what each decided and on which information, and
// which events concerned those balancers at that time. It works on saved logs, so the
// balancers need not run any more.
//
// # Usage
//
//	lines, err := flowtrace.Read(input)
//	err = flowtrace.Write(os.Stdout, flowtrace.Find(lines, requestID))
package flowtrace

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Node    string
	Message string
	Flow    string
	Request string
	Backend string
	// Numbers are those of the packet, if HasNumbers is set. A line with a sequence number but
	// without an acknowledgement is about a SYN.
	Numbers    flow.Segment
	HasNumbers bool
	// Text is the line as it was written, without anything before its time field.
	Text string
}

// maxLineBytes bounds the length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// timeField starts each line; anything before it was added by a log collector.
const timeField = "time="

// Read returns the lines of a log. Lines in any other format are skipped.
func Read(input io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

func parse(text string) (Line, bool) {
	start := strings.Index(text, timeField)
	if start < 0 {
		return Line{}, false
	}
	line := Line{Text: text[start:]}
	decoder := logfmt.NewDecoder(strings.NewReader(line.Text))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		line.set(string(decoder.Key()), string(decoder.Value()))
	}
	return line, decoder.Err() == nil && !line.At.IsZero()
}

func parseNumber(text string) uint32 {
	number, _ := strconv.ParseUint(text, 10, 32)
	return uint32(number)
}

func (line *Line) set(key, value string) {
	switch key {
	case "time":
		line.At, _ = time.Parse(time.RFC3339Nano, value)
	case "node":
		line.Node = value
	case "msg":
		line.Message = value
	case "flow":
		line.Flow = value
	case "request":
		line.Request = value
	case "backend":
		line.Backend = value
	case "sequence":
		line.Numbers.Sequence, line.Numbers.SYN, line.HasNumbers = parseNumber(value), true, true
	case "acknowledged":
		line.Numbers.Acknowledged, line.Numbers.SYN = parseNumber(value), false
	}
}

// eventMargin is the time before and after the flows for which other log lines of their
// balancers are included.
const eventMargin = 3 * time.Second

// client returns the client address of the flow of the line.
func (line *Line) client() string {
	address, _, _ := strings.Cut(line.Flow, ":")
	return address
}

// Find returns the lines about a request ID, a flow or a client, sorted by time: those of all
// its flows, and those without a flow that the same balancers wrote around that time. Of the flows
// that used the same addresses and ports one after the other, a request ID selects the one that
// carried it.
func Find(lines []Line, query string) []Line {
	var found []Line
	nodes := make(map[string]bool)
	for _, traced := range splitFlows(lines) {
		if !traced.matches(query) {
			continue
		}
		for _, line := range traced.lines {
			found = append(found, line)
			nodes[line.Node] = true
		}
	}
	if len(found) == 0 {
		return nil
	}
	byTime(found)
	first, last := found[0].At.Add(-eventMargin), found[len(found)-1].At.Add(eventMargin)
	for _, line := range lines {
		if line.Flow == "" && nodes[line.Node] && line.At.After(first) && line.At.Before(last) {
			found = append(found, line)
		}
	}
	byTime(found)
	return found
}

func byTime(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
}

// Write writes the text of the lines to an output, one line each.
func Write(output io.Writer, lines []Line) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(output, line.Text); err != nil {
			return errors.Wrap(err, "story")
		}
	}
	return nil
}
