package daemon

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"

	"samphirepass/logs"
)

// lockedBuffer is a buffer that several goroutines use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// failingService fails once, and then runs until it is stopped.
type failingService struct {
	fail   func() error
	failed bool
}

func (s *failingService) Serve(ctx context.Context) error {
	if !s.failed {
		s.failed = true
		return s.fail()
	}
	<-ctx.Done()
	return ctx.Err()
}

func TestSupervisorLogsFailuresByName(t *testing.T) {
	tests := map[string]struct {
		fail func() error
		want string
	}{
		"error": {func() error { return context.DeadlineExceeded }, "Service \\\"worker\\\" failed, restarting: true"},
		"panic": {func() error { panic("broken") }, "Service \\\"worker\\\" panicked, restarting: true"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			out := &lockedBuffer{}
			log := logs.NewTo(out, "vm-1")
			ctx, cancel := context.WithCancel(t.Context())
			done := newSupervisor(ctx, "test", log, map[string]suture.Service{"worker": &failingService{fail: tt.fail}}).ServeBackground(ctx)
			require.Eventually(t, func() bool { return bytes.Contains([]byte(out.String()), []byte(tt.want)) }, 5*time.Second, 5*time.Millisecond, "got %s", out)
			before := out.String()
			cancel()
			<-done
			log.Close()
			require.Equal(t, before, out.String(), "a planned stop logs a failure")
			failure, _, _ := strings.Cut(out.String(), "stack:")
			require.NotContains(t, failure, "0x", "a pointer is printed")
		})
	}
}
