package leaf

import (
	"context"
	"net/http"

	"samphirepass"
	"samphirepass/strict"
	"samphirepass/web"
)

// Receipt is the response to an announcement.
type Receipt struct {
	// HeldBy is the number of entries that have the announcement, out of Entries.
	HeldBy  int `json:"held-by"`
	Entries int `json:"entries"`
}

// BroadcastFunc sends an announcement to the other entries. It returns the number of entries that hold it and the number of
// all entries, both including this one. The latter is 0 while the other entries are not yet known.
type BroadcastFunc func(ctx context.Context, a samphirepass.Announcement) (holders, entries int)

// AnnouncementHandler returns the handler for announcements from leaves. It broadcasts those that drain the leaf
// or change more than Sequence and ColdMs. A drain is acknowledged once a majority of the entries have it, so that it outlives this one.
func AnnouncementHandler(registry *Registry, broadcast BroadcastFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := readAnnouncement(w, r)
		if err != nil {
			web.WriteError(w, err)
			return
		}
		newer, changed := registry.Apply(a, 0, true)
		if !newer {
			web.WriteError(w, outdatedRefusal())
			return
		}
		receipt := Receipt{HeldBy: 1, Entries: 1}
		if changed || a.State == samphirepass.LeafDraining {
			receipt.HeldBy, receipt.Entries = broadcast(r.Context(), a)
		}
		if a.State == samphirepass.LeafDraining && (receipt.Entries == 0 || receipt.HeldBy <= receipt.Entries/2) {
			web.WriteError(w, drainNotHeldRefusal(receipt))
			return
		}
		web.WriteJSON(w, http.StatusOK, receipt)
	})
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (samphirepass.Announcement, error) {
	var a samphirepass.Announcement
	body, err := web.ReadBody(w, r)
	if err != nil {
		return a, err
	}
	if err := strict.DecodeRequest(body, &a); err != nil {
		return a, err
	}
	for _, h := range a.Holdings {
		if int(h.Shard) >= h.Shards {
			refusal := samphirepass.Refuse(samphirepass.CodeInvalid, "shard %d of %d", h.Shard, h.Shards)
			refusal.Field, refusal.Allowed = "holdings.shard", "below holdings.shards"
			return a, refusal
		}
	}
	return a, nil
}

func drainNotHeldRefusal(receipt Receipt) error {
	refusal := samphirepass.Refuse(samphirepass.CodeUnavailable, "the drain is held by %d of %d entries, which is no majority", receipt.HeldBy, receipt.Entries)
	if receipt.Entries == 0 {
		refusal = samphirepass.Refuse(samphirepass.CodeUnavailable, "the other entries are not yet known")
	}
	// This entry heeds the drain.
	refusal.NotRun = false
	return refusal
}

func outdatedRefusal() error {
	refusal := samphirepass.Refuse(samphirepass.CodeConflict, "a newer announcement of this leaf is known")
	refusal.Field, refusal.Allowed = "sequence", "above the last one of this incarnation; a leaf that drains needs a new incarnation to serve again"
	return refusal
}
