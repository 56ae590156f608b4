package observe

// Excess is the part of a back end's answers, 0 to 1, that goes beyond what is
// usual in its pool, and the evidence for it, a log-likelihood ratio. The
// evidence of balancers that observed different requests adds up.
type Excess struct {
	Fraction, Evidence float64
}

// Finding is how the answers of a back end differ from those of the others of
// its pool. The zero value is no difference.
type Finding struct {
	// Failing are answers that are shorter, as errors are, and Slow those that took
	// longer.
	Failing, Slow Excess
}

const (
	// noiseEvidence is what chance gives to one observer, since the most telling
	// place of many is taken.
	noiseEvidence = 3.0
	// baseEvidence is the evidence on which a back end counts as unwell, and
	// evidencePerObserver what is needed more for each balancer that observes, since a
	// little chance remains in what each finds.
	baseEvidence        = 15.0
	evidencePerObserver = 0.5
	// hysteresis is the share of that evidence down to which it stays so.
	hysteresis = 0.3
	// minimumFailing is the least part of failed answers worth acting on.
	minimumFailing = 0.08
	// minimumSlow is the same for late ones. Where users press, some back ends are
	// somewhat slower than others by their load alone.
	minimumSlow = 0.4
	// overloadRatio is how many times the slow part of the answers must be smaller
	// than the short part for the back end to count as failing.
	overloadRatio = 2
)

// aboveNoise is an excess without the evidence that chance gives.
func (e Excess) aboveNoise() Excess {
	if e.Evidence <= noiseEvidence {
		return Excess{}
	}
	return Excess{Fraction: e.Fraction, Evidence: e.Evidence - noiseEvidence}
}

// AboveNoise is a finding without the evidence that chance gives to each
// observer.
func (f Finding) AboveNoise() Finding {
	return Finding{Failing: f.Failing.aboveNoise(), Slow: f.Slow.aboveNoise()}
}

// IsZero tells whether a finding says nothing.
func (f Finding) IsZero() bool { return f == Finding{} }

// plus is what two observers found together.
func (e Excess) plus(other Excess) Excess {
	sum := e.Evidence + other.Evidence
	if sum <= 0 {
		return Excess{}
	}
	return Excess{Fraction: (e.Fraction*e.Evidence + other.Fraction*other.Evidence) / sum, Evidence: sum}
}

// Plus is what two observers of different requests found together.
func (f Finding) Plus(other Finding) Finding {
	return Finding{Failing: f.Failing.plus(other.Failing), Slow: f.Slow.plus(other.Slow)}
}

// Stronger takes of two findings on the same requests, for each kind, the one with
// more evidence.
func (f Finding) Stronger(other Finding) Finding {
	if other.Failing.Evidence > f.Failing.Evidence {
		f.Failing = other.Failing
	}
	if other.Slow.Evidence > f.Slow.Evidence {
		f.Slow = other.Slow
	}
	return f
}

// Health is how unwell a back end counts as.
type Health struct {
	// Failing is the part of its answers, 0 to 1, that fail.
	Failing float64
	// Slow is the part of its answers, 0 to 1, that take longer than usual.
	Slow float64
}

// Healthy tells whether nothing speaks against a back end.
func (h Health) Healthy() bool { return h == Health{} }

// Health judges what a number of balancers found together. What counted as unwell
// before stays so on less evidence. A back end that has more to do than it can
// sheds requests, which are short answers too, but then its other answers are
// slow; only one that is not slow counts as failing.
func (f Finding) Health(observers int, before Health) Health {
	needed := baseEvidence + evidencePerObserver*float64(observers)
	judged := Health{Slow: f.Slow.significantFraction(needed, before.Slow, minimumSlow)}
	if f.Slow.Fraction*overloadRatio < f.Failing.Fraction {
		judged.Failing = f.Failing.significantFraction(needed, before.Failing, minimumFailing)
	}
	return judged
}

func (e Excess) significantFraction(needed, before, least float64) float64 {
	if before > 0 {
		needed *= hysteresis
	}
	if e.Evidence < needed || e.Fraction < least {
		return 0
	}
	return e.Fraction
}
