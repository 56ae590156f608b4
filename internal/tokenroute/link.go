package tokenroute

import (
	"math"
	"time"
)

// linkMonitor estimates the packet loss on the balancer's own link from the requests that pass
// here. A dead back end leaves every copy of a request unanswered. A link that loses packets leaves
// only some unanswered, and most requests are answered after a retransmission. The fraction of
// responses that took a retransmission is therefore about the fraction of packets lost here, and
// dead back ends, which answer nothing, do not change it.
type linkMonitor struct {
	buckets [linkBuckets]linkBucket
}

const (
	// linkWindow is how long responses count. A machine that sees one request a second, as in a
	// fleet of a thousand balancers and ten thousand back ends, has about ten of them.
	linkWindow     = 10 * time.Second
	linkBuckets    = 50
	linkBucketTime = linkWindow / linkBuckets
)

// linkBucket counts the responses within one linkBucketTime.
type linkBucket struct {
	number                int64
	prompt, retransmitted int
}

// countResponse counts a response. retransmitted is set if it took a retransmission.
func (l *linkMonitor) countResponse(retransmitted bool, now time.Time) {
	number := now.UnixNano() / int64(linkBucketTime)
	bucket := &l.buckets[number%linkBuckets]
	if bucket.number != number {
		*bucket = linkBucket{number: number}
	}
	if retransmitted {
		bucket.retransmitted++
	} else {
		bucket.prompt++
	}
}

// countSince counts the responses since a time, but no more than those within the window.
func (l *linkMonitor) countSince(at, now time.Time) (prompt, retransmitted int) {
	first := max(at.UnixNano(), now.Add(-linkWindow).UnixNano()) / int64(linkBucketTime)
	last := now.UnixNano() / int64(linkBucketTime)
	for i := range l.buckets {
		if bucket := &l.buckets[i]; bucket.number >= first && bucket.number <= last {
			prompt += bucket.prompt
			retransmitted += bucket.retransmitted
		}
	}
	return prompt, retransmitted
}

// expectedLinkLoss returns how many requests, out of as many as were answered here within the
// window, would stay unanswered through the given number of copies because of packet loss on the
// link alone. sentAt is when the latest request was sent; the responses since then show whether the
// link has become worse.
func (l *linkMonitor) expectedLinkLoss(copies int, sentAt, now time.Time) float64 {
	expected := expectedLost(copies)(l.countSince(now.Add(-linkWindow), now))
	if prompt, retransmitted := l.countSince(sentAt, now); retransmitted > 0 {
		expected = max(expected, expectedLost(copies)(prompt, retransmitted))
	}
	return expected
}

// expectedLost returns how many of the requests that were answered promptly, or after a
// retransmission, are expected to lose the given number of copies each. The loss is estimated with
// one more response of each kind, so that few responses say little.
func expectedLost(copies int) func(prompt, retransmitted int) float64 {
	return func(prompt, retransmitted int) float64 {
		responses := float64(prompt + retransmitted)
		loss := (float64(retransmitted) + 1) / (responses + 2)
		return (responses + 1) * math.Pow(loss, float64(copies))
	}
}

const (
	// maxLinkLossForFailure is the expected link loss up to which a balancer marks a back end as
	// failed because of the requests that passed here. It corresponds to one request lost to the
	// link out of 500 times as many as are answered within the window. With this limit, 20
	// balancers behind links that lose 10 to 70 of 100 packets reset no flows of live back ends in
	// 8 s, compared to 188 without it (TestBalancersBehindCongestedLinksResetNoLiveFlows). Dead back
	// ends were detected as early.
	maxLinkLossForFailure = 0.002
	// maxLinkLossForReport is the expected link loss up to which unanswered requests are reported
	// to other balancers. They need at least two of them to detect a failure, and may know better.
	maxLinkLossForReport = 0.3
)
