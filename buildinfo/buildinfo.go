package buildinfo

import (
	"bytes"
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
	"sync"
)

// unknownVersion is what the Go toolchain calls a version that the build did not record.
const unknownVersion = "(devel)"

// idLength is the length of a shortened build ID.
const idLength = 12

// goNoteHeader is the length of the header of the ELF note that holds the build ID: the sizes of name and content, the type, and the name "Go".
const goNoteHeader = 16

// Version returns the version of the module, which holds the revision and the time of its commit where the build recorded them, and
// "(devel)" otherwise.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return unknownVersion
	}
	return info.Main.Version
}

// ID returns a shortened hash of the program's content, as the Go linker recorded it, or an empty string if it is not known. Programs with
// the same ID are the same build.
var ID = sync.OnceValue(func() string {
	path, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	section := f.Section(".note.go.buildid")
	if section == nil {
		return ""
	}
	data, err := section.Data()
	if err != nil || len(data) <= goNoteHeader {
		return ""
	}
	return contentID(string(bytes.TrimRight(data[goNoteHeader:], "\x00")))
})

// contentID returns the part of a Go build ID that hashes the content: the last one of those that slashes separate.
func contentID(id string) string {
	id = id[strings.LastIndexByte(id, '/')+1:]
	return id[:min(len(id), idLength)]
}
