// Package story finds in the logs of many balancers what happened to one
// request or one flow: which balancers saw it, what each decided and by which
// knowledge, and what the balancers themselves went through meanwhile. It works
// on saved logs, so the balancers may be gone.
package story

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Node    string
	Message string
	Flow    string
	Request string
	Backend string
	// Text is the line as it was written, without what stands before its time.
	Text string
}

const maxLineBytes = 1 << 20

// timeField starts each line; what stands before it was added by a collector.
const timeField = "time="

// Read reads the lines of a log. Lines of another form are passed over.
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
	begin := strings.Index(text, timeField)
	if begin < 0 {
		return Line{}, false
	}
	line := Line{Text: text[begin:]}
	decoder := logfmt.NewDecoder(strings.NewReader(line.Text))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		line.set(string(decoder.Key()), string(decoder.Value()))
	}
	return line, decoder.Err() == nil && !line.At.IsZero()
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
	}
}

// eventMargin is how much of what the balancers went through is shown before
// and after the flow.
const eventMargin = 3 * time.Second

// client is the address of the client of the line's flow.
func (line *Line) client() string {
	address, _, _ := strings.Cut(line.Flow, ":")
	return address
}

// Find returns the lines that tell of a request id, a flow or a client, in the order of
// time: all of its flows, and what the balancers on its way went through.
func Find(lines []Line, wanted string) []Line {
	flows := make(map[string]bool)
	for _, line := range lines {
		if line.Flow != "" && (line.Request == wanted || line.Flow == wanted || line.client() == wanted) {
			flows[line.Flow] = true
		}
	}
	var found []Line
	nodes := make(map[string]bool)
	for _, line := range lines {
		if flows[line.Flow] {
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

// Write writes a story.
func Write(output io.Writer, lines []Line) error {
	for _, line := range lines {
		if _, err := fmt.Fprintln(output, line.Text); err != nil {
			return errors.Wrap(err, "story")
		}
	}
	return nil
}
