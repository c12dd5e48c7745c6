package disk

import (
	"fmt"
	"os"
	"path/filepath"

	"samphirepass"
)

// Folder is a data folder in the file system.
type Folder struct {
	path string
}

// OpenFolder opens the data folder at path and creates it if needed.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	return &Folder{path: path}, nil
}

// Append opens name for appending and creates it if needed.
func (f *Folder) Append(name string) (samphirepass.File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, fmt.Errorf("open for append: %w", err)
	}
	return file, nil
}

// Read returns the whole content of name.
func (f *Folder) Read(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(f.path, name))
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return b, nil
}

// List returns all names in ascending order.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename renames a file and replaces a file that already has the new name.
func (f *Folder) Rename(from, to string) error {
	if err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to)); err != nil {
		return fmt.Errorf("rename file: %w", err)
	}
	return nil
}

// Remove removes name.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return fmt.Errorf("remove file: %w", err)
	}
	return nil
}

// SyncFolder makes the creation, renaming and removal of files durable.
func (f *Folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}
