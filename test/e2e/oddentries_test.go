package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// oddEntriesNetwork is the loopback network of this test.
	oddEntriesNetwork = 14
	// oddEntriesBalancers is more than the number of balancers that read the store for the others.
	oddEntriesBalancers = 12
	// deepNesting is deeper than decoders recurse.
	deepNesting = 120_000
	// applyBound is the time within which a change of the entries is in force.
	applyBound = 3 * time.Second
)

// validEntry is an entry of a back end that no process serves. Odd values are made of it.
const validEntry = `{"backend_pool":"lending","addr":"127.114.2.250:8080","zone":"maadi","version":"v1","capacity":2,"state":"ready","warmup_left_ms":0,"seq":4,"born":1}`

// oddValues returns values that another client of the store may write among the back ends.
func oddValues() []string {
	replaced := func(old, odd string) string { return strings.Replace(validEntry, old, odd, 1) }
	digits := strings.Repeat("9", 5000)
	values := []string{"", "null", "7", "[]", "{}", `"text"`, "{", "\x00", "\xff\xfe", validEntry[:40], validEntry + "}", strings.Repeat("x", 1<<16),
		strings.Repeat("[", deepNesting), strings.Repeat(`{"a":`, deepNesting) + "1" + strings.Repeat("}", deepNesting),
		replaced(`"seq":4`, `"seq":`+strings.Repeat("[", deepNesting)+strings.Repeat("]", deepNesting))}
	for _, field := range []string{`"capacity":2`, `"warmup_left_ms":0`, `"seq":4`, `"born":1`} {
		name, _, _ := strings.Cut(field, ":")
		for _, odd := range []string{"1e400", "-1e400", digits, `"2"`, "[2]", "{}", "NaN", "true"} {
			values = append(values, replaced(field, name+":"+odd))
		}
	}
	for _, field := range []string{`"capacity":2`, `"born":1`} {
		name, _, _ := strings.Cut(field, ":")
		for _, odd := range []string{"0." + digits, "-1", "18446744073709551616"} {
			values = append(values, replaced(field, name+":"+odd))
		}
	}
	for _, odd := range []string{"127.114.2.250:0", "127.114.2.250:65536", "127.114.2.250:-1", "127.114.2.250:1e3", "127.114.2.250", "[::1]:80", "0.0.0.0:80",
		"host:80", "127.114.2.999:80", "", strings.Repeat("1", 100_000)} {
		values = append(values, replaced("127.114.2.250:8080", odd))
	}
	for old, odd := range map[string]string{`"lending"`: "7", `"maadi"`: "null", `"ready"`: `"odd"`, `"v1"`: "{}"} {
		values = append(values, replaced(old, odd))
	}
	return values
}

// strangeValues returns values that can be read, of back ends that take no new flows.
func strangeValues() []string {
	leaving := strings.Replace(validEntry, `"ready"`, `"draining"`, 1)
	var values []string
	for _, odd := range []string{`"warmup_left_ms":1e300`, `"warmup_left_ms":-1e300`, `"seq":18446744073709551616`, `"seq":-1`, `"seq":null`, `"odd":[{}]`} {
		values = append(values, strings.Replace(leaving, `"seq":4`, odd, 1))
	}
	return values
}

// oddKeys are keys under which other clients may leave something, beside those of back ends.
var oddKeys = []string{"servers/", "servers/i-", "servers/i-0", "servers/i-zz", "servers/i-11112222333344445", "servers/a/b", "servers/\xff",
	"indigobarrow/balancers/maadi/odd", "indigobarrow/balancers/", "indigobarrow/policies/odd", "indigobarrow/leads/maadi", "indigobarrow/odd", "odd"}

// putOddEntries writes all odd values among the back ends and a changing one under each other key. It
// returns the keys of entries that can't be read.
func putOddEntries(site *site, round int) (unreadable []string) {
	values := oddValues()
	for index, value := range values {
		key := fmt.Sprintf("servers/i-%x", 0xbad00+index)
		site.store.Put(key, []byte(value))
		unreadable = append(unreadable, key)
	}
	for index, value := range strangeValues() {
		site.store.Put(fmt.Sprintf("servers/i-%x", 0xbae00+index), []byte(value))
	}
	for index, key := range oddKeys {
		site.store.Put(key, []byte(values[(index+round)%len(values)]))
	}
	return unreadable
}

