package flowtrace

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const log = `   1.0 edge-a time=2026-06-07T12:04:01.000Z level=INFO msg="Control: configuration in force." node=edge-a version=2
   2.0 edge-a time=2026-06-07T12:04:02.000Z level=INFO msg="Traffic: flow sent to a back end." node=edge-a flow=1.1.1.1:1-2.2.2.2:443 reason=new_flow backend=i-1
   2.1 edge-a time=2026-06-07T12:04:02.100Z level=INFO msg="Traffic: request passes." node=edge-a flow=1.1.1.1:1-2.2.2.2:443 reason=token request=abc backend=i-1
not a line of ours
   2.2 edge-a time=2026-06-07T12:04:02.200Z level=INFO msg="Traffic: request passes." node=edge-a flow=1.1.1.1:9-2.2.2.2:443 reason=token request=other backend=i-2
   2.3 edge-b time=2026-06-07T12:04:02.050Z level=INFO msg=Started. node=edge-b
   2.4 edge-b time=2026-06-07T12:04:02.400Z level=WARN msg="Traffic: packet dropped." node=edge-b flow=1.1.1.1:1-2.2.2.2:443 reason=unknown_token token=7
   9.9 edge-b time=2026-06-07T12:04:09.900Z level=INFO msg=Stopped. node=edge-b
`

func TestFindByRequest(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Len(t, lines, 7)
	var output bytes.Buffer
	require.NoError(t, Write(&output, Find(lines, "abc")))
	written := strings.Split(strings.TrimSpace(output.String()), "\n")
	require.Len(t, written, 5)
	for index, part := range []string{"configuration in force", "flow sent", "Started", "request=abc", "unknown_token"} {
		if index == 2 {
			continue
		}
		require.Contains(t, output.String(), part)
	}
	require.NotContains(t, output.String(), "request=other")
	require.NotContains(t, output.String(), "Stopped")
	require.Equal(t, Find(lines, "abc"), Find(lines, "1.1.1.1:1-2.2.2.2:443"))
	require.Empty(t, Find(lines, "nobody"))
}

// The ID of a refused request is never logged, so it can be found by its client only.
func TestFindByClient(t *testing.T) {
	lines, err := Read(strings.NewReader(log + `   3.0 edge-a time=2026-06-07T12:04:03.000Z level=WARN msg="Traffic: flow refused." node=edge-a flow=1.1.1.12:7-2.2.2.2:443 reason=no_room pressure=5.1
   3.1 edge-b time=2026-06-07T12:04:03.100Z level=WARN msg="Traffic: flow refused." node=edge-b flow=1.1.1.12:8-2.2.2.2:443 reason=no_room pressure=5.2
`))
	require.NoError(t, err)
	var output bytes.Buffer
	require.NoError(t, Write(&output, Find(lines, "1.1.1.12")))
	require.Equal(t, 2, strings.Count(output.String(), "no_room"))
	require.NotContains(t, output.String(), "request=abc")
}

// Two flows that used the same addresses and ports one after the other have one name in the log. A
// request selects the lines of its own flow, also where they are mixed up.
func TestFindSeparatesFlowsOfOnePort(t *testing.T) {
	lines, err := Read(strings.NewReader(`time=2026-06-07T12:04:01.000Z msg="Traffic: flow sent to a back end." node=edge-a flow=1.1.1.1:1-2.2.2.2:443 backend=i-1 sequence=4294967290
time=2026-06-07T12:04:01.100Z msg="Traffic: request passes." node=edge-a flow=1.1.1.1:1-2.2.2.2:443 request=one backend=i-1 sequence=4294967291 acknowledged=900
time=2026-06-07T12:04:01.400Z msg="Traffic: flow sent to a back end." node=edge-b flow=1.1.1.1:1-2.2.2.2:443 backend=i-2 sequence=75000
time=2026-06-07T12:04:01.500Z msg="Traffic: request passes." node=edge-a flow=1.1.1.1:1-2.2.2.2:443 request=two backend=i-2 sequence=75001 acknowledged=3000000000
time=2026-06-07T12:04:01.550Z msg="Traffic: flow refused." node=edge-a flow=1.1.1.1:1-2.2.2.2:443 reason=dead_backend backend=i-1 sequence=20 acknowledged=1900
time=2026-06-07T12:04:01.600Z msg="Traffic: flow refused." node=edge-a flow=1.1.1.1:1-2.2.2.2:443 reason=dead_backend backend=i-2 sequence=75101 acknowledged=3000001000
`))
	require.NoError(t, err)
	backends := func(query string) (all []string) {
		for _, line := range Find(lines, query) {
			all = append(all, line.Backend)
		}
		return all
	}
	require.Equal(t, []string{"i-1", "i-1", "i-1"}, backends("one"))
	require.Equal(t, []string{"i-2", "i-2", "i-2"}, backends("two"))
	require.Len(t, backends("1.1.1.1:1-2.2.2.2:443"), 6)
}
