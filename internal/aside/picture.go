package aside

import (
	"cmp"
	"slices"
	"time"
)

const (
	// pictureFor is how long a statement holds that is not renewed. Followers call
	// twice a second, and each balancer renews its own with each call.
	pictureFor = 3 * time.Second
	// pictureLimit bounds the statements in one message, to some 2 KB.
	pictureLimit = 64
)

// Statement is that a balancer struggles.
type Statement struct {
	Name string
	Away bool
	// At is when it said so.
	At time.Time
}

// Picture is who struggles, by name, so that nobody counts twice whoever passes it on;
// the latest statement holds, and each fades.
type Picture struct {
	statements map[string]Statement
}

// Take takes a statement. One that is older than what is known says nothing.
func (p *Picture) Take(statement Statement) {
	if known, found := p.statements[statement.Name]; found && !statement.At.After(known.At) {
		return
	}
	if p.statements == nil {
		p.statements = make(map[string]Statement)
	}
	p.statements[statement.Name] = statement
}

// Drop takes that a balancer carries its share, as it says itself.
func (p *Picture) Drop(name string) { delete(p.statements, name) }

// Now returns the statements that hold, the latest first.
func (p *Picture) Now(now time.Time) []Statement {
	var found []Statement
	for name, statement := range p.statements {
		if now.Sub(statement.At) > pictureFor {
			delete(p.statements, name)
			continue
		}
		found = append(found, statement)
	}
	slices.SortFunc(found, func(a, b Statement) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Name, b.Name))
	})
	return found[:min(len(found), pictureLimit)]
}

// Whole tells whether all that struggle may be known: where so many do that messages leave
// some out, what is known says too little to go by.
func (p *Picture) Whole() bool { return len(p.statements) < pictureLimit }