// TestOddEntriesOfOtherClients guards against balancers that end or stop following the list of back
// ends because of what another client wrote there, before they start or later, whether they read it
// themselves or get it from other balancers.
func TestOddEntriesOfOtherClients(t *testing.T) {
	t.Parallel()
	site := newSite(t, oddEntriesNetwork)
	site.configure(lendingRoute, coversRoute)
	for index := range 4 {
		site.startBackend(fmt.Sprintf("i-a%d", index+1), "lending", zones[index%3], 1+index)
	}
	unreadable := putOddEntries(site, 0)
	var balancers []*process
	for index := range oddEntriesBalancers {
		balancers = append(balancers, site.startBalancer(zones[index%3]))
	}
	site.waitReady(oddEntriesBalancers)
	target := site.target("198.18.0.1", 443)
	flows, servers := site.openFlows(target, 60)
	for _, server := range servers {
		require.Contains(t, []string{"lending/i-a1", "lending/i-a2", "lending/i-a3", "lending/i-a4"}, server)
	}
	for round := range 6 {
		putOddEntries(site, round)
		site.configure(lendingRoute, coversRoute, fmt.Sprintf("r-%d 198.18.0.9 %d lending", round, 1000+round))
		time.Sleep(500 * time.Millisecond)
	}
	// The list is still followed.
	site.startBackend("i-a5", "lending", zones[0], 5)
	site.setState("i-a1", "draining")
	time.Sleep(applyBound)
	_, later := site.openFlows(target, 120)
	require.NotContains(t, later, "lending/i-a1")
	require.Contains(t, later, "lending/i-a5")
	// A living back end whose own entry is odd keeps its flows and gets no new ones until it is mended.
	site.mutex.Lock()
	site.backends["i-a2"].withoutEntry = true
	site.store.Put("servers/i-a2", []byte(oddValues()[12]))
	site.mutex.Unlock()
	time.Sleep(applyBound)
	_, without := site.openFlows(target, 60)
	require.NotContains(t, without, "lending/i-a2")
	site.requireSameBackend(flows, servers)
	site.mutex.Lock()
	site.backends["i-a2"].withoutEntry = false
	site.writeEntry("i-a2", 2)
	site.mutex.Unlock()
	time.Sleep(applyBound)
	_, mended := site.openFlows(target, 120)
	require.Contains(t, mended, "lending/i-a2")
	for _, balancer := range balancers {
		require.NoError(t, balancer.command.Process.Signal(syscall.Signal(0)), "%s has ended", balancer.name)
	}
	requireNamed(t, balancers, unreadable)
	require.GreaterOrEqual(t, site.countUnreadable(), len(unreadable))
	site.requireNoMisrouted()
}

// countUnreadable returns how many unreadable entries the balancers have counted together.
func (site *site) countUnreadable() int {
	total := 0.0
	for number := range oddEntriesBalancers {
		response, err := http.Get("http://" + metricsAddress(site.ip(1, number+1)) + "/metrics")
		require.NoError(site.t, err)
		content, err := io.ReadAll(response.Body)
		require.NoError(site.t, err)
		require.NoError(site.t, response.Body.Close())
		found := unreadableMetric.FindSubmatch(content)
		require.NotNil(site.t, found)
		count, err := strconv.ParseFloat(string(found[1]), 64)
		require.NoError(site.t, err)
		total += count
	}
	return int(total)
}

var unreadableMetric = regexp.MustCompile(`(?m)^indigobarrow_balancer_unreadable_entries_total (\S+)$`)

// requireNamed requires that the balancers that read the store have together named each key.
func requireNamed(t *testing.T, balancers []*process, keys []string) {
	t.Helper()
	var logs strings.Builder
	for _, balancer := range balancers {
		content, err := os.ReadFile(balancer.log.Name())
		require.NoError(t, err)
		require.NotContains(t, string(content), "panic")
		logs.Write(content)
	}
	missing := slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return strings.Contains(logs.String(), "key "+key+":") })
	require.Empty(t, missing, "unreadable entries that no log names")
}
