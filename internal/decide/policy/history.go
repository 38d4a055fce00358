package policy

import (
	"fmt"
	"slices"
)

// A history is kept for routers that are a few versions behind, and for operators.
const (
	maxHistoryChanges  = 64
	maxDifferenceBytes = 512 << 10 // of all differences of a history
	maxChangeOverhead  = 1 << 10   // of one change besides its difference, encoded

	// MaxHistoryBytes bounds the changes of a history, encoded.
	MaxHistoryBytes = maxDifferenceBytes + maxHistoryChanges*maxChangeOverhead
)

// History is what the replicated state keeps of the policy: the version in force with its document, and the changes that led to it. The
// same calls give the same History on all nodes. So which fields may change is checked before a proposal comes here, by
// Difference.Validate: builds may differ in that, and the replicated state must not.
type History struct {
	Version        Version  `cbor:"1,keyasint"`
	Document       Document `cbor:"2,keyasint"`
	Changes        []Change `cbor:"3,keyasint"` // the latest last; each follows the one before
	ForeignVersion uint64   `cbor:"4,keyasint"` // packed version that a router has applied though it was never in force here; 0: none
}

// Propose takes a proposal in. It gives the version that the proposal became, or why it is rejected; that text is part of the replicated
// state and of responses on the wire. A proposal repeated while its version is in force is that version.
func (h *History) Propose(epoch uint64, p Proposal) (v Version, rejection string) {
	if h.isInForce(p) {
		return h.Version, ""
	}
	v = Version{Epoch: epoch, Number: h.Version.Number + 1, Hash: p.Hash, Base: h.Version.Packed(), Author: p.Author, Reason: p.Reason}
	if rejection := h.rejectionReason(v, p); rejection != "" {
		return Version{}, rejection
	}
	if err := p.Check(); err != nil {
		return Version{}, err.Error()
	}
	d, err := h.Document.Apply(p.Difference)
	if err != nil {
		return Version{}, err.Error()
	}
	if d.Hash() != p.Hash {
		return Version{}, ErrMismatch.Error()
	}
	v.Size = len(d.Encode())
	h.install(Change{v, p.Difference}, d)
	return v, ""
}

// isInForce tells whether the version in force came of this very proposal.
func (h *History) isInForce(p Proposal) bool {
	v := h.Version
	return v.Number > 0 && p.Base == v.Base && p.Hash == v.Hash && p.Author == v.Author && p.Reason == v.Reason
}

// rejectionReason tells why a proposal can't become this version; empty: it can, as far as the history says.
func (h *History) rejectionReason(v Version, p Proposal) string {
	foreignEpoch, _ := SplitPacked(h.ForeignVersion)
	switch {
	case p.Base != v.Base:
		return fmt.Sprintf("version %s is in force, this was made from %s", h.Version, FormatPacked(p.Base))
	case h.ForeignVersion > v.Base && foreignEpoch >= v.Epoch:
		return fmt.Sprintf("a router goes by version %s, which this council never gave: begin a new epoch (council recover)",
			FormatPacked(h.ForeignVersion))
	case v.Number > maxNumber || v.Epoch > maxNumber:
		return "no number is left"
	case p.Difference.Empty():
		return "nothing changes"
	}
	return ""
}

// newEpochReason is the reason of the version that BeginEpoch gives. It is stored.
const newEpochReason = "a new epoch"

// BeginEpoch gives what is in force a number in a new epoch, which is above all numbers given before: a router that has applied a later
// version than a coordinator whose state went back follows the coordinator again. It reports whether anything is in force.
func (h *History) BeginEpoch(epoch uint64) bool {
	v := h.Version
	if v.Number == 0 || epoch > maxNumber || v.Number == maxNumber {
		return false
	}
	v.Epoch, v.Number, v.Base, v.Reason = epoch, v.Number+1, v.Packed(), newEpochReason
	h.install(Change{Version: v}, h.Document)
	return true
}

// install puts a change in force, and drops the oldest changes beyond the bounds.
func (h *History) install(change Change, d Document) {
	h.Version, h.Document = change.Version, d
	h.Changes = append(h.Changes, change)
	for size := h.differenceBytes(); len(h.Changes) > maxHistoryChanges || size > maxDifferenceBytes; {
		size -= len(h.Changes[0].Difference.Encode())
		h.Changes = slices.Delete(h.Changes, 0, 1)
	}
}

func (h *History) differenceBytes() (size int) {
	for _, change := range h.Changes {
		size += len(change.Difference.Encode())
	}
	return size
}

// Acknowledged takes in which packed version a session has applied. It guards against numbers that are given twice, after state was lost.
func (h *History) Acknowledged(packed uint64) {
	if packed > h.Version.Packed() {
		h.ForeignVersion = max(h.ForeignVersion, packed)
	}
}

// ChangesSince gives the changes that lead from a packed version to the one in force; false: they aren't kept, or it never was in force.
func (h *History) ChangesSince(packed uint64) ([]Change, bool) {
	for n := len(h.Changes) - 1; n >= 0; n-- {
		if h.Changes[n].Version.Base == packed {
			return slices.Clone(h.Changes[n:]), true
		}
	}
	return nil, false
}

// Serve gives what leads the requester to the version in force: the encoded changes after the one it has, or the full document, whichever
// is shorter. known is false where this history is behind what is asked for, so that another node must be asked.
func (h *History) Serve(request Request) (content []byte, full, known bool) {
	current := h.Version.Packed()
	if current == 0 || request.Want > current || request.Have > current {
		return nil, false, false
	}
	if changes, kept := h.ChangesSince(request.Have); kept && !request.Full {
		size := 0
		for _, change := range changes {
			size += change.Difference.Size()
		}
		if size < h.Version.Size {
			return EncodeChanges(changes), false, true
		}
	}
	return h.Document.Encode(), true, true
}

// Check tells whether a stored history is sound: its document is within the bounds and of the version's hash (else ErrMismatch).
func (h *History) Check() error {
	if err := h.Document.Check(); err != nil {
		return err
	}
	if v := h.Version; v.Number > 0 && (v.Hash != h.Document.Hash() || v.Number > maxNumber || v.Epoch > maxNumber) {
		return fmt.Errorf("policy: version %s: %w", v, ErrMismatch)
	}
	return nil
}
