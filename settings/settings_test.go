package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/settings"
	"samphirepass/strict"
)

const validSettings = `{
  // a control VM
  "role": "control",
  "vm": "c1",
  "data-centre": "derby",
  "api": "127.0.0.1:8001",
  "peer": "127.0.0.1:8002",
  "control": [{"vm": "c1", "address": "127.0.0.1:8002"}],
  "data-folder": "/var/lib/samphirepass",
  "entry-seats": 10,
}`

func TestSettings(t *testing.T) {
	tests := map[string]struct {
		change []string
		want   []string
	}{
		"valid":                    {},
		"not json":                 {change: []string{`{`, ``}, want: []string{"line 1: document"}},
		"an unknown field":         {change: []string{`"vm"`, `"colour": 1, "vm"`}, want: []string{"line 4: colour: unknown field"}},
		"a host name":              {change: []string{`"127.0.0.1:8001"`, `"localhost:8001"`}, want: []string{"line 6: api: is out of range (allowed: an IP number with a port)"}},
		"a missing required value": {change: []string{`"data-centre": "derby",`, ``}, want: []string{"data-centre: is missing"}},
		"no data folder":           {change: []string{`"data-folder": "/var/lib/samphirepass",`, ``}, want: []string{"data-folder: is missing"}},
		"the wrong type":           {change: []string{`10`, `"ten"`}, want: []string{"line 10: entry-seats: has the wrong type (allowed: a whole number)"}},
		"out of range":             {change: []string{`10`, `10001`}, want: []string{"line 10: entry-seats: is out of range (allowed: at least 1, at most 10000)"}},
		"an element's field":       {change: []string{`"address": "127.0.0.1:8002"`, `"address": 5`}, want: []string{"line 8: control[0].address: has the wrong type (allowed: a string)"}},
		"an element out of range":  {change: []string{`"address": "127.0.0.1:8002"`, `"address": "x"`}, want: []string{"line 8: control[0].address: is out of range (allowed: an IP number with a port)"}},
		"own VM not listed":        {change: []string{`"vm": "c1", "address"`, `"vm": "c2", "address"`}, want: []string{"control: does not list this VM"}},
		"several errors at once":   {change: []string{`"c1",`, `1,`, `10`, `"x"`, `"api"`, `"apy"`}, want: []string{"line 4: vm:", "line 6: apy: unknown field", "line 10: entry-seats:", "line 1: api: is missing"}},
		"an unknown role":          {change: []string{`"control",`, `"king",`}, want: []string{"role: is out of range (allowed: one of entry, control)"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := validSettings
			for i := 0; i < len(tt.change); i += 2 {
				text = strings.Replace(text, tt.change[i], tt.change[i+1], 1)
			}
			f, err := settings.Parse([]byte(text))
			if tt.want == nil {
				require.NoError(t, err)
				require.Equal(t, f.Peer, f.PeerListen)
				return
			}
			var fieldErrors strict.FieldErrors
			require.ErrorAs(t, err, &fieldErrors)
			require.Len(t, fieldErrors, len(tt.want), err.Error())
			for _, want := range tt.want {
				require.Contains(t, err.Error(), want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := settings.Parse(data); err != nil {
			require.NotEmpty(t, err.Error())
		}
	})
}
