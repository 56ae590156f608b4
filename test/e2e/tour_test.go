package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// command runs the operators' command against the cluster and returns what it
// printed and its exit code.
func (cluster *cluster) command(arguments ...string) (string, int) {
	command := exec.Command(binary(cluster.t, "indigobarrow"), arguments...)
	command.Env = append(os.Environ(), "INDIGOBARROW_NODE="+cluster.host(cluster.nodeIDs[0])+":6070")
	output, err := command.CombinedOutput()
	if _, isExit := err.(*exec.ExitError); err != nil && !isExit {
		require.NoError(cluster.t, err)
	}
	return string(output), command.ProcessState.ExitCode()
}

func (cluster *cluster) writeFile(name, content string) string {
	path := filepath.Join(cluster.dir, name)
	require.NoError(cluster.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// TestOperatorCommands drives the commands as the README shows them to a newcomer.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 6)
	cluster.startCallers(4, 400)
	expect := func(code int, want string, arguments ...string) string {
		t.Helper()
		output, got := cluster.command(arguments...)
		require.Equal(t, code, got, "%v: %s", arguments, output)
		require.Contains(t, output, want)
		return output
	}
	expect(0, "lending", "service", "list")
	expect(0, "lending-3", "service", "get", "lending")
	expect(2, "there is no such service", "service", "get", "nothing")
	gentle := cluster.writeFile("gentle.json", `{"name": "gentle", "weight": "1.0 - 0.3 * load"}`)
	expect(0, "WEIGHT", "policy", "check", gentle)
	expect(0, "revision 3", "policy", "apply", "--operation-id", "first", gentle)
	expect(0, "accepted before", "policy", "apply", "--operation-id", "first", gentle)
	expect(3, "the configuration is at revision 3", "policy", "apply", "--base-revision", "2", gentle)
	broken := cluster.writeFile("broken.json", `{"name": "gentle", "weight": "1.0 - lod"}`)
	expect(2, "undeclared reference to 'lod'", "policy", "apply", broken)
	changed := cluster.writeFile("changed.json", `{"name": "gentle", "weight": "1.0 - 0.4 * load"}`)
	expect(0, "0.4 * load", "policy", "diff", changed)
	expect(0, "revision 4", "policy", "apply", changed)
	expect(0, "revision 5", "policy", "rollback", "gentle")
	expect(0, "1.0 - 0.3 * load", "policy", "get", "gentle")
	time.Sleep(4 * time.Second)
	expect(0, "WEIGHT NOW", "policy", "check", "--against", "live", cluster.writeFile("default.json", `{"name": "default"}`))
	expect(0, "revision 6", "drain", "lending/lending-1")
	expect(0, "6 in force", "status", "--wait")
	expect(2, "has no slash", "drain", "lending")
	expect(2, "has no such back end", "drain", "lending/lending-9")
	expect(0, "revision 7", "undrain", "lending/lending-1")
	expect(0, "7 in force", "status", "--wait")
	cluster.explainSomeFlow(expect)
	settings := cluster.writeFile("bad.yaml", "id: maadi-9\nzone: maadi\nstore_adress: 127.0.0.1:7000\nlog_level: loud\n")
	output := expect(2, "did you mean store_address?", "config", "check", "--settings", settings)
	require.Contains(t, output, "line 4: log_level")
	expect(1, "no answer", "status", "--node", "127.0.0.1:1")
	token := expect(0, "token ", "token", "create", "root", "--role", "administrator")
	require.Contains(t, token, "only its hash")
	require.Eventually(t, func() bool {
		_, code := cluster.command("drain", "lending/lending-1")
		return code == 2
	}, 5*time.Second, 100*time.Millisecond, "without a token nothing may be changed any more")
	cluster.verify(cluster.finishCallers())
}

// explainSomeFlow explains a flow of the callers and one that nobody has seen.
func (cluster *cluster) explainSomeFlow(expect func(int, string, ...string) string) {
	recent := expect(0, lendingAddress, "explain", "--recent")
	var flow string
	for _, line := range strings.Fields(recent) {
		if strings.Contains(line, lendingAddress) {
			flow = line
		}
	}
	output := expect(0, "service lending -> lending-", "explain", flow)
	require.Contains(cluster.t, output, "chosen")
	require.Contains(cluster.t, output, "flow table has it at back end")
	expect(0, "decided nothing about this flow", "explain", "10.64.9.9:1-"+lendingAddress+":80")
	expect(2, "want SOURCE:PORT-DESTINATION:PORT", "explain", "nonsense")
}
