package disk_test

import (
	"slices"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"samphirepass"
	"samphirepass/disk"
	"samphirepass/quorum"
)

var errFault = eris.New("input/output error")

// memory is a data folder that keeps apart what is written and what is synced, and fails on demand.
type memory struct {
	names   map[string]*content
	durable map[string]*content
	// failSync and failWrite make the next such call fail.
	failSync, failWrite bool
}

type content struct {
	written, synced []byte
}

func newMemory() *memory {
	return &memory{names: map[string]*content{}, durable: map[string]*content{}}
}

// crash keeps what was synced, and torn bytes of what was only written.
func (m *memory) crash(torn int) {
	m.names = map[string]*content{}
	for name, c := range m.durable {
		end := min(len(c.synced)+torn, len(c.written))
		kept := slices.Clone(c.written[:max(end, len(c.synced))])
		m.names[name] = &content{written: kept, synced: kept}
	}
	m.durable = map[string]*content{}
	for name, c := range m.names {
		m.durable[name] = c
	}
}

type memoryFile struct {
	m *memory
	c *content
}

func (m *memory) Append(name string) (samphirepass.File, error) {
	if m.names[name] == nil {
		m.names[name] = &content{}
	}
	return &memoryFile{m: m, c: m.names[name]}, nil
}

func (m *memory) Read(name string) ([]byte, error) { return slices.Clone(m.names[name].written), nil }

func (m *memory) List() ([]string, error) {
	var out []string
	for name := range m.names {
		out = append(out, name)
	}
	slices.Sort(out)
	return out, nil
}

func (m *memory) Rename(from, to string) error {
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memory) Remove(name string) error {
	delete(m.names, name)
	return nil
}

func (m *memory) SyncFolder() error {
	m.durable = map[string]*content{}
	for name, c := range m.names {
		m.durable[name] = c
	}
	return nil
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if f.m.failWrite {
		return 0, errFault
	}
	f.c.written = append(f.c.written, b...)
	return len(b), nil
}

func (f *memoryFile) Sync() error {
	if f.m.failSync {
		return errFault
	}
	f.c.synced = slices.Clone(f.c.written)
	return nil
}

func (f *memoryFile) Truncate(n int64) error {
	f.c.written = f.c.written[:n]
	return nil
}

func (f *memoryFile) Close() error { return nil }

func entry(i samphirepass.Revision, term samphirepass.Term) quorum.Entry {
	return quorum.Entry{Index: i, Term: term, Kind: quorum.EntryData, Data: []byte{byte(i), byte(term)}}
}

func entries(term samphirepass.Term, from, to samphirepass.Revision) []quorum.Entry {
	var out []quorum.Entry
	for i := from; i <= to; i++ {
		out = append(out, entry(i, term))
	}
	return out
}

func open(t *testing.T, m *memory) (*disk.Store, disk.RecoveredState) {
	t.Helper()
	s, l, err := disk.Open(m, "disk-new")
	require.NoError(t, err)
	return s, l
}

func (m *memory) newest(t *testing.T, prefix string) *content {
	t.Helper()
	names, _ := m.List()
	found := ""
	for _, n := range names {
		if len(n) > len(prefix) && n[:len(prefix)] == prefix {
			found = n
		}
	}
	require.NotEmpty(t, found)
	return m.names[found]
}

func TestProofDiskSurvives(t *testing.T) {
	hard := &quorum.HardState{Term: 4, Vote: "disk-b"}
	tests := map[string]struct {
		act  func(t *testing.T, m *memory, s *disk.Store)
		torn int
		want []quorum.Entry
		from samphirepass.Revision
	}{
		"synced entries": {
			act:  func(t *testing.T, _ *memory, s *disk.Store) { require.NoError(t, s.Save(hard, entries(4, 1, 300))) },
			want: entries(4, 1, 300),
		},
		"a torn tail": {
			act: func(t *testing.T, m *memory, s *disk.Store) {
				require.NoError(t, s.Save(hard, entries(4, 1, 5)))
				m.failSync = true
				require.Error(t, s.Save(nil, entries(4, 6, 9)))
				m.failSync = false
			},
			torn: 15, want: entries(4, 1, 5),
		},
		"a replaced suffix": {
			act: func(t *testing.T, _ *memory, s *disk.Store) {
				require.NoError(t, s.Save(hard, entries(3, 1, 9)))
				require.NoError(t, s.Save(nil, entries(4, 5, 6)))
			},
			want: append(entries(3, 1, 4), entries(4, 5, 6)...),
		},
		"a snapshot with a tail": {
			act: func(t *testing.T, _ *memory, s *disk.Store) {
				require.NoError(t, s.Save(hard, entries(4, 1, 9)))
				require.NoError(t, s.SaveSnapshot(quorum.Snapshot{Index: 6, Term: 4}, entries(4, 7, 9)))
				require.NoError(t, s.Save(nil, entries(4, 10, 11)))
			},
			from: 6, want: entries(4, 7, 11),
		},
		"a snapshot whose new segment was never started": {
			act: func(t *testing.T, m *memory, s *disk.Store) {
				require.NoError(t, s.Save(hard, entries(4, 1, 9)))
				before := m.clone()
				require.NoError(t, s.SaveSnapshot(quorum.Snapshot{Index: 6, Term: 4}, entries(4, 7, 9)))
				m.putBack(before, "segment-")
			},
			from: 6, want: entries(4, 7, 9),
		},
		"a received snapshot over a log that differs": {
			act: func(t *testing.T, m *memory, s *disk.Store) {
				require.NoError(t, s.Save(hard, entries(2, 1, 9)))
				before := m.clone()
				require.NoError(t, s.SaveSnapshot(quorum.Snapshot{Index: 6, Term: 4}, nil))
				m.putBack(before, "segment-")
			},
			from: 6, want: nil,
		},
		"hundreds of changes and restarts": {
			act: func(t *testing.T, m *memory, s *disk.Store) {
				require.NoError(t, s.Save(hard, nil))
				for i := samphirepass.Revision(1); i <= 400; i++ {
					require.NoError(t, s.Save(nil, entries(4, i, i)))
					if i%150 == 0 {
						require.NoError(t, s.SaveSnapshot(quorum.Snapshot{Index: i, Term: 4}, nil))
					}
					if i%70 == 0 {
						s, _ = open(t, m)
					}
				}
			},
			from: 300, want: entries(4, 301, 400),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemory()
			s, first := open(t, m)
			require.Equal(t, disk.Identity{Disk: "disk-new", Boot: 1}, first.Identity)
			tt.act(t, m, s)
			m.crash(tt.torn)
			_, l := open(t, m)
			require.Equal(t, *hard, l.HardState)
			require.Equal(t, tt.from, l.Snapshot.Index)
			require.Equal(t, tt.want, append([]quorum.Entry(nil), l.Entries...))
			require.EqualValues(t, "disk-new", l.Disk)
		})
	}
}

