package policy

import (
	"fmt"
	"slices"
)

// A history is kept for those who are a few versions behind, and for operators.
const (
	maxHistoryChanges  = 64
	maxDifferenceBytes = 512 << 10                                      // bytes of all differences of a history
	MaxHistoryBytes    = maxDifferenceBytes + maxHistoryChanges*(1<<10) // bytes of a history, encoded
)

// History is what the replicated state keeps of policies: the version in force with its document, and how it came to it. Its methods give
// the same for the same calls everywhere; which fields may change is judged before a proposal comes here (Difference.Judge), since
// builds may differ in that and the replicated state must not.
type History struct {
	Version        Version  `cbor:"1,keyasint"`
	Document       Document `cbor:"2,keyasint"`
	Changes        []Change `cbor:"3,keyasint"` // the latest last; each follows the one before
	ForeignVersion uint64   `cbor:"4,keyasint"` // a mark that some router goes by though it was never given here
}

// Propose takes a proposal in: the version that it became, or why it became none. The same proposal again, while what it became
// is in force, is that version.
func (b *History) Propose(epoch uint64, p Proposal) (Version, string) {
	v := Version{Epoch: epoch, Number: b.Version.Number + 1, Hash: p.Hash, Base: b.Version.Packed(), Author: p.Author, Reason: p.Reason}
	if now := b.Version; now.Number > 0 && p.Base == now.Base && p.Hash == now.Hash && p.Author == now.Author && p.Reason == now.Reason {
		return now, ""
	}
	switch {
	case p.Base != v.Base:
		return Version{}, fmt.Sprintf("version %s is in force, this was made from %s", b.Version, FormatPacked(p.Base))
	case b.ForeignVersion > v.Base && b.ForeignVersion>>numberBits >= epoch:
		return Version{}, fmt.Sprintf("a router goes by version %s, which this council never gave: begin a new epoch (council recover)", FormatPacked(b.ForeignVersion))
	case v.Number > maxNumber || epoch > maxNumber:
		return Version{}, "no number is left"
	case p.Difference.Empty():
		return Version{}, "nothing changes"
	}
	if err := p.Check(); err != nil {
		return Version{}, err.Error()
	}
	d, err := b.Document.Apply(p.Difference)
	if err != nil {
		return Version{}, err.Error()
	}
	if d.Hash() != p.Hash {
		return Version{}, ErrMismatch.Error()
	}
	v.Size = len(d.Encode())
	b.install(Change{v, p.Difference}, d)
	return v, ""
}

// BeginEpoch gives what is in force a number in a new epoch, so that it is above all that was ever given: a router that knows more
// than a coordinator that was set back goes by what the coordinator has. It reports whether there is anything in force.
func (b *History) BeginEpoch(epoch uint64) bool {
	v := b.Version
	if v.Number == 0 || epoch > maxNumber || v.Number == maxNumber {
		return false
	}
	v.Epoch, v.Number, v.Base, v.Reason = epoch, v.Number+1, v.Packed(), "a new epoch"
	b.install(Change{Version: v}, b.Document)
	return true
}

func (b *History) install(c Change, d Document) {
	b.Version, b.Document = c.Version, d
	b.Changes = append(b.Changes, c)
	for bytes := b.differenceBytes(); len(b.Changes) > maxHistoryChanges || bytes > maxDifferenceBytes; {
		bytes -= len(b.Changes[0].Difference.Encode())
		b.Changes = slices.Delete(b.Changes, 0, 1)
	}
}

func (b *History) differenceBytes() (bytes int) {
	for _, c := range b.Changes {
		bytes += len(c.Difference.Encode())
	}
	return bytes
}

// Acknowledged takes in which version a session goes by. Guards against numbers that are given twice, after state was lost.
func (b *History) Acknowledged(mark uint64) {
	if mark > b.Version.Packed() {
		b.ForeignVersion = max(b.ForeignVersion, mark)
	}
}

// ChangesSince gives the changes that lead from a version to the one in force; false: it isn't kept, or never was.
func (b *History) ChangesSince(mark uint64) ([]Change, bool) {
	for n := len(b.Changes) - 1; n >= 0; n-- {
		if b.Changes[n].Version.Base == mark {
			return slices.Clone(b.Changes[n:]), true
		}
	}
	return nil, false
}

// Serve gives what leads who asks to the version in force: the changes after the one it has, in one piece, or the whole document,
// whichever is shorter. false: this book is behind what is asked for, so another must be asked.
func (b *History) Serve(q Request) (packs []byte, whole, known bool) {
	mark := b.Version.Packed()
	if mark == 0 || q.Want > mark || q.Have > mark {
		return nil, false, false
	}
	if changes, kept := b.ChangesSince(q.Have); kept && !q.Full {
		bytes := 0
		for _, c := range changes {
			bytes += c.Difference.Size()
		}
		if bytes < b.Version.Size {
			return EncodeChanges(changes), false, true
		}
	}
	return b.Document.Encode(), true, true
}

// Check tells whether what was stored is whole.
func (b *History) Check() error {
	if err := b.Document.Check(); err != nil {
		return err
	}
	if v := b.Version; v.Number > 0 && (v.Hash != b.Document.Hash() || v.Number > maxNumber || v.Epoch > maxNumber) {
		return fmt.Errorf("policy: version %s: %w", v, ErrMismatch)
	}
	return nil
}
