package echonet

import (
	"net/netip"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// An address is free once the back end there has stopped, also while other tests
// start processes. TestBalancerAddressReuse failed once, beside a busy machine.
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
		made, err := StartBackend("i-a0", "lending", address, 8172, 1)
		if failure = err; err != nil {
			break
		}
		made.Stop()
	}
	close(done)
	starting.Wait()
	require.NoError(t, failure)
}