func (m *memory) clone() map[string]*content {
	out := map[string]*content{}
	for n, c := range m.names {
		out[n] = &content{written: slices.Clone(c.written), synced: slices.Clone(c.synced)}
	}
	return out
}

// putBack replaces the files with a prefix by those of an earlier time, as if the steps since had not come.
func (m *memory) putBack(before map[string]*content, prefix string) {
	for n := range m.names {
		if len(n) > len(prefix) && n[:len(prefix)] == prefix {
			delete(m.names, n)
		}
	}
	for n, c := range before {
		if len(n) > len(prefix) && n[:len(prefix)] == prefix {
			m.names[n] = c
		}
	}
	_ = m.SyncFolder()
}

func TestProofDiskFaults(t *testing.T) {
	tests := map[string]struct {
		harm func(t *testing.T, m *memory)
	}{
		"a bad sector in the middle of the log": {harm: func(t *testing.T, m *memory) {
			c := m.newest(t, "segment-")
			c.written[len(c.written)/2] ^= 0xff
		}},
		"a bad sector in the snapshot": {harm: func(t *testing.T, m *memory) {
			c := m.newest(t, "snapshot-")
			c.written[len(c.written)/2] ^= 0xff
		}},
		"a lost identity": {harm: func(_ *testing.T, m *memory) { delete(m.names, "identity") }},
		"a bad identity": {harm: func(_ *testing.T, m *memory) {
			c := m.names["identity"]
			c.written[len(c.written)-1] ^= 0xff
		}},
		"a lost snapshot": {harm: func(_ *testing.T, m *memory) {
			for n := range m.names {
				if n[:4] == "snap" {
					delete(m.names, n)
				}
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemory()
			s, _ := open(t, m)
			require.NoError(t, s.Save(&quorum.HardState{Term: 1}, entries(1, 1, 50)))
			require.NoError(t, s.SaveSnapshot(quorum.Snapshot{Index: 20, Term: 1, Data: make([]byte, 100)}, entries(1, 21, 50)))
			tt.harm(t, m)
			_, _, err := disk.Open(m, "disk-other")
			require.ErrorIs(t, err, disk.ErrCorrupt)
		})
	}
}

func TestProofFailedWritesAreReported(t *testing.T) {
	tests := map[string]func(m *memory){
		"full disk":   func(m *memory) { m.failWrite = true },
		"failed sync": func(m *memory) { m.failSync = true },
	}
	for name, harm := range tests {
		t.Run(name, func(t *testing.T) {
			m := newMemory()
			s, _ := open(t, m)
			harm(m)
			require.ErrorIs(t, s.Save(nil, entries(1, 1, 1)), errFault)
			require.ErrorIs(t, s.SaveSnapshot(quorum.Snapshot{Index: 1, Term: 1}, nil), errFault)
		})
	}
}

func TestReformatGivesANewIdentity(t *testing.T) {
	m := newMemory()
	s, _ := open(t, m)
	require.NoError(t, s.Save(&quorum.HardState{Term: 9, Vote: "x"}, entries(1, 1, 5)))
	id, err := s.Reformat("disk-second")
	require.NoError(t, err)
	require.EqualValues(t, "disk-second", id.Disk)
	_, l := open(t, m)
	require.EqualValues(t, "disk-second", l.Disk)
	require.Empty(t, l.Entries)
	require.Equal(t, quorum.HardState{}, l.HardState)
}

func FuzzSegment(f *testing.F) {
	m := newMemory()
	s, _, err := disk.Open(m, "disk-new")
	if err != nil {
		f.Fatal(err)
	}
	_ = s.Save(&quorum.HardState{Term: 1}, entries(1, 1, 3))
	names, _ := m.List()
	for _, n := range names {
		f.Add(m.names[n].written)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMemory()
		_, _, err := disk.Open(m, "disk-new")
		require.NoError(t, err)
		for n, c := range m.names {
			if n != "identity" {
				c.written = data
			}
		}
		// Any content is read, refused as corrupt, or taken for a torn tail; it never panics.
		_, _, _ = disk.Open(m, "disk-new")
	})
}
