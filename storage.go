package samphirepass

import "io"

// File is one open file of a data folder.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once everything written is on stable storage.
	Sync() error
	// Truncate sets the length in bytes.
	Truncate(size int64) error
}

// DataFolder is a flat folder of files; names are relative and contain no separators.
type DataFolder interface {
	// Append opens name for appending and creates it if needed.
	Append(name string) (File, error)
	// Read returns the content of name.
	Read(name string) ([]byte, error)
	// List returns all names in ascending order.
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder() error
}
