package daemon

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/directory"
	"samphirepass/leaf"
	"samphirepass/logs"
	"samphirepass/peer"
	"samphirepass/settings"
)

// unusedPort returns a port that nothing listens on at the given addresses.
func unusedPort(t *testing.T, addresses ...string) uint16 {
	t.Helper()
	for port := uint16(17400); port < 17900; port++ {
		free := true
		for _, a := range addresses {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				free = false
				break
			}
			require.NoError(t, l.Close())
		}
		if free {
			return port
		}
	}
	t.Fatal("no unused port")
	return 0
}

func startRegistrar(t *testing.T, cfg settings.Node) *Registrar {
	t.Helper()
	r, err := NewRegistrar(cfg, logs.Logger{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

// TestRegistrarWithoutDiskRelaysRouting has a registrar without a data folder as the only source of a gateway's directory. The gateway
// must get each routing document from it, and must not take it for stale: otherwise all gateways of a data centre follow registrars
// elsewhere, and each document and change of a leaf crosses between data centres once for each of them.
func TestRegistrarWithoutDiskRelaysRouting(t *testing.T) {
	const member, relay = "127.0.6.1", "127.0.6.2"
	peerPort := unusedPort(t, member, relay)
	node := func(ip string) settings.Node {
		return settings.Node{
			Role: settings.RoleRegistrar, VM: samphirepass.VM(ip), DataCentre: samphirepass.DataCentre("dc-" + ip), IP: ip, Control: ip + ":0", Metrics: ip + ":0",
			PeerPort: peerPort, Seeds: []string{member + ":1"}, StopMs: 2000,
		}
	}
	withDisk := node(member)
	withDisk.DataFolder, withDisk.AllowBootstrap = t.TempDir(), true
	r := startRegistrar(t, withDisk)
	startRegistrar(t, node(relay))

	versions := make(chan samphirepass.RoutingVersion, 10)
	peers := &peer.Pool{}
	t.Cleanup(peers.Close)
	follower := directory.NewFollower(directory.FollowerOptions{
		VM: "gateway", DataCentre: "dc-" + relay, Seeds: []string{fmt.Sprintf("%s:%d", relay, peerPort)}, Registry: leaf.NewRegistry(r.clock), Peers: peers,
		Clock: r.clock, OnRouting: func(d samphirepass.RoutingDocument) { versions <- d.Version }, Logf: t.Logf,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for _, version := range []samphirepass.RoutingVersion{3, 8} {
		require.Eventually(t, func() bool {
			putCtx, cancelPut := context.WithTimeout(t.Context(), time.Second)
			defer cancelPut()
			return r.PutRouting(putCtx, samphirepass.RoutingDocument{Version: version, Source: []byte("{}")}) == nil
		}, 20*time.Second, 20*time.Millisecond)
		select {
		case got := <-versions:
			require.Equal(t, version, got)
		case <-time.After(5 * time.Second):
			t.Fatalf("version %d did not arrive", version)
		}
	}
	require.Eventually(t, follower.UpToDate, 5*time.Second, 10*time.Millisecond, "the relay counts as stale")
}
