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

// announceTimeoutMs is the timeout of sending one announcement to one entry.
const announceTimeoutMs samphirepass.Millis = 1000

// Announcement returns an announcement of the leaf's current state and holdings, with the next sequence number.
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

// announceOnce announces to the entries in round-robin order until one accepts.
func (l *Leaf) announceOnce(ctx context.Context) {
	for range l.entryCount() {
		if Announce(ctx, l.nextEntryAddress(), l.Announcement()) == nil {
			return
		}
	}
}

func (l *Leaf) entryCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.o.Entries)
}

// nextEntryAddress returns the API address of the next entry in round-robin order, or "" if there is none.
func (l *Leaf) nextEntryAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.o.Entries) == 0 {
		return ""
	}
	l.nextEntry = (l.nextEntry + 1) % len(l.o.Entries)
	return l.o.Entries[l.nextEntry]
}

// Announce sends an announcement to the entry with the API address entry. It fails unless the entry answers 200 OK.
func Announce(ctx context.Context, entry string, a samphirepass.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeoutMs.Duration())
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/announcements", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create announcement request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("announce to %s: %w", entry, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("entry %s answered announcement with status %s", entry, resp.Status)
	}
	return nil
}
