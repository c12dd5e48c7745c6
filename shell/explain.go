package shell

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"samphirepass/logs"
)

type explainCommand struct {
	Args struct {
		Subject string   `positional-arg-name:"ID" description:"The id of a request, the version of a routing document, or a leaf." required:"true"`
		Files   []string `positional-arg-name:"FILE" description:"The logs of processes." required:"1"`
	} `positional-args:"true"`
}

// Execute prints what the logs say of one request, routing document or leaf, in the order of time.
func (c *explainCommand) Execute([]string) error {
	var all []logs.Line
	unread := 0
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		lines, bad, err := logs.Find(f, c.Args.Subject)
		_ = f.Close() // It was only read.
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		all, unread = append(all, lines...), unread+bad
	}
	if unread > 0 {
		fmt.Fprintf(os.Stderr, "%d lines could not be read\n", unread)
	}
	if len(all) == 0 {
		return eris.Errorf("no line is about %q", c.Args.Subject)
	}
	return logs.Write(os.Stdout, all)
}
