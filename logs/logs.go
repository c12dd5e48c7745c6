package logs

import (
	"os"

	"github.com/phuslu/log"
)

// Logger writes short sentences with the prefix of one part; its zero value writes nothing.
type Logger struct {
	logger *log.Logger
	prefix string
}

// New returns a logger to standard error that marks each line with the VM.
func New(vm string) Logger {
	l := &log.Logger{
		Level: log.InfoLevel, TimeFormat: log.TimeFormatUnixMs, Writer: &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("vm", vm).Value(),
	}
	return Logger{logger: l}
}

// For returns a logger for one part.
func (l Logger) For(part string) Logger {
	l.prefix = part + ": "
	return l
}

// Infof logs one sentence about the normal course.
func (l Logger) Infof(format string, args ...any) {
	if l.logger != nil {
		l.logger.Info().Msgf(l.prefix+format, args...)
	}
}

// Errorf logs one sentence about a fault.
func (l Logger) Errorf(format string, args ...any) {
	if l.logger != nil {
		l.logger.Error().Msgf(l.prefix+format, args...)
	}
}
