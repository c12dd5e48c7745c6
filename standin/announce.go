package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"samphirepass"
)

// announceTimeoutMs bounds one announcement.
const announceTimeoutMs samphirepass.Millis = 1000

// Announcement returns what the leaf tells of itself now, under the next sequence.
func (l *Leaf) Announcement() samphirepass.Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	address := l.Address()
	if l.o.Advertise != "" {
		address = l.o.Advertise
	}
	return samphirepass.Announcement{
		Leaf: l.o.Leaf, Service: l.o.Service, Address: address, DataCentre: l.o.DataCentre,
		Incarnation: l.incarnation, Sequence: l.sequence, State: l.state, Holdings: l.holdings,
		Slots: l.o.Slots, Connections: l.o.Connections,
	}
}

func (l *Leaf) announceLoop(ctx context.Context) {
	if l.entryCount() == 0 {
		return
	}
	t := time.NewTicker(l.o.AnnounceMs.Duration())
	defer t.Stop()
	for {
		l.announceOnce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceOnce announces to the next entry, and to those after it until one takes it.
func (l *Leaf) announceOnce(ctx context.Context) {
	for range l.entryCount() {
		if Announce(ctx, l.turn(), l.Announcement()) == nil {
			return
		}
	}
}

func (l *Leaf) entryCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.o.Entries)
}

func (l *Leaf) turn() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.o.Entries) == 0 {
		return ""
	}
	l.nextEntry = (l.nextEntry + 1) % len(l.o.Entries)
	return l.o.Entries[l.nextEntry]
}

// Announce sends one announcement to the entry at an API address.
func Announce(ctx context.Context, entry string, a samphirepass.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeoutMs.Duration())
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make announcement: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announce to %s: %w", entry, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("entry %s answered %s", entry, resp.Status)
	}
	return nil
}
