package samphirepass

import (
	"context"
	"net/http"
)

// ForwardedRequest is a client's request as it is passed on to leaves.
type ForwardedRequest struct {
	Method string
	// Target is the request target as the client wrote it, a path with an optional query.
	Target string
	Host   string
	// Header holds what is passed on, without the headers of one connection.
	Header http.Header
	Body   []byte
}

// ClientRequest is one request of a client to a route.
type ClientRequest struct {
	ID   RequestID
	Host string
	// Path selects the route.
	Path string
	// DeadlineMs is how long the client waits from now on, 0 if it did not say.
	DeadlineMs Millis
	Forwarded  ForwardedRequest
}

// LeafAnswer is what a leaf answered to a passed-on request, to be given to the client unchanged.
type LeafAnswer struct {
	Status int
	// Header is as the leaf sent it, with the headers of its connection.
	Header http.Header
	// Signature is the leaf's own mark on its answer, empty if it made none.
	Signature string
}

// MergedAnswer is a merged answer over shards.
type MergedAnswer struct {
	// Signatures are the marks of the parts that are in, one for each shard.
	Signatures []string
	// Missing counts the shards that are left out.
	Missing int
	Body    []byte
}

// ClientAnswer is the answer to a ClientRequest; just one of its pointers is set.
type ClientAnswer struct {
	Leaf   *Reply
	Merged *MergedAnswer
}

// Dispatcher answers the requests of clients by the routes in force and is safe for concurrent use.
type Dispatcher interface {
	// Dispatch answers one request; its errors are of type *Refusal.
	Dispatch(ctx context.Context, r ClientRequest) (ClientAnswer, error)
	// ClientLimits returns what clients may send.
	ClientLimits() ClientLimits
}

// LeafProtocol is the way to speak with the leaves of one platform; it is safe for concurrent use.
type LeafProtocol interface {
	// Request returns the HTTP request of one attempt; its body must not be readable twice, so that nothing sends it again.
	Request(ctx context.Context, to Announcement, a Attempt, left Millis) (*http.Request, error)
	// Reply checks a whole answer to an attempt; its errors are of type *AttemptError.
	Reply(resp *http.Response, body []byte, a Attempt) (Reply, error)
	// Probe returns a request that any live connection to the leaf answers, or nil if the leaves know none that is cheap.
	Probe(ctx context.Context, address string) (*http.Request, error)
}

// RoutingStore keeps the operators' routing document; it is safe for concurrent use.
type RoutingStore interface {
	// PutRouting returns once the document, or one with a higher version, is durable; its errors are refusals.
	PutRouting(ctx context.Context, d RoutingDocument) error
	// Routing returns the newest durable document, or a refusal if it cannot be sure which that is.
	Routing(ctx context.Context) (RoutingDocument, error)
}

// AnnouncementHandler hears of leaves and is safe for concurrent use.
type AnnouncementHandler interface {
	// HandleAnnouncement takes in what a leaf said of itself.
	HandleAnnouncement(a Announcement)
	// HandleLeave takes in that the present life of a leaf gets no more work.
	HandleLeave(leaf Leaf)
}
