package echonet

import (
	"net/netip"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// The address of a stopped back end can be reused at once, even while other tests start
// processes. A child process holds copies of closed sockets until its program is loaded, so
// that the address is still in use for a moment. TestBalancerAddressReuse failed once on a
// busy machine.
func TestAddressIsReusableAfterStop(t *testing.T) {
	address := netip.MustParseAddrPort("127.105.9.1:8080")
	var starting sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	var failure error
	for range 3000 {
		backend, err := StartBackend("i-a0", "lending", address, 8172, 1)
		if failure = err; err != nil {
			break
		}
		backend.Stop()
	}
	close(done)
	starting.Wait()
	require.NoError(t, failure)
}
