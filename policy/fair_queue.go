package policy

import (
	"cmp"
	"slices"

	"samphirepass"
)

const (
	// maxExaminedAccounts bounds the accounts that one decision compares, and so its cost. If more wait, they take turns to be compared.
	maxExaminedAccounts = 32
	// holdWeight is the weight of a new value in the moving average of the time for which a request holds what others wait for.
	holdWeight = 0.1
)

// FairRequest describes a request that waits.
type FairRequest struct {
	Account samphirepass.AccountName
	// Rank is 0 for the most important requests.
	Rank int
	// Extra is set for hedges and retries, which come after the first attempts of their rank.
	Extra bool
	// ExpiresAtMs is when the request becomes useless.
	ExpiresAtMs samphirepass.Millis
}

// FairWaiter is a request in a FairQueue, with a value of the queue's user.
type FairWaiter[T any] struct {
	FairRequest
	Value T
	// number orders requests by when they were added.
	number uint64
	// account is nil once the request has left the queue.
	account *waitingAccount[T]
}

// waitingAccount holds the requests of an account in one class, the oldest first.
type waitingAccount[T any] struct {
	name    samphirepass.AccountName
	use     *accountEntry
	class   *fairClass[T]
	waiters []*FairWaiter[T]
}

// fairClass holds the requests of one rank, either first attempts or extra ones.
type fairClass[T any] struct {
	rank     int
	extra    bool
	accounts []*waitingAccount[T]
	byName   map[samphirepass.AccountName]*waitingAccount[T]
	// waiting is the number of requests, from the index of the account at which the next comparison starts.
	waiting, from int
}

// FairQueue orders requests that wait for a connection or a slot: by rank, first attempts before extra ones, and then the account with the
// least recent use first, so that accounts of one rank get equal shares as far as they ask for them. Its users lock it.
type FairQueue[T any] struct {
	use        *AccountUse
	maxWaiting int
	// classes are in the order in which they are served.
	classes []*fairClass[T]
	waiting int
	added   uint64
	// servers is the number of connections or slots, meanHold how long a request holds one, 0 if unknown.
	servers  int
	meanHold samphirepass.Millis
}

// NewFairQueue returns an empty queue of at most maxWaiting requests, ordered by a measurement that may be shared with other queues.
func NewFairQueue[T any](use *AccountUse, maxWaiting int) *FairQueue[T] {
	return &FairQueue[T]{use: use, maxWaiting: maxWaiting}
}

// Len returns the number of requests that wait.
func (q *FairQueue[T]) Len() int {
	if q == nil {
		return 0
	}
	return q.waiting
}

// SetServers sets the number of connections or slots that the requests wait for.
func (q *FairQueue[T]) SetServers(n int) { q.servers = n }

// ObserveHold records for how long a request held a connection or slot.
func (q *FairQueue[T]) ObserveHold(held samphirepass.Millis) {
	if q.meanHold == 0 {
		q.meanHold = held
		return
	}
	q.meanHold += (held - q.meanHold) * holdWeight
}

// Push adds a request. It returns the requests to refuse, which have left the queue and may include the new one: those that cannot be
// served in time and, if too many wait, those of the lowest rank and in it of the account with the largest use.
func (q *FairQueue[T]) Push(now samphirepass.Millis, r FairRequest, value T) (w *FairWaiter[T], refused []*FairWaiter[T]) {
	q.use.mu.Lock()
	defer q.use.mu.Unlock()
	weight := q.use.weightLocked(now)
	q.added++
	w = &FairWaiter[T]{FairRequest: r, Value: value, number: q.added}
	q.add(w)
	if !r.Extra {
		q.use.offerLocked(w.account.use, weight)
	}
	// If all that wait fit into its time, its place does not matter.
	if now+q.interval()*samphirepass.Millis(q.waiting) > r.ExpiresAtMs && now+q.waitLocked(w, weight) > r.ExpiresAtMs {
		q.Remove(w)
		return w, []*FairWaiter[T]{w}
	}
	for q.waiting > 0 {
		worst := q.worstLocked(weight)
		if q.waiting <= q.maxWaiting && now+q.interval()*samphirepass.Millis(q.waiting) <= worst.ExpiresAtMs {
			break
		}
		q.Remove(worst)
		refused = append(refused, worst)
	}
	return w, refused
}

// Pop removes the request to serve next and counts it to its account's use; next is nil if there is none. It also returns requests whose time
// has passed.
func (q *FairQueue[T]) Pop(now samphirepass.Millis) (next *FairWaiter[T], refused []*FairWaiter[T]) {
	q.use.mu.Lock()
	defer q.use.mu.Unlock()
	weight := q.use.weightLocked(now)
	for q.waiting > 0 {
		account := q.bestLocked(q.classes[0])
		w := account.waiters[0]
		q.Remove(w)
		if now > w.ExpiresAtMs {
			refused = append(refused, w)
			continue
		}
		q.use.useLocked(account.use, weight)
		return w, refused
	}
	return nil, refused
}

