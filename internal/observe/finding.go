package observe

// Excess is the fraction of a back end's responses, 0 to 1, that exceeds the
// baseline of its pool, and the evidence for it, a log-likelihood ratio. The
// evidence of balancers that observed different requests adds up.
type Excess struct {
	Fraction, Evidence float64
}

// Finding describes how the responses of a back end differ from those of the
// others of its pool. The zero value is no difference.
type Finding struct {
	// Failing is the excess of short responses, such as errors, and Slow that of
	// late ones.
	Failing, Slow Excess
}

const (
	// noiseEvidence is the evidence that random variation gives to one observer,
	// since the bucket with the most evidence is taken of many.
	noiseEvidence = 3.0
	// baseEvidence is the evidence needed for a back end to count as unhealthy, and
	// evidencePerObserver is what is needed in addition for each observing balancer,
	// since a little random variation remains in the finding of each.
	baseEvidence        = 15.0
	evidencePerObserver = 0.5
	// hysteresisFactor is the fraction of that evidence down to which a back end stays
	// unhealthy.
	hysteresisFactor = 0.3
	// minimumFailing is the least fraction of failed responses worth acting on.
	minimumFailing = 0.08
	// minimumSlow is the same for late responses. Under high demand, some back ends
	// are somewhat slower than others because of their load alone.
	minimumSlow = 0.4
	// overloadRatio is how many times smaller the fraction of slow responses must be
	// than that of short ones for the back end to count as failing.
	overloadRatio = 2
)

// aboveNoise returns the excess without the evidence that random variation gives.
func (e Excess) aboveNoise() Excess {
	if e.Evidence <= noiseEvidence {
		return Excess{}
	}
	return Excess{Fraction: e.Fraction, Evidence: e.Evidence - noiseEvidence}
}

// AboveNoise returns the finding without the evidence that random variation gives
// to each observer.
func (f Finding) AboveNoise() Finding {
	return Finding{Failing: f.Failing.aboveNoise(), Slow: f.Slow.aboveNoise()}
}

// IsZero reports whether the finding shows no difference.
func (f Finding) IsZero() bool { return f == Finding{} }

// plus combines the excesses that two observers found.
func (e Excess) plus(other Excess) Excess {
	sum := e.Evidence + other.Evidence
	if sum <= 0 {
		return Excess{}
	}
	return Excess{Fraction: (e.Fraction*e.Evidence + other.Fraction*other.Evidence) / sum, Evidence: sum}
}

// Plus combines the findings of two observers of different requests.
func (f Finding) Plus(other Finding) Finding {
	return Finding{Failing: f.Failing.plus(other.Failing), Slow: f.Slow.plus(other.Slow)}
}

// Stronger combines two findings on the same requests: for Failing and for Slow,
// it takes the excess with more evidence.
func (f Finding) Stronger(other Finding) Finding {
	if other.Failing.Evidence > f.Failing.Evidence {
		f.Failing = other.Failing
	}
	if other.Slow.Evidence > f.Slow.Evidence {
		f.Slow = other.Slow
	}
	return f
}

// Health describes how unhealthy a back end is. The zero value is a healthy one.
type Health struct {
	// Failing is the fraction of its responses, 0 to 1, that are failures.
	Failing float64
	// Slow is the fraction of its responses, 0 to 1, that take longer than usual.
	Slow float64
}

// Healthy reports whether the back end is neither failing nor slow.
func (h Health) Healthy() bool { return h == Health{} }

// Health derives the health of a back end from the combined finding of a number of
// balancers. A back end that was unhealthy before stays so on less evidence. An
// overloaded back end sheds requests, which are short responses too, but then its
// other responses are slow; only one that is not slow counts as failing.
func (f Finding) Health(observers int, previous Health) Health {
	needed := baseEvidence + evidencePerObserver*float64(observers)
	health := Health{Slow: f.Slow.significantFraction(needed, previous.Slow, minimumSlow)}
	if f.Slow.Fraction*overloadRatio < f.Failing.Fraction {
		health.Failing = f.Failing.significantFraction(needed, previous.Failing, minimumFailing)
	}
	return health
}

// significantFraction returns the fraction of the excess, or 0 if that is below the
// minimum or lacks the needed evidence. Less evidence is needed if the previous
// fraction was above 0.
func (e Excess) significantFraction(needed, previous, minimum float64) float64 {
	if previous > 0 {
		needed *= hysteresisFactor
	}
	if e.Evidence < needed || e.Fraction < minimum {
		return 0
	}
	return e.Fraction
}
