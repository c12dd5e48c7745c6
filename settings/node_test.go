package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/settings"
)

const validNode = `{
	// A registrar.
	"role": "registrar", "vm": "front-1", "data-centre": "derby", "ip": "10.1.0.39", "control": "10.1.0.39:8224",
	"metrics": "10.1.0.39:9465", "peer-port": 7740, "seeds": ["10.1.0.39:8224", "10.2.0.33:8224"], "found": true,
	"data-folder": "/data/r", "lost-disks": 1, "retry-budget": {"ratio": 0.2, "window-ms": 10000, "slack": 60}, "stop-ms": 6000,
}`

func TestParseNode(t *testing.T) {
	n, err := settings.ParseNode([]byte(validNode))
	require.NoError(t, err)
	require.Equal(t, "10.1.0.39:7740", n.PeerAddress())
	require.Equal(t, "10.1.0.39:7740", n.PeerListen())
	require.Equal(t, []string{"10.1.0.39:7740", "10.2.0.33:7740"}, n.SeedPeers())
	require.Equal(t, 3, n.Voters())
}

// TestOptionalSections guards against a gateway that does not start because its settings bound quotas or cold leaves.
func TestOptionalSections(t *testing.T) {
	n, err := settings.ParseNode([]byte(validNode))
	require.NoError(t, err)
	require.Nil(t, n.Quota)
	require.Nil(t, n.WarmUp)
	const sections = `"quota": {"window-ms": 5000, "overage": 0.1, "slack": 20}, "warm-up": {"factor": 1.5, "slack": 5},
		"data-centres": ["derby"], "memory-mb": 184, "max-descriptors": 4100, "balancing": "auto", "stop-ms"`
	n, err = settings.ParseNode([]byte(strings.Replace(validNode, `"stop-ms"`, sections, 1)))
	require.NoError(t, err)
	require.Equal(t, &settings.Quota{WindowMs: 5000, Overage: 0.1, Slack: 20}, n.Quota)
	require.Equal(t, &settings.WarmUp{Factor: 1.5, Slack: 5}, n.WarmUp)
	_, err = settings.ParseNode([]byte(strings.Replace(validNode, `"stop-ms"`, `"quota": {"overage": 0.1}, "warm-up": null, "stop-ms"`, 1)))
	require.ErrorContains(t, err, "quota.window-ms:")
	require.ErrorContains(t, err, "warm-up:")
}

func TestParseNodeRefuses(t *testing.T) {
	tests := map[string]struct{ old, new, path string }{
		"unknown role":            {`"registrar"`, `"both"`, "role"},
		"no VM":                   {`"vm": "front-1", `, ``, "vm"},
		"IP is a name":            {`"ip": "10.1.0.39"`, `"ip": "front-1"`, "ip"},
		"no control address":      {`"control": "10.1.0.39:8224",`, ``, "control"},
		"gateway without a front": {`"registrar"`, `"gateway"`, "front"},
		"control without a port":  {`"control": "10.1.0.39:8224"`, `"control": "10.1.0.39"`, "control"},
		"no metrics":              {`"metrics": "10.1.0.39:9465", `, ``, "metrics"},
		"port out of range":       {`7740`, `77400`, "peer-port"},
		"no seeds":                {`["10.1.0.39:8224", "10.2.0.33:8224"]`, `[]`, "seeds"},
		"seed without a port":     {`"10.2.0.33:8224"`, `"10.2.0.33"`, "seeds[1]"},
		"found of another type":   {`true`, `"yes"`, "found"},
		"negative ratio":          {`"ratio": 0.2`, `"ratio": -0.2`, "retry-budget.ratio"},
		"no window":               {`"window-ms": 10000, `, ``, "retry-budget.window-ms"},
		"no time to stop":         {`6000`, `0`, "stop-ms"},
		"unknown field":           {`"found"`, `"founds"`, "founds"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			changed := strings.Replace(validNode, tt.old, tt.new, 1)
			require.NotEqual(t, validNode, changed)
			_, err := settings.ParseNode([]byte(changed))
			require.ErrorContains(t, err, tt.path+":")
		})
	}
}

// TestTemplateNamesEveryField guards against a settings template of the deployment that lacks a field of Node.
func TestTemplateNamesEveryField(t *testing.T) {
	template, err := os.ReadFile("../deploy/node.jsonc")
	require.NoError(t, err)
	for _, field := range []string{"role", "vm", "data-centre", "ip", "front", "ready", "control", "metrics", "peer-port", "seeds", "found", "data-folder", "lost-disks", "retry-budget", "stop-ms"} {
		require.Contains(t, string(template), `"`+field+`":`)
	}
}

func FuzzParseNode(f *testing.F) {
	f.Add([]byte(validNode))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := settings.ParseNode(data)
		if err == nil {
			require.NotEmpty(t, n.SeedPeers())
			require.NotEmpty(t, n.PeerAddress())
		}
	})
}