// Remove removes a request and reports whether it was still in the queue.
func (q *FairQueue[T]) Remove(w *FairWaiter[T]) bool {
	account := w.account
	if account == nil {
		return false
	}
	w.account = nil
	i := slices.Index(account.waiters, w)
	account.waiters = slices.Delete(account.waiters, i, i+1)
	q.waiting--
	class := account.class
	class.waiting--
	if len(account.waiters) == 0 {
		i := slices.Index(class.accounts, account)
		class.accounts[i] = class.accounts[len(class.accounts)-1]
		class.accounts = class.accounts[:len(class.accounts)-1]
		delete(class.byName, account.name)
	}
	if class.waiting == 0 {
		q.classes = slices.DeleteFunc(q.classes, func(c *fairClass[T]) bool { return c == class })
	}
	return true
}

// RemoveAll removes all requests and returns them in no particular order.
func (q *FairQueue[T]) RemoveAll() []*FairWaiter[T] {
	if q == nil {
		return nil
	}
	var removed []*FairWaiter[T]
	for len(q.classes) > 0 {
		w := q.classes[0].accounts[0].waiters[0]
		q.Remove(w)
		removed = append(removed, w)
	}
	return removed
}

// add appends a request to those of its account.
func (q *FairQueue[T]) add(w *FairWaiter[T]) {
	i, ok := slices.BinarySearchFunc(q.classes, w, func(c *fairClass[T], w *FairWaiter[T]) int {
		return cmp.Or(cmp.Compare(c.rank, w.Rank), compareExtra(c.extra, w.Extra))
	})
	if !ok {
		q.classes = slices.Insert(q.classes, i, &fairClass[T]{rank: w.Rank, extra: w.Extra, byName: map[samphirepass.AccountName]*waitingAccount[T]{}})
	}
	class := q.classes[i]
	account := class.byName[w.Account]
	if account == nil {
		account = &waitingAccount[T]{name: w.Account, class: class}
		class.byName[w.Account] = account
		class.accounts = append(class.accounts, account)
	}
	// The use of an account that was forgotten meanwhile is measured anew.
	account.use = q.use.entryLocked(w.Account)
	account.waiters = append(account.waiters, w)
	w.account = account
	class.waiting++
	q.waiting++
}

func compareExtra(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// examine calls f for the accounts of a class, for at most maxExaminedAccounts of them.
func (c *fairClass[T]) examine(u *AccountUse, f func(*waitingAccount[T])) (examined int) {
	examined = min(len(c.accounts), maxExaminedAccounts)
	if examined == len(c.accounts) {
		c.from = 0
	}
	for i := range examined {
		account := c.accounts[(c.from+i)%len(c.accounts)]
		u.scaleLocked(account.use)
		f(account)
	}
	c.from = (c.from + examined) % len(c.accounts)
	return examined
}

// before reports whether an account has less use than another one or, at equal use, waits longer.
func (a *waitingAccount[T]) before(b *waitingAccount[T]) bool {
	if a.use.used == b.use.used {
		return a.waiters[0].number < b.waiters[0].number
	}
	return a.use.used < b.use.used
}

// bestLocked returns the account to serve next.
func (q *FairQueue[T]) bestLocked(c *fairClass[T]) *waitingAccount[T] {
	var best *waitingAccount[T]
	bestNeglected := false
	c.examine(q.use, func(a *waitingAccount[T]) {
		neglected := q.use.neglectedLocked(a.use)
		if best == nil || (neglected && !bestNeglected) || (neglected == bestNeglected && a.before(best)) {
			best, bestNeglected = a, neglected
		}
	})
	return best
}

// worstLocked returns the request to refuse first: of the last class, the newest of the account with the largest use, waiting requests
// included.
func (q *FairQueue[T]) worstLocked(weight float64) *FairWaiter[T] {
	var worst *waitingAccount[T]
	worstNeglected, worstUse := false, 0.0
	q.classes[len(q.classes)-1].examine(q.use, func(a *waitingAccount[T]) {
		neglected := q.use.neglectedLocked(a.use)
		use := a.use.used + weight*float64(len(a.waiters))
		if worst == nil || (!neglected && worstNeglected) || (neglected == worstNeglected && use > worstUse) {
			worst, worstNeglected, worstUse = a, neglected, use
		}
	})
	return worst.waiters[len(worst.waiters)-1]
}

// interval returns the mean time between two requests that are served, 0 if it is not known.
func (q *FairQueue[T]) interval() samphirepass.Millis {
	return q.meanHold / samphirepass.Millis(max(q.servers, 1))
}

// waitLocked estimates the wait of a request that was just added.
func (q *FairQueue[T]) waitLocked(w *FairWaiter[T], weight float64) samphirepass.Millis {
	interval := q.interval()
	if interval == 0 {
		return 0
	}
	own := w.account
	ahead := float64(len(own.waiters))
	for _, c := range q.classes {
		if c == own.class {
			break
		}
		ahead += float64(c.waiting)
	}
	if q.use.neglectedLocked(own.use) {
		return interval * samphirepass.Millis(ahead)
	}
	others := 0.0
	// Each other account is served before until its use is that of this one.
	examined := own.class.examine(q.use, func(a *waitingAccount[T]) {
		if a != own {
			others += min(float64(len(a.waiters)), max((own.use.used-a.use.used)/weight+float64(len(own.waiters)), 0))
		}
	})
	return interval * samphirepass.Millis(ahead+others*float64(len(own.class.accounts))/float64(examined))
}
