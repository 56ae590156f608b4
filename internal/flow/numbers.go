package flow

// MaxDistance is how far, in bytes, the numbers of a packet may be from those of the flow's packets
// before it: four windows of 16 full packets. Packets that a node does not see, because they are
// lost or pass elsewhere, may move a flow by that much.
const MaxDistance = 76_800

// Segment is the part of a packet that tells its flow from other flows with the same key.
type Segment struct {
	// SYN is set on the packet that opens a flow, and Closes on one that ends it.
	SYN, Closes bool
	// Acknowledged has no meaning in a SYN.
	Sequence, Acknowledged, Length uint32
}

// Numbers are the sequence numbers of one flow, as seen in the packets that its client sent by way
// of this node. They tell the packets of the flow from those of the flows that use the same
// addresses and ports before or after it. A node may miss the SYN, the end and any other packet of
// a flow. The zero value is that of a flow of which no packet was seen.
//
// A SYN belongs to the flow if it is a copy of the flow's SYN. If that was not seen, its number must
// lie before all others within MaxDistance. Any other packet belongs to the flow if it does not lie
// beyond the end, and both its sequence number and its acknowledgement are within MaxDistance of
// those before. After the SYN alone, its sequence number must follow that of the SYN within
// MaxDistance.
//
// Two flows are taken for one if both numbers of one are that close to those of the other, and a flow
// is taken for two if its numbers move further while its packets pass elsewhere. The initial numbers
// of the two ends are independent, so that clients that derive theirs from a clock (RFC 9293, section
// 3.4.1) are told apart by those of the back ends.
type Numbers struct {
	// syn is the sequence number of the SYN, if hasSYN is set.
	syn    uint32
	hasSYN bool
	// first is the lowest sequence number of a packet, sequence the highest one after the data of a
	// packet, and acknowledged the highest acknowledgement, if hasData is set.
	first, sequence, acknowledged uint32
	hasData                       bool
	// end is the number after the end of the flow, if hasEnd is set.
	end    uint32
	hasEnd bool
}

// Contains reports whether a packet belongs to the flow. It is true for any packet if none of the
// flow was seen before.
func (n *Numbers) Contains(segment Segment) bool {
	switch {
	case n.IsZero():
		return true
	case segment.SYN && n.hasSYN:
		return segment.Sequence == n.syn
	case segment.SYN:
		return n.first-segment.Sequence-1 < MaxDistance
	case n.hasEnd && after(segment.Sequence, n.end):
		return false
	case n.hasData:
		return near(segment.Sequence, n.sequence) && near(segment.Acknowledged, n.acknowledged)
	}
	return segment.Sequence-n.syn <= MaxDistance
}

// Advances reports whether a packet that belongs to the flow moves it on. A late copy does not.
func (n *Numbers) Advances(segment Segment) bool {
	return !segment.SYN && !n.hasEnd &&
		(!n.hasData || after(segment.Sequence+segment.Length, n.sequence) || after(segment.Acknowledged, n.acknowledged))
}

// Add adds a packet that belongs to the flow.
func (n *Numbers) Add(segment Segment) {
	if segment.SYN {
		n.syn, n.hasSYN = segment.Sequence, true
		return
	}
	next := segment.Sequence + segment.Length
	if segment.Closes && !n.hasEnd {
		n.end, n.hasEnd = next+1, true
	}
	if !n.hasData {
		n.first, n.sequence, n.acknowledged, n.hasData = segment.Sequence, next, segment.Acknowledged, true
		return
	}
	if after(n.first, segment.Sequence) {
		n.first = segment.Sequence
	}
	if after(next, n.sequence) {
		n.sequence = next
	}
	if after(segment.Acknowledged, n.acknowledged) {
		n.acknowledged = segment.Acknowledged
	}
}

// IsZero reports whether no packet of the flow was seen.
func (n *Numbers) IsZero() bool { return !n.hasSYN && !n.hasData }

// Ended reports whether the end of the flow was seen.
func (n *Numbers) Ended() bool { return n.hasEnd }

// Next returns the sequence number after the latest data of the client, or 0 if that is not known.
func (n *Numbers) Next() uint32 { return n.sequence }

// after reports whether one sequence number follows another in the circular number space.
func after(number, other uint32) bool { return int32(number-other) > 0 }

// near reports whether two sequence numbers are within MaxDistance of each other.
func near(number, other uint32) bool {
	return number-other <= MaxDistance || other-number <= MaxDistance
}
