package shell

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"samphirepass/logs"
)

type explainCommand struct {
	Args struct {
		Subject string   `positional-arg-name:"ID" description:"Request ID, routing document version, leaf, or address of a collector." required:"true"`
		Files   []string `positional-arg-name:"FILE" description:"Log files of one or more processes." required:"1"`
	} `positional-args:"true"`
}

// Execute prints the log lines about one request, routing document or leaf in chronological order.
func (c *explainCommand) Execute([]string) error {
	var all []logs.Line
	unparsed := 0
	for _, path := range c.Args.Files {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		lines, n, err := logs.Find(f, c.Args.Subject)
		_ = f.Close() // The file was opened for reading only.
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		all, unparsed = append(all, lines...), unparsed+n
	}
	if unparsed > 0 {
		fmt.Fprintf(os.Stderr, "skipped %d log lines that could not be parsed\n", unparsed)
	}
	if len(all) == 0 {
		return eris.Errorf("no log line refers to %q", c.Args.Subject)
	}
	return logs.Write(os.Stdout, all)
}
