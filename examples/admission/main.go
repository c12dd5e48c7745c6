package main

import (
	"fmt"
	"time"

	"samphirepass"
	"samphirepass/policy"
)

func main() {
	l := policy.NewLimiter(samphirepass.SystemClock{})
	running, err := l.Admit(nil, admissionRequest("public", 2))
	if err != nil {
		fmt.Println(err)
		return
	}
	done := make(chan struct{})
	for rank, name := range []samphirepass.Caller{"marshal", "secretary", "public"} {
		go func() {
			permit, err := l.Admit(nil, admissionRequest(name, rank))
			if err == nil {
				fmt.Println(name, "runs")
				permit.Release(samphirepass.Outcome{})
			}
			done <- struct{}{}
		}()
	}
	for l.QueueLength() < 3 {
		time.Sleep(time.Millisecond)
	}
	// The release admits the queued requests one after the other, the lowest rank first.
	running.Release(samphirepass.Outcome{})
	for range 3 {
		<-done
	}
}

// admissionRequest returns a request whose capacity, below 1, limits the requests in flight to the minimum of one.
func admissionRequest(c samphirepass.Caller, rank int) samphirepass.AdmissionRequest {
	return samphirepass.AdmissionRequest{Caller: c, Rank: rank, DeadlineMs: 1000, Capacity: 0.5}
}
