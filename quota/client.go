package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"samphirepass"
	"samphirepass/metrics"
	"samphirepass/peer"
)

const (
	// askSecondMs is the time after which another issuer is asked, too. An issuer in the same data centre usually answers within 3 ms.
	askSecondMs samphirepass.Millis = 8
	// maxAsked bounds the issuers that are asked for one request.
	maxAsked = 8
	// askTimeoutMs bounds an ask that nobody waits for any more; its tokens serve later requests.
	askTimeoutMs samphirepass.Millis = 300
)

// ClientOptions set up a Client.
type ClientOptions struct {
	VM         samphirepass.VM
	DataCentre samphirepass.DataCentre
	// Issuers returns the registrars that may issue tokens.
	Issuers func() []IssuerAddress
	Peers   *peer.Pool
	Clock   samphirepass.BootClock
	Metrics *metrics.Metrics
}

// Client gets tokens for the requests of a gateway. It implements samphirepass.FleetLimiter.
type Client struct {
	opts ClientOptions

	mu     sync.Mutex
	wallet *Wallet
}

// NewClient returns a client without tokens.
func NewClient(opts ClientOptions) *Client {
	return &Client{opts: opts, wallet: NewWallet(opts.VM, opts.DataCentre)}
}

// Take implements samphirepass.FleetLimiter.
func (c *Client) Take(ctx context.Context, key samphirepass.LimitKey, wait samphirepass.Millis) samphirepass.LimitVerdict {
	verdict, counted := c.takeHeld(key, true)
	if verdict.Granted {
		c.opts.Metrics.LimitDecision(true, false)
		return verdict
	}
	issuers := c.opts.Issuers()
	c.mu.Lock()
	candidates, retry := c.wallet.Candidates(counted, key, issuers)
	c.mu.Unlock()
	asked := wait > 0 && len(candidates) > 0
	if asked {
		verdict, retry = c.ask(ctx, key, candidates[:min(len(candidates), maxAsked)], wait)
	}
	c.opts.Metrics.LimitDecision(verdict.Granted, asked)
	if !verdict.Granted {
		// Refused clients come back at different times.
		verdict.RetryAfterMs = min(max(retry, 1), maxRetryMs) * samphirepass.Millis(1+rand.Float64())
	}
	return verdict
}

// takeHeld uses a token that this gateway holds, if there is one, and returns the time at which it looked. It counts a new request.
func (c *Client) takeHeld(key samphirepass.LimitKey, isNew bool) (samphirepass.LimitVerdict, samphirepass.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Boot()
	if isNew {
		c.wallet.Count(now, key)
	}
	if !c.wallet.Take(now, key) {
		return samphirepass.LimitVerdict{}, now
	}
	return samphirepass.LimitVerdict{Granted: true, ExpiresAtMs: c.wallet.ExpiresAt(now, key)}, now
}

// ask asks one issuer after the other, the next one once the last has refused or is late, until one grants a token or the time is over. It
// returns the time after which a retry is worthwhile otherwise.
func (c *Client) ask(ctx context.Context, key samphirepass.LimitKey, candidates []IssuerAddress, wait samphirepass.Millis) (verdict samphirepass.LimitVerdict, retry samphirepass.Millis) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	answers := make(chan bool, len(candidates))
	next, unanswered := 0, 0
	late := time.NewTicker(askSecondMs.Duration())
	defer late.Stop()
	start := func() {
		go c.askOne(key, candidates[next].Address, answers)
		next++
		unanswered++
		late.Reset(askSecondMs.Duration())
	}
	start()
	for {
		select {
		case <-answers:
			unanswered--
			if verdict, _ = c.takeHeld(key, false); verdict.Granted {
				return verdict, 0
			}
			if next < len(candidates) {
				start()
			} else if unanswered == 0 {
				return verdict, c.retryMs(key)
			}
		case <-late.C:
			if next < len(candidates) {
				c.fail(candidates[next-1].Address)
				start()
			}
		case <-ctx.Done():
			// An answer may have arrived at the same time.
			if verdict, _ = c.takeHeld(key, false); verdict.Granted {
				return verdict, 0
			}
			return verdict, c.retryMs(key)
		}
	}
}

func (c *Client) retryMs(key samphirepass.LimitKey) samphirepass.Millis {
	issuers := c.opts.Issuers()
	c.mu.Lock()
	defer c.mu.Unlock()
	if candidates, wait := c.wallet.Candidates(c.opts.Clock.Boot(), key, issuers); len(candidates) == 0 {
		return wait
	}
	return noIssuerRetryMs
}

func (c *Client) fail(address string) {
	now := c.opts.Clock.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallet.Fail(now, address)
}

// askOne asks one issuer. Its answer counts also when nobody waits for it any more.
func (c *Client) askOne(key samphirepass.LimitKey, address string, answers chan<- bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeoutMs.Duration())
	defer cancel()
	c.mu.Lock()
	want := c.wallet.Ask(key)
	c.mu.Unlock()
	sentAt := c.opts.Clock.Boot()
	reply, err := c.call(ctx, address, issueRequest{Key: key, Want: want})
	c.mu.Lock()
	now := c.opts.Clock.Boot()
	c.wallet.Answered(key, want)
	switch {
	case err != nil || !reply.Issues:
		c.wallet.Fail(now, address)
	case !reply.Known:
		c.wallet.Apply(now, sentAt, key, address, Issue{RetryMs: noIssuerRetryMs})
	default:
		c.wallet.Apply(now, sentAt, key, address, reply.Issue)
	}
	c.mu.Unlock()
	c.opts.Metrics.LimitAsk(err == nil)
	answers <- true
}

func (c *Client) call(ctx context.Context, address string, req issueRequest) (issueReply, error) {
	var reply issueReply
	if err := c.opts.Peers.Get(address).Call(ctx, kindIssue, req, &reply); err != nil {
		return reply, fmt.Errorf("ask for tokens: %w", err)
	}
	return reply, nil
}

// Return implements samphirepass.FleetLimiter.
func (c *Client) Return(key samphirepass.LimitKey, granted samphirepass.LimitVerdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallet.Return(c.opts.Clock.Boot(), key, granted.ExpiresAtMs)
}
