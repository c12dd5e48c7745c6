package disk_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/disk"
)

// TestProofFolderIsSynced has a folder on a file system that refuses to sync folders: names last only if the sync is really asked for.
func TestProofFolderIsSynced(t *testing.T) {
	folder, err := disk.OpenFolder("/proc/self")
	require.NoError(t, err)
	require.ErrorContains(t, folder.SyncFolder(), "sync data folder")
	folder, err = disk.OpenFolder(t.TempDir())
	require.NoError(t, err)
	require.NoError(t, folder.SyncFolder())
}
