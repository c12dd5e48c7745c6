package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"samphirepass"
	"samphirepass/operator"
)

// commandTimeout bounds every operator command except watch.
const commandTimeout = 15 * time.Second

type operatorCommand struct {
	Get     getCommand     `command:"get" description:"Print one resource."`
	List    listCommand    `command:"list" description:"Print all resources of a kind."`
	Apply   applyCommand   `command:"apply" description:"Create or replace the resource described in a file."`
	Watch   watchCommand   `command:"watch" description:"Print changes to resources of a kind as they happen."`
	Delete  deleteCommand  `command:"delete" description:"Remove a resource."`
	Status  statusCommand  `command:"status" description:"Print the state of an entry VM and its view of the seats, leaves and control VMs."`
	Members membersCommand `command:"members" description:"Add or remove a control VM."`
	Release releaseCommand `command:"release-seat" description:"Release the seat of an entry VM that is permanently lost."`
}

// target is the flag for the VM to which a command is sent.
type target struct {
	VM string `long:"vm" required:"true" description:"API address (IP:port) of any entry VM."`
}

func (t target) client() operator.Client {
	return operator.Client{Address: t.VM}
}

// commandContext returns a context that ends after commandTimeout.
func commandContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), commandTimeout)
}

// printJSON prints v as indented JSON, or returns err if it is set.
func printJSON(v any, err error) error {
	if err != nil {
		return err
	}
	out, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	fmt.Println(string(out))
	return nil
}

func parseKind(s string) (samphirepass.Kind, error) {
	for _, k := range samphirepass.Kinds() {
		if string(k) == s {
			return k, nil
		}
	}
	return "", eris.Errorf("KIND: unknown kind %q (allowed: %v)", s, samphirepass.Kinds())
}

type kindAndName struct {
	Kind string `positional-arg-name:"KIND" required:"true"`
	Name string `positional-arg-name:"NAME" required:"true"`
}

type getCommand struct {
	target
	Args kindAndName `positional-args:"true"`
}

// Execute prints one resource.
func (c *getCommand) Execute([]string) error {
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	return printJSON(c.client().Get(ctx, kind, c.Args.Name))
}

type listCommand struct {
	target
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
	} `positional-args:"true"`
}

// Execute prints all resources of a kind.
func (c *listCommand) Execute([]string) error {
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	return printJSON(c.client().List(ctx, kind))
}

// resourceFile is the content of a resource file for the apply command.
type resourceFile struct {
	Kind string          `json:"kind"`
	Name string          `json:"name"`
	Spec json.RawMessage `json:"spec"`
}

type applyCommand struct {
	target
	Base     *uint64 `long:"base-revision" description:"Expected revision of the resource, 0 if it must not exist; the change is refused on a mismatch. (default: the current revision)"`
	ChangeID string  `long:"change-id" description:"ID of the change; reuse it to retry the same change. (default: a new random ID)"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute creates or replaces the resource in a file of JSON with comments.
func (c *applyCommand) Execute([]string) error {
	file, kind, err := readResource(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	body := operator.PutBody{ChangeID: changeID(c.ChangeID), Spec: file.Spec}
	if c.Base != nil {
		body.BaseRevision = samphirepass.Revision(*c.Base)
	} else if body.BaseRevision, err = c.currentRevision(ctx, kind, file.Name); err != nil {
		return err
	}
	answer, err := c.client().Put(ctx, kind, file.Name, body)
	if err != nil {
		return fmt.Errorf("change %s: %w", body.ChangeID, err)
	}
	return printJSON(answer, nil)
}

// currentRevision returns the current revision of a resource, 0 if it does not exist.
func (t target) currentRevision(ctx context.Context, kind samphirepass.Kind, name string) (samphirepass.Revision, error) {
	current, err := t.client().Get(ctx, kind, name)
	if r := samphirepass.AsRefusal(err); r != nil && r.Code == samphirepass.CodeNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read current revision: %w", err)
	}
	return current.Revision, nil
}

// changeID returns the given change ID, or a new one if it is empty.
func changeID(given string) samphirepass.ChangeID {
	if given == "" {
		given = uuid.NewString()
	}
	return samphirepass.ChangeID(given)
}

func readResource(path string) (resourceFile, samphirepass.Kind, error) {
	var f resourceFile
	data, err := os.ReadFile(path)
	if err != nil {
		return f, "", fmt.Errorf("read resource: %w", err)
	}
	if data, err = hujson.Standardize(data); err != nil {
		return f, "", fmt.Errorf("resource %s: %w", path, err)
	}
	if err := json.Unmarshal(data, &f); err != nil {
		return f, "", fmt.Errorf("resource %s: %w", path, err)
	}
	kind, err := parseKind(f.Kind)
	if err != nil {
		return f, "", fmt.Errorf("resource %s: %w", path, err)
	}
	return f, kind, nil
}

type watchCommand struct {
	target
	From uint64 `long:"from" description:"Print changes after this revision. (default: the current revision)"`
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
	} `positional-args:"true"`
}

// Execute prints each change as one line of JSON until SIGTERM or SIGINT.
func (c *watchCommand) Execute([]string) error {
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	from := samphirepass.Revision(c.From)
	if from == 0 {
		list, err := c.client().List(ctx, kind)
		if err != nil {
			return err
		}
		from = list.Revision
	}
	err = c.client().Watch(ctx, kind, from, func(line operator.WatchLine) bool {
		if line.Event != nil {
			b, _ := json.Marshal(line.Event)
			fmt.Println(string(b))
		}
		return true
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type deleteCommand struct {
	target
	Base     *uint64     `long:"base-revision" description:"Expected revision of the resource; the change is refused on a mismatch. (default: the current revision)"`
	ChangeID string      `long:"change-id" description:"ID of the change; reuse it to retry the same change. (default: a new random ID)"`
	Args     kindAndName `positional-args:"true"`
}

// Execute removes one resource.
func (c *deleteCommand) Execute([]string) error {
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	ctx, cancel := commandContext()
	defer cancel()
	var base samphirepass.Revision
	if c.Base != nil {
		base = samphirepass.Revision(*c.Base)
	} else if base, err = c.currentRevision(ctx, kind, c.Args.Name); err != nil {
		return err
	}
	return printJSON(c.client().Delete(ctx, kind, c.Args.Name, changeID(c.ChangeID), base))
}

type statusCommand struct {
	target
}

// Execute prints the state of the VM and its view of the system.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	return printJSON(c.client().Status(ctx))
}

type membersCommand struct {
	target
	Add     string `long:"add" description:"Name of the control VM to add."`
	Address string `long:"address" description:"Peer address (IP:port) of the control VM to add; required with --add."`
	Remove  string `long:"remove" description:"Name of the control VM to remove."`
}

// Execute adds or removes a control VM.
func (c *membersCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	switch {
	case c.Add != "" && c.Remove == "":
		return c.client().AddMember(ctx, operator.MemberBody{VM: samphirepass.VM(c.Add), Address: c.Address})
	case c.Remove != "" && c.Add == "":
		return c.client().RemoveMember(ctx, samphirepass.VM(c.Remove))
	default:
		return eris.New("members: exactly one of --add and --remove is required")
	}
}

type releaseCommand struct {
	target
	Args struct {
		VM string `positional-arg-name:"VM" required:"true"`
	} `positional-args:"true"`
}

// Execute releases the seat of an entry VM.
func (c *releaseCommand) Execute([]string) error {
	ctx, cancel := commandContext()
	defer cancel()
	return c.client().ReleaseSeat(ctx, samphirepass.VM(c.Args.VM))
}
