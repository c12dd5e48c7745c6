package main

import (
	"fmt"
	"os"

	"samphirepass/capacity"
)

func main() {
	slopes, err := capacity.Slopes()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
	fmt.Println(capacity.SlopeTable(slopes, capacity.SlopeOrder()))
	fmt.Println(capacity.Table(capacity.Rows(slopes)))
}
