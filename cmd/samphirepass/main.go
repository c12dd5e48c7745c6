package main

import (
	"os"

	"samphirepass/shell"
)

func main() {
	os.Exit(shell.Main(os.Args[1:]))
}
