package balancer

import (
	"context"
	"log/slog"
	"os"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// settingsPollInterval is how often the settings file is looked at. It may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// Reloader takes changed settings while the balancer runs: all of a file's
// changes, or none of them.
type Reloader struct {
	// Path is the settings file; empty when there is none.
	Path string
	// Load reads and checks the file.
	Load func() (*apiv1.BalancerSettings, error)
	// Level is the level of the log, which a change may set.
	Level *slog.LevelVar
	// Signals tells that the file has changed.
	Signals <-chan os.Signal
}

// reloadable are the settings that a running balancer takes; the others need a
// restart.
var reloadable = map[protoreflect.Name]bool{"log_level": true, "seeds": true}

// Reload watches the settings file until the context ends.
func (b *Balancer) Reload(ctx context.Context, reloader Reloader) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modified := modificationTime(reloader.Path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reloader.Signals:
		case <-ticker.C:
			if modificationTime(reloader.Path).Equal(modified) {
				continue
			}
		}
		modified = modificationTime(reloader.Path)
		b.reload(reloader)
	}
}

func modificationTime(path string) time.Time {
	information, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return information.ModTime()
}

// reload reads the file once. A faulty file, or one that changes what only a
// restart can, leaves everything as it is.
func (b *Balancer) reload(reloader Reloader) {
	loaded, err := reloader.Load()
	if err != nil {
		b.logger.Error("Settings: refused, the old ones stay.", "error", err)
		return
	}
	current := b.settings.Load()
	if field := needsRestart(current, loaded); field != "" {
		b.logger.Error("Settings: refused, the old ones stay.", "field", field,
			"remedy", "restart the balancer to change this field")
		return
	}
	if proto.Equal(current, loaded) {
		b.logger.Info("Settings: unchanged.")
		return
	}
	b.settings.Store(loaded)
	_ = reloader.Level.UnmarshalText([]byte(loaded.GetLogLevel()))
	b.logger.Info("Settings: in force.")
}

// needsRestart names a changed field that only a restart can change, or none.
func needsRestart(current, loaded *apiv1.BalancerSettings) protoreflect.Name {
	before, after := current.ProtoReflect(), loaded.ProtoReflect()
	fields := before.Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		if !reloadable[field.Name()] && !before.Get(field).Equal(after.Get(field)) {
			return field.Name()
		}
	}
	return ""
}
