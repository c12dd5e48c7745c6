package logs

import (
	"io"
	"os"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written; further ones are dropped.
	maxQueuedLines = 2048
	// requestLinesPerSecond and requestLineBurst limit the lines about single requests, so that logging never costs more than
	// serving the requests.
	requestLinesPerSecond = 200
	requestLineBurst      = 400
)

// Logger writes log lines with the prefix of one component. It never blocks on the output. Its zero value discards all lines.
type Logger struct {
	logger       *log.Logger
	prefix       string
	requestLimit *requestLimit
}

// requestLimit limits the rate of lines about single requests and counts the dropped ones.
type requestLimit struct {
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns a logger that writes to standard output and adds the name of the VM to each line.
func New(vm string) Logger { return NewTo(os.Stdout, vm) }

// NewTo returns a logger that writes to out and adds the name of the VM to each line.
func NewTo(out io.Writer, vm string) Logger {
	l := &log.Logger{
		Level: log.InfoLevel, TimeFormat: log.TimeFormatUnixMs,
		Writer:  &closingWriter{async: &log.AsyncWriter{ChannelSize: maxQueuedLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}}},
		Context: log.NewContext(nil).Str("vm", vm).Value(),
	}
	return Logger{logger: l, requestLimit: &requestLimit{limiter: rate.NewLimiter(requestLinesPerSecond, requestLineBurst)}}
}

// closingWriter passes entries on until it is closed and drops later ones: a request or a service may still write while the process ends.
type closingWriter struct {
	async *log.AsyncWriter

	// mu is held for reading during a write, which does not block.
	mu     sync.RWMutex
	closed bool
}

// WriteEntry implements log.Writer.
func (w *closingWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, nil
	}
	return w.async.WriteEntry(e)
}

// Close writes the queued entries.
func (w *closingWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	return w.async.Close()
}

// Close writes the queued lines and drops later ones.
func (l Logger) Close() {
	if l.logger == nil {
		return
	}
	if w, ok := l.logger.Writer.(*closingWriter); ok {
		// The process is about to exit, so there is nowhere left to report an error.
		_ = w.Close()
	}
}

// For returns a logger whose messages start with the name of a component.
func (l Logger) For(component string) Logger {
	l.prefix = component + ": "
	return l
}

// Infof logs a formatted message at level info.
func (l Logger) Infof(format string, args ...any) {
	if l.logger != nil {
		l.logger.Info().Msgf(l.prefix+format, args...)
	}
}

// Errorf logs a formatted message at level error.
func (l Logger) Errorf(format string, args ...any) {
	if l.logger != nil {
		l.logger.Error().Msgf(l.prefix+format, args...)
	}
}

// Event logs a change of the state known to the process at level info, with alternating keys and values.
func (l Logger) Event(message string, keysAndValues ...any) {
	if l.logger != nil {
		l.logger.Info().KeysAndValues(keysAndValues...).Msg(l.prefix + message)
	}
}

// RequestEvent logs what was decided about a single request at level info, with alternating keys and values. Lines above the rate
// limit are dropped; the next one that is written states their number under the key left-out.
func (l Logger) RequestEvent(message string, keysAndValues ...any) {
	if l.logger == nil {
		return
	}
	if !l.requestLimit.limiter.Allow() {
		l.requestLimit.dropped.Add(1)
		return
	}
	e := l.logger.Info().KeysAndValues(keysAndValues...)
	if n := l.requestLimit.dropped.Swap(0); n > 0 {
		e = e.Int64("left-out", n)
	}
	e.Msg(l.prefix + message)
}
