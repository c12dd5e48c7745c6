package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes bounds a line that is looked at; no process writes a longer one.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	// TimeMs is the wall time on the clock of the VM that wrote the line, in milliseconds.
	TimeMs  int64
	VM      string
	Message string
	// Fields holds the other keys with their values as they were written, in the order of keys.
	Fields []Field
}

// Field is one key of a line with its value.
type Field struct{ Key, Value string }

// subjectKeys are the keys under which a line names what it is about: a request, a routing version or a leaf.
var subjectKeys = []string{"request", "version", "routing", "leaf", "last-leaf", "collector"}

// Find returns the lines of a log that are about subject, and how many lines could not be read: a torn line at the end of a file
// that was cut, or text of something else.
func Find(log io.Reader, subject string) (lines []Line, unread int, err error) {
	in := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			// The rest of the line counts as further ones that cannot be read.
			unread++
			continue
		}
		if len(bytes.TrimSpace(text)) > 0 {
			if line, ok := parse(text); !ok {
				unread++
			} else if line.about(subject) {
				lines = append(lines, line)
			}
		}
		if errors.Is(err, io.EOF) {
			return lines, unread, nil
		}
		if err != nil {
			return lines, unread, fmt.Errorf("read log: %w", err)
		}
	}
}

// parse reads one line; something may stand before the object, as collectors of logs often put the time and the process there.
func parse(text []byte) (Line, bool) {
	var fields map[string]json.RawMessage
	i := bytes.IndexByte(text, '{')
	if i < 0 || json.Unmarshal(text[i:], &fields) != nil {
		return Line{}, false
	}
	var line Line
	for key, value := range fields {
		plain := string(value)
		if unquoted := ""; json.Unmarshal(value, &unquoted) == nil {
			plain = unquoted
		}
		switch key {
		case "time":
			var err error
			if line.TimeMs, err = strconv.ParseInt(plain, 10, 64); err != nil {
				return Line{}, false
			}
		case "vm":
			line.VM = plain
		case "message":
			line.Message = plain
		case "level":
		default:
			line.Fields = append(line.Fields, Field{key, plain})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return cmp.Compare(a.Key, b.Key) })
	return line, line.TimeMs > 0 && line.Message != ""
}

// about reports whether a line names subject.
func (l Line) about(subject string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == subject && slices.Contains(subjectKeys, f.Key) })
}

// Write prints lines in the order of time, each with the time since the first.
func Write(w io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.TimeMs, b.TimeMs) })
	for _, l := range lines {
		var fields strings.Builder
		for _, f := range l.Fields {
			fmt.Fprintf(&fields, " %s=%s", f.Key, f.Value)
		}
		at := time.UnixMilli(l.TimeMs).UTC().Format("15:04:05.000")
		if _, err := fmt.Fprintf(w, "%s %+6d ms  %-16s %s%s\n", at, l.TimeMs-lines[0].TimeMs, l.VM, l.Message, fields.String()); err != nil {
			return fmt.Errorf("print log lines: %w", err)
		}
	}
	return nil
}
