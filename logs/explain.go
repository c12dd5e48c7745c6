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

// maxLineBytes is the length of the longest line that is parsed; no process writes a longer one.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	// TimeMs is the wall-clock time of the VM that wrote the line, in milliseconds.
	TimeMs  int64
	VM      string
	Message string
	// Fields holds the other keys with their values as written, sorted by key.
	Fields []Field
}

// Field is one key of a line with its value.
type Field struct{ Key, Value string }

// subjectKeys are the keys whose values name what a line is about: a request, a routing version, a leaf or a collector.
var subjectKeys = []string{"request", "version", "routing", "leaf", "last-leaf", "collector"}

// Find returns the lines of a log that are about subject, and the number of lines that could not be parsed, such as a truncated
// last line or the output of another program.
func Find(log io.Reader, subject string) (lines []Line, unparsed int, err error) {
	in := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			// The rest of the line is counted as further lines that could not be parsed.
			unparsed++
			continue
		}
		if len(bytes.TrimSpace(text)) > 0 {
			if line, ok := parseLine(text); !ok {
				unparsed++
			} else if line.isAbout(subject) {
				lines = append(lines, line)
			}
		}
		if errors.Is(err, io.EOF) {
			return lines, unparsed, nil
		}
		if err != nil {
			return lines, unparsed, fmt.Errorf("read log: %w", err)
		}
	}
}

// parseLine parses one line. It skips text before the JSON object, because log collectors often put the time and the process
// name there.
func parseLine(text []byte) (Line, bool) {
	var fields map[string]json.RawMessage
	i := bytes.IndexByte(text, '{')
	if i < 0 || json.Unmarshal(text[i:], &fields) != nil {
		return Line{}, false
	}
	var line Line
	for key, value := range fields {
		plainValue := string(value)
		if unquoted := ""; json.Unmarshal(value, &unquoted) == nil {
			plainValue = unquoted
		}
		switch key {
		case "time":
			var err error
			if line.TimeMs, err = strconv.ParseInt(plainValue, 10, 64); err != nil {
				return Line{}, false
			}
		case "vm":
			line.VM = plainValue
		case "message":
			line.Message = plainValue
		case "level":
		default:
			line.Fields = append(line.Fields, Field{key, plainValue})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return cmp.Compare(a.Key, b.Key) })
	return line, line.TimeMs > 0 && line.Message != ""
}

// isAbout reports whether the value of one of the subject keys is subject.
func (l Line) isAbout(subject string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == subject && slices.Contains(subjectKeys, f.Key) })
}

// Write sorts lines by time and prints them to w, each with the time since the first.
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
