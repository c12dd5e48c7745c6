package peer

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"samphirepass/cbor"
)

// errNoConnection reports that a context is not that of a request of a peer.
var errNoConnection = eris.New("peer: not in a request of a peer")

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// CallBack sends a request to the process whose request ctx belongs to, over the same connection, and decodes the reply into reply. Older
// processes refuse requests of all kinds.
func CallBack(ctx context.Context, kind string, req, reply any) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return fmt.Errorf("call back %s: %w", kind, errNoConnection)
	}
	body, err := cbor.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request %s: %w", kind, err)
	}
	b, err := c.call(ctx, kind, body)
	if err != nil {
		return fmt.Errorf("call back %s: %w", kind, err)
	}
	if err := cbor.Unmarshal(b, reply); err != nil {
		return fmt.Errorf("decode reply to %s: %w", kind, err)
	}
	return nil
}

// SendHeartbeat sends a heartbeat at once to the process whose request ctx belongs to.
func SendHeartbeat(ctx context.Context) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return fmt.Errorf("send heartbeat: %w", errNoConnection)
	}
	return c.send(frame{})
}
