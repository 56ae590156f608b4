// Package logging makes the loggers of the programs: text or JSON by setting,
// one line each, with a level that may change while the program runs.
//
// Usage:
//
//	logger, level := logging.New(os.Stderr, logging.Options{Level: "info", Format: "json", Node: "node-1"})
//	level.Set(slog.LevelDebug)
package logging

import (
	"io"
	"log/slog"
)

// FormatJSON is the name of the JSON format; any other name gives text.
const FormatJSON = "json"

// Options are the settings of a logger.
type Options struct {
	// Level is debug, info, warn or error; an unknown one gives info.
	Level  string
	Format string
	// Node is the name that each line carries.
	Node string
}

// New makes a logger that writes to an output, and its level.
func New(output io.Writer, options Options) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	_ = level.UnmarshalText([]byte(options.Level))
	handling := &slog.HandlerOptions{Level: level, ReplaceAttr: shortenErrors}
	var handler slog.Handler = slog.NewTextHandler(output, handling)
	if options.Format == FormatJSON {
		handler = slog.NewJSONHandler(output, handling)
	}
	return slog.New(handler).With("node", options.Node), level
}

// shortenErrors writes errors as their message. The text handler would write
// them with their stack, some 2 KB a line, which costs the machine more than
// the call that failed; step and peer stand in the message.
func shortenErrors(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Value.Kind() != slog.KindAny {
		return attribute
	}
	if err, isError := attribute.Value.Any().(error); isError {
		return slog.String(attribute.Key, err.Error())
	}
	return attribute
}
