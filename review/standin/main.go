// Command review-standin plays the cases of the review against the programs of the deploy file, on loopback addresses and the real clock.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	usageString = "usage: review-standin [-trouble=false] -record FILE departure|seeds|planned|names|stop"
)

// errBroken means that the system broke the rule of the case.
var errBroken = errors.New("the rule is broken")

// scenarios are the cases by name. Each returns errBroken, nil if the rule held, or another error if it could not be played.
var scenarios = map[string]func(ctx context.Context, p *platform, trouble bool) error{
	"departure": playDeparture,
	"seeds":     playSeeds,
	"planned":   playPlanned,
	"names":     playNames,
	"stop":      playStop,
}

func main() {
	os.Exit(run())
}

func run() int {
	trouble := flag.Bool("trouble", true, "whether the disruption is played")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := scenarios[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, usageString)
		return exitCannot
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := newPlatform(rec)
	if err != nil {
		rec.printf("cannot start: %v", err)
		return exitCannot
	}
	defer p.close()
	rec.printf("case %s, trouble %v", flag.Arg(0), *trouble)
	err = play(ctx, p, *trouble)
	switch {
	case ctx.Err() != nil:
		rec.printf("RESULT: interrupted")
		return exitCannot
	case errors.Is(err, errBroken):
		rec.printf("RESULT: %v", err)
		return exitBroken
	case err != nil:
		rec.printf("RESULT: could not be played: %v", err)
		return exitCannot
	}
	rec.printf("RESULT: the rule held")
	return exitHeld
}
