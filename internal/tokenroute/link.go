package tokenroute

import (
	"math"
	"time"
)

// linkMonitor is what the requests that pass here tell of the balancer's own link. A back end that
// is dead leaves every copy of a request unanswered; a link that loses packets leaves some,
// and most requests are answered after a repetition. So the part of the answers that took a
// repetition is about the part of the packets that gets lost here, and dead back ends, which
// answer nothing, don't move it.
type linkMonitor struct {
	buckets [linkBuckets]linkBucket
}

const (
	// linkWindow is for how long answers count. A machine that sees one request a second,
	// as where a thousand stand before ten thousand back ends, has some ten of them.
	linkWindow     = 10 * time.Second
	linkBuckets    = 50
	linkBucketTime = linkWindow / linkBuckets
)

// linkBucket counts the answers within one linkBucketTime.
type linkBucket struct {
	number                int64
	prompt, retransmitted int
}

// countResponse counts an answer; recovered is set if it took a repetition.
func (l *linkMonitor) countResponse(recovered bool, now time.Time) {
	step := now.UnixNano() / int64(linkBucketTime)
	slot := &l.buckets[step%linkBuckets]
	if slot.number != step {
		*slot = linkBucket{number: step}
	}
	if recovered {
		slot.retransmitted++
	} else {
		slot.prompt++
	}
}

// countSince counts the answers since a time, at most those of the window.
func (l *linkMonitor) countSince(at, now time.Time) (prompt, recovered int) {
	first := max(at.UnixNano(), now.Add(-linkWindow).UnixNano()) / int64(linkBucketTime)
	last := now.UnixNano() / int64(linkBucketTime)
	for i := range l.buckets {
		if slot := &l.buckets[i]; slot.number >= first && slot.number <= last {
			prompt += slot.prompt
			recovered += slot.retransmitted
		}
	}
	return prompt, recovered
}

// expectedLinkLoss is how many requests, of as many as are answered here in the window, the link alone
// would leave unanswered through so many copies. The latest request was sent at a time; a
// link that has turned bad since is known by the answers since.
func (l *linkMonitor) expectedLinkLoss(copies int, sentAt, now time.Time) float64 {
	doubt := expectedLost(copies)(l.countSince(now.Add(-linkWindow), now))
	if prompt, recovered := l.countSince(sentAt, now); recovered > 0 {
		doubt = max(doubt, expectedLost(copies)(prompt, recovered))
	}
	return doubt
}

// expectedLost is how many of the requests that were answered promptly, or after a
// repetition, are to be expected to lose so many copies each. The loss is taken for what one
// answer more of each kind would show, so that few answers say little.
func expectedLost(copies int) func(prompt, recovered int) float64 {
	return func(prompt, recovered int) float64 {
		answers := float64(prompt + recovered)
		loss := (float64(recovered) + 1) / (answers + 2)
		return (answers + 1) * math.Pow(loss, float64(copies))
	}
}

const (
	// maxLinkLossForFailure is up to which doubt a balancer judges by what passed here: one request
	// in 500 times as many as are answered in the window. Of 20 balancers behind links that lose 10
	// to 70 in 100 packets none then reset a flow of a living back end in 8 s, where 188 were
	// reset without (TestBalancersBehindCongestedLinksResetNoLiveFlows); the dead were known as soon.
	maxLinkLossForFailure = 0.002
	// maxLinkLossForReport is up to which doubt others are told. They judge by two witnesses at
	// least, and may know better.
	maxLinkLossForReport = 0.3
)
