package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"samphirepass"
	"samphirepass/shell"
	"samphirepass/standin"
)

// stopTimeoutMs bounds the time to drain the leaf and to finish the requests in flight at shutdown.
const stopTimeoutMs samphirepass.Millis = 10_000

type options struct {
	Serve serveCommand `command:"serve" description:"Run one leaf until it is told to stop, when it drains first."`
}

type serveCommand struct {
	Leaf            string   `long:"leaf" required:"true" description:"The leaf's name."`
	Service         string   `long:"service" required:"true" description:"The service that it belongs to."`
	DataCentre      string   `long:"data-centre" required:"true" description:"The data centre that it is in."`
	Address         string   `long:"address" required:"true" description:"Where to listen, an IP number with a port."`
	Entries         []string `long:"entry" required:"true" description:"The API address of an entry; may be given several times."`
	Snapshot        uint64   `long:"snapshot" default:"1" description:"The snapshot that it holds."`
	Shards          int      `long:"shards" required:"true" description:"The number of shards of the snapshot."`
	Shard           uint32   `long:"shard" required:"true" description:"The shard that it holds."`
	Slots           int      `long:"slots" default:"3" description:"Requests worked on at once."`
	Connections     int      `long:"connections" default:"30" description:"Connections accepted."`
	ConnectMs       float64  `long:"connect-ms" description:"The cost of a new connection."`
	WorkMs          float64  `long:"work-ms" default:"4" description:"The time of a request."`
	StragglePercent float64  `long:"straggle-percent" description:"The share of requests that straggle."`
	StraggleMs      float64  `long:"straggle-ms" description:"The time of those."`
	ColdMs          float64  `long:"cold-ms" description:"The time after the start in which requests are slow."`
	ColdFactor      float64  `long:"cold-factor" default:"1" description:"How many times slower they are at first."`
	Queue           int      `long:"queue" description:"Requests that wait for a slot before more are shed; 0 for no limit."`
	Seed            uint64   `long:"seed" default:"1" description:"The seed of the stragglers."`
}

// Execute runs the leaf until SIGTERM or SIGINT, then drains it and shuts it down.
func (c *serveCommand) Execute([]string) error {
	l, err := standin.Start(standin.Options{
		Leaf: samphirepass.Leaf(c.Leaf), Service: samphirepass.Service(c.Service), DataCentre: samphirepass.DataCentre(c.DataCentre),
		Address: c.Address, Entries: c.Entries, Slots: c.Slots, Connections: c.Connections, Queue: c.Queue, Seed: c.Seed,
		Holdings:  []samphirepass.Holding{{Snapshot: samphirepass.Snapshot(c.Snapshot), Shards: c.Shards, Shard: samphirepass.Shard(c.Shard)}},
		ConnectMs: samphirepass.Millis(c.ConnectMs), WorkMs: samphirepass.Millis(c.WorkMs),
		StragglePercent: samphirepass.Percent(c.StragglePercent), StraggleMs: samphirepass.Millis(c.StraggleMs),
		ColdMs: samphirepass.Millis(c.ColdMs), ColdFactor: c.ColdFactor,
	})
	if err != nil {
		return fmt.Errorf("start leaf: %w", err)
	}
	fmt.Println("leaf on", l.Address())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeoutMs.Duration())
	defer cancelStop()
	l.Drain(stopCtx)
	return l.Shutdown(stopCtx)
}

func main() {
	os.Exit(shell.Run("leaf-standin", &options{}, os.Args[1:]))
}
