package logs

import (
	"os"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that may wait to be written; further ones are dropped and counted.
	queueLines = 2048
	// decisionsPerSecond and decisionBurst bound the lines about single requests, so that logging never costs more than the work.
	decisionsPerSecond = 200
	decisionBurst      = 400
)

// Logger writes short sentences with the prefix of one part, without ever waiting for the output; its zero value writes nothing.
type Logger struct {
	logger *log.Logger
	prefix string
	limit  *limit
}

// limit bounds the lines about single requests and counts those left out.
type limit struct {
	rate    *rate.Limiter
	dropped atomic.Int64
}

// New returns a logger to standard output that marks each line with the VM.
func New(vm string) Logger {
	l := &log.Logger{
		Level: log.InfoLevel, TimeFormat: log.TimeFormatUnixMs,
		Writer:  &log.AsyncWriter{ChannelSize: queueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}},
		Context: log.NewContext(nil).Str("vm", vm).Value(),
	}
	return Logger{logger: l, limit: &limit{rate: rate.NewLimiter(decisionsPerSecond, decisionBurst)}}
}

// Close writes what still waits.
func (l Logger) Close() {
	if l.logger == nil {
		return
	}
	if w, ok := l.logger.Writer.(*log.AsyncWriter); ok {
		// The process ends; nobody is left to tell.
		_ = w.Close()
	}
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

// Event logs one sentence about a change of what the process believes, with keys and values.
func (l Logger) Event(sentence string, keysAndValues ...any) {
	if l.logger != nil {
		l.logger.Info().KeysAndValues(keysAndValues...).Msg(l.prefix + sentence)
	}
}

// Decision logs one sentence about a single request, with keys and values, within a bounded rate.
func (l Logger) Decision(sentence string, keysAndValues ...any) {
	if l.logger == nil {
		return
	}
	if !l.limit.rate.Allow() {
		l.limit.dropped.Add(1)
		return
	}
	e := l.logger.Info().KeysAndValues(keysAndValues...)
	if n := l.limit.dropped.Swap(0); n > 0 {
		e = e.Int64("left-out", n)
	}
	e.Msg(l.prefix + sentence)
}
