package disk_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/disk"
)

// TestProofFolderIsSynced guards against a SyncFolder that does not call sync, after which new file names may be lost in a crash.
// The file system at /proc refuses to sync folders, so a real call returns an error.
func TestProofFolderIsSynced(t *testing.T) {
	folder, err := disk.OpenFolder("/proc/self")
	require.NoError(t, err)
	require.ErrorContains(t, folder.SyncFolder(), "sync data folder")
	folder, err = disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	require.NoError(t, folder.SyncFolder())
}
