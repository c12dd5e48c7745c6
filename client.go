package samphirepass

import (
	"context"
	"net/http"
)

// ForwardedRequest is a client's request as it is forwarded to leaves.
type ForwardedRequest struct {
	Method string
	// Target is the request target as sent by the client, a path with an optional query.
	Target string
	Host   string
	// Header holds the forwarded headers, without hop-by-hop headers.
	Header http.Header
	Body   []byte
	// HideCredentials is set if accounts are declared: leaves are then not shown the client's key, and Account replaces whatever the client
	// said of its account.
	HideCredentials bool
	// Account is the client's account, empty if it has none.
	Account AccountName
}

// ClientRequest is one request of a client to a route.
type ClientRequest struct {
	ID   RequestID
	Host string
	// Path selects the route.
	Path string
	// DeadlineMs is how long the client waits from now on, 0 if not stated.
	DeadlineMs Millis
	Forwarded  ForwardedRequest
	// Key is the digest of the client's key, nil if the request has none.
	Key *KeyDigest `codec:"-"`
}

// LeafAnswer is a leaf's answer to a forwarded request, which is passed to the client unchanged.
type LeafAnswer struct {
	Status int
	// Header is as sent by the leaf, with its hop-by-hop headers.
	Header http.Header
	// Signature is the leaf's signature of its answer, empty if there is none.
	Signature string
}

// MergedAnswer is the merged answer of several shards.
type MergedAnswer struct {
	// Signatures holds the signature of each shard's answer that was merged.
	Signatures []string
	// Missing is the number of shards without an answer.
	Missing int
	Body    []byte
}

// ClientAnswer is the answer to a ClientRequest; exactly one of its fields is set.
type ClientAnswer struct {
	Leaf   *Reply
	Merged *MergedAnswer
}

// Dispatcher answers clients' requests according to the current routes and is safe for concurrent use.
type Dispatcher interface {
	// Dispatch answers one request; its errors are of type *Refusal.
	Dispatch(ctx context.Context, r ClientRequest) (ClientAnswer, error)
	// ClientLimits returns the current limits on clients.
	ClientLimits() ClientLimits
}

// LeafProtocol encodes requests to the leaves of one platform and checks their replies; it is safe for concurrent use.
type LeafProtocol interface {
	// Request returns the HTTP request of one attempt; remaining is the time budget of the leaf.
	// The body must not be readable twice, so that the HTTP client cannot resend it. RequestURI, if it is set, is sent as the target.
	Request(ctx context.Context, to Announcement, a Attempt, remaining Millis) (*http.Request, error)
	// Reply checks the complete answer to an attempt; its errors are of type *AttemptError.
	Reply(resp *http.Response, body []byte, a Attempt) (Reply, error)
	// Notice returns what the leaf that answered says of itself.
	Notice(resp *http.Response) LeafNotice
	// Probe returns a request that is answered on any live connection to the leaf, or nil if the protocol has no cheap one.
	Probe(ctx context.Context, address string) (*http.Request, error)
	// Ping returns a request that any leaf answers at once and does not run, or nil if the protocol has none.
	Ping(ctx context.Context, address string) (*http.Request, error)
}

// RoutingStore stores the operators' routing document and is safe for concurrent use.
type RoutingStore interface {
	// PutRouting returns once the document, or one with a higher version, is durable; its errors are refusals.
	PutRouting(ctx context.Context, d RoutingDocument) error
	// Routing returns the newest durable document, or a refusal if it cannot determine which one that is.
	Routing(ctx context.Context) (RoutingDocument, error)
}

// AnnouncementHandler receives the announcements of leaves and is safe for concurrent use. What a leaf announces is acknowledged
// unless an error is returned.
type AnnouncementHandler interface {
	// HandleAnnouncement records an announcement.
	HandleAnnouncement(ctx context.Context, a Announcement) error
	// HandleLeave records that the current incarnation of a leaf gets no more work.
	HandleLeave(ctx context.Context, leaf Leaf) error
}
