// Package logging creates the loggers of the programs. They write text or JSON, one line
// per record, with a level that may be changed while the program runs.
//
// # Usage
//
//	logger, level := logging.New(os.Stderr, logging.Options{Level: "info", Format: "json", Node: "node-1"})
//	level.Set(slog.LevelDebug)
package logging

import (
	"io"
	"log/slog"
)

// FormatJSON selects the JSON format; any other name selects text.
const FormatJSON = "json"

// Options configures a logger.
type Options struct {
	// Level is debug, info, warn or error; any other value selects info.
	Level string
	// Format is FormatJSON or the name of the text format.
	Format string
	// Node is the value of the attribute "node" of each line.
	Node string
}

// New returns a logger that writes to an output, and the variable that sets its level.
func New(output io.Writer, options Options) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	_ = level.UnmarshalText([]byte(options.Level))
	handlerOptions := &slog.HandlerOptions{Level: level, ReplaceAttr: shortenErrors}
	var handler slog.Handler = slog.NewTextHandler(output, handlerOptions)
	if options.Format == FormatJSON {
		handler = slog.NewJSONHandler(output, handlerOptions)
	}
	return slog.New(handler).With("node", options.Node), level
}

// shortenErrors replaces errors by their message. The text handler would write them with
// their stack trace, some 2 KB a line, which costs the machine more than the call that
// failed. The message already names the operation and the peer.
func shortenErrors(_ []string, attribute slog.Attr) slog.Attr {
	if attribute.Value.Kind() != slog.KindAny {
		return attribute
	}
	if err, isError := attribute.Value.Any().(error); isError {
		return slog.String(attribute.Key, err.Error())
	}
	return attribute
}
