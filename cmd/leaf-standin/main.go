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
	Serve serveCommand `command:"serve" description:"Run an emulated leaf until SIGTERM or SIGINT, then drain it and stop."`
}

type serveCommand struct {
	Leaf            string   `long:"leaf" required:"true" description:"Name of the leaf."`
	Service         string   `long:"service" required:"true" description:"Service of the leaf."`
	DataCentre      string   `long:"data-centre" required:"true" description:"Data centre of the leaf."`
	Address         string   `long:"address" required:"true" description:"Address to listen on and to announce (IP:port)."`
	Entries         []string `long:"entry" required:"true" description:"API address (IP:port) of an entry to announce to; can be repeated."`
	Snapshot        uint64   `long:"snapshot" default:"1" description:"Snapshot that the leaf holds."`
	Shards          int      `long:"shards" required:"true" description:"Number of shards in the snapshot."`
	Shard           uint32   `long:"shard" required:"true" description:"Shard that the leaf holds."`
	Slots           int      `long:"slots" default:"3" description:"Maximum number of requests processed concurrently."`
	Connections     int      `long:"connections" default:"30" description:"Maximum number of open connections."`
	ConnectMs       float64  `long:"connect-ms" description:"Delay from accepting a connection to reading from it, in milliseconds."`
	WorkMs          float64  `long:"work-ms" default:"4" description:"Processing time of a request, in milliseconds."`
	StragglePercent float64  `long:"straggle-percent" description:"Percentage of requests that are stragglers."`
	StraggleMs      float64  `long:"straggle-ms" description:"Processing time of a straggler, in milliseconds."`
	ColdMs          float64  `long:"cold-ms" description:"Warm-up time after the start, in milliseconds."`
	ColdFactor      float64  `long:"cold-factor" default:"1" description:"Factor by which processing times are multiplied at the start; falls linearly to 1 during the warm-up."`
	Queue           int      `long:"queue" description:"Maximum number of requests waiting for a slot, 0 for no limit; further requests are shed."`
	Seed            uint64   `long:"seed" default:"1" description:"Seed of the random choice of stragglers."`
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
