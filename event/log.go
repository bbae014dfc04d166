package event

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"github.com/phuslu/log"
)

// Log writes events. The zero value writes JSON lines of level info and above
// to standard error. A Log must not be copied after the first Emit.
type Log struct {
	Writer  io.Writer
	Level   Level  // lowest level that is written; 0 means info
	Console bool   // human-readable format instead of JSON
	Process string // added to each line if not empty

	once   sync.Once
	logger log.Logger
}

// Emitter is the interface through which packages report events.
type Emitter interface {
	Emit(e *Event, keysAndValues ...any)
}

var (
	_ Emitter        = (*Log)(nil)
	_ fmt.Stringer   = Secret("")
	_ fmt.GoStringer = Secret("")
	_ json.Marshaler = Secret("")
)

// LevelByName returns the level with the given name, as used in the settings. It
// returns Info for any unknown name.
func LevelByName(name string) Level {
	switch name {
	case "debug":
		return Debug
	case "warn":
		return Warn
	case "error":
		return Error
	}
	return Info
}

// Emit writes e with alternating keys (in kebab case) and values. It is safe
// for concurrent use.
func (l *Log) Emit(e *Event, keysAndValues ...any) {
	l.once.Do(l.initLogger)
	entry := l.logger.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry.Int("event", e.Number).Str("name", e.Name)
	if l.Process != "" {
		entry.Str("process", l.Process)
	}
	for i := 0; i < len(keysAndValues); i += 2 {
		key := fmt.Sprint(keysAndValues[i])
		if i+1 == len(keysAndValues) {
			entry.Str("value-without-key", redactedText(key))
			break
		}
		addField(entry, key, keysAndValues[i+1])
	}
	entry.Msg(e.Meaning)
}

func (l *Log) initLogger() {
	w := l.Writer
	if w == nil {
		w = os.Stderr
	}
	w = &lockedWriter{writer: w}
	l.logger = log.Logger{Level: l.Level, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	if l.logger.Level == 0 {
		l.logger.Level = Info
	}
	l.logger.Writer = log.IOWriter{Writer: w}
	if l.Console {
		l.logger.Writer = &log.ConsoleWriter{Writer: w}
	}
}

func addField(entry *log.Entry, key string, value any) {
	switch v := value.(type) {
	case Secret:
		entry.Str(key, v.String())
	case error:
		if namesSecret(key) {
			entry.Str(key, redacted)
			return
		}
		entry.Str(key, v.Error())
	default:
		if namesSecret(key) {
			entry.Str(key, redacted)
			return
		}
		entry.Any(key, v)
	}
}

// lockedWriter serializes writes, so that lines of several goroutines are not
// interleaved.
type lockedWriter struct {
	mu     sync.Mutex
	writer io.Writer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writer.Write(p)
}

const redacted = "[redacted]"

// Secret is text that must never be written, such as a token or a key. It is
// printed as "[redacted]" in every format; Reveal returns the text.
type Secret string

// Reveal returns the secret text itself.
func (s Secret) Reveal() string { return string(s) }

// String returns "[redacted]".
func (s Secret) String() string { return redacted }

// GoString returns "[redacted]".
func (s Secret) GoString() string { return redacted }

// MarshalJSON encodes "[redacted]".
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// MarshalText encodes "[redacted]".
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// secretWords are substrings of keys whose values are never written.
var secretWords = []string{"token", "secret", "password", "private-key", "authorization", "cookie"}

// namesSecret reports whether values under key must be redacted. Hashes and
// counts of secrets are not secret.
func namesSecret(key string) bool {
	key = strings.ToLower(key)
	if strings.HasSuffix(key, "-hash") || strings.HasSuffix(key, "-count") {
		return false
	}
	for _, w := range secretWords {
		if strings.Contains(key, w) {
			return true
		}
	}
	return false
}

// redactedText replaces an argument without a key, which may be a secret whose
// key was forgotten.
func redactedText(text string) string { return fmt.Sprintf("%d bytes %s", len(text), redacted) }
