package logs_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphirepass/logs"
)

const gatewayLog = `{"time":1771878900300,"level":"info","vm":"front-1","request":"9c41","route":"r-1","routing":7,"took-ms":41,"message":"gateway: Request answered."}
{"time":1771878900310,"level":"info","vm":"front-1","request":"ffff","routing":7,"message":"gateway: Request answered."}
{"time":1771878900200,"level":"info","vm":"front-1","version":7,"routes":3,"message":"gateway: Routing in force."}
{"time":1771878900400,"level":"info","vm":"front-1","requ`

const collectorLog = `panic: something else
  0.2810 front-2 {"time":1771878900281,"level":"info","vm":"front-2","request":"9c41","answered":27,"message":"collector: Request collected."}

{"time":"soon","vm":"front-2","request":"9c41","message":"of no use"}
`

func TestFind(t *testing.T) {
	tests := map[string]struct {
		subject  string
		want     string
		unparsed int
	}{
		"a request on two VMs": {"9c41", `20:35:00.281     +0 ms  front-2          collector: Request collected. answered=27 request=9c41
20:35:00.300    +19 ms  front-1          gateway: Request answered. request=9c41 route=r-1 routing=7 took-ms=41
`, 3},
		"a routing document": {"7", `20:35:00.200     +0 ms  front-1          gateway: Routing in force. routes=3 version=7
20:35:00.300   +100 ms  front-1          gateway: Request answered. request=9c41 route=r-1 routing=7 took-ms=41
20:35:00.310   +110 ms  front-1          gateway: Request answered. request=ffff routing=7
`, 3},
		"something unknown": {"0000", "", 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var all []logs.Line
			unparsed := 0
			for _, log := range []string{gatewayLog, collectorLog} {
				lines, n, err := logs.Find(strings.NewReader(log), tt.subject)
				require.NoError(t, err)
				all, unparsed = append(all, lines...), unparsed+n
			}
			var out strings.Builder
			require.NoError(t, logs.Write(&out, all))
			require.Equal(t, tt.want, out.String())
			require.Equal(t, tt.unparsed, unparsed)
		})
	}
}

// TestFindSkipsLongLines guards against a reader that stops at a line longer than its buffer.
func TestFindSkipsLongLines(t *testing.T) {
	log := collectorLog + strings.Repeat("x", 3<<20) + "\n" + gatewayLog
	lines, unparsed, err := logs.Find(strings.NewReader(log), "9c41")
	require.NoError(t, err)
	require.Len(t, lines, 2)
	require.Greater(t, unparsed, 3)
}
