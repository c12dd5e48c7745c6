package leaf

import (
	"context"
	"errors"

	"samphirepass"
)

// permissionState is the progress of asking for further attempts.
type permissionState string

const (
	permissionUnasked permissionState = ""
	permissionAsked   permissionState = "asked"
	permissionGranted permissionState = "granted"
	permissionDenied  permissionState = "denied"
)

// permission decides whether the shards of one request may get more than one attempt that their leaves may have seen.
type permission struct {
	// ask is Delivery.FurtherAttempts; nil means that they may.
	ask   func(context.Context) bool
	state permissionState
	// reply receives the answer once it was asked for.
	reply chan bool
}

func (p *permission) pending() bool { return p.state == permissionAsked }

// blocks reports whether no further attempt may start now.
func (p *permission) blocks() bool {
	return p.state == permissionAsked || p.state == permissionDenied
}

// notSent reports whether the leaf certainly saw nothing of an attempt.
func (r attemptResult) notSent() bool {
	var failure *samphirepass.AttemptError
	return errors.As(r.err, &failure) && failure.Kind == samphirepass.FailureNotSent
}

// awaitsPermission reports whether the next attempt on a shard must wait for an answer, and asks if nobody has yet. An attempt in place of
// ones that were not sent needs no permission. One in place of a leaf that is silent does: the leaf may have received the attempt.
func (f *fanOut) awaitsPermission(shard int) bool {
	p, s := &f.permission, &f.shards[shard]
	if p.ask == nil || s.sentAttempts == 0 || s.countedAttempts >= f.fanOutOptions.maxAttempts || f.sendsEnded || f.ctx.Err() != nil {
		return false
	}
	// Permission that cannot be used would keep the entry from delivering the part elsewhere.
	if untried := f.untriedLeaves(shard); len(untried) == 0 || f.pool.minWaitMs(untried) > 0 {
		return false
	}
	if p.state == permissionUnasked {
		p.state = permissionAsked
		reply := make(chan bool, 1)
		p.reply = reply
		go func() { reply <- p.ask(f.ctx) }()
	}
	return p.pending()
}

// forbidden reports whether a shard may get no further attempt.
func (f *fanOut) forbidden(shard int) bool {
	return f.permission.blocks() && f.shards[shard].sentAttempts > 0
}

// handlePermission starts the attempts that waited for permission, or gives them up.
func (f *fanOut) handlePermission(granted bool) {
	f.permission.state, f.permission.reply = permissionDenied, nil
	if granted {
		f.permission.state = permissionGranted
	}
	// A request that may crash leaves starts its held attempts one by one, see startAlone.
	if !f.suspected() {
		for i := range f.shards {
			if f.shards[i].held {
				f.startHeld(i)
			}
		}
	}
	f.hedgeLateShards()
	f.resetTimer()
}
