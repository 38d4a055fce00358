package policy

import (
	"fmt"
	"slices"
)

// Limits of a history, which serves routers that are a few versions behind, and operators.
const (
	maxHistoryChanges  = 64
	maxDifferenceBytes = 512 << 10 // all differences of a history, encoded
	maxChangeOverhead  = 1 << 10   // bytes of one encoded change in addition to its difference

	// MaxHistoryBytes is the maximum encoded size of the changes of a history.
	MaxHistoryBytes = maxDifferenceBytes + maxHistoryChanges*maxChangeOverhead
)

// History is the part of the replicated state that belongs to the policy: the version in force, its document, and the changes that led to
// it. The same calls must produce the same History on all nodes. Therefore Difference.Validate checks which fields may change before a
// proposal is replicated: builds may differ in these rules, but the replicated state must not.
type History struct {
	Version        Version  `cbor:"1,keyasint"`
	Document       Document `cbor:"2,keyasint"`
	Changes        []Change `cbor:"3,keyasint"` // consecutive, the latest last
	ForeignVersion uint64   `cbor:"4,keyasint"` // packed version that a router has applied, but that was never in force in this state; 0: none
}

// Propose applies a proposal. It returns the resulting version, or the reason for the rejection, which is sent in responses on the wire, so
// its text must not change. Repeating a proposal while its version is in force returns that version.
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

// isInForce reports whether the version in force resulted from this proposal.
func (h *History) isInForce(p Proposal) bool {
	v := h.Version
	return v.Number > 0 && p.Base == v.Base && p.Hash == v.Hash && p.Author == v.Author && p.Reason == v.Reason
}

// rejectionReason returns why a proposal can't become this version, or an empty string if the history does not prevent it.
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

// newEpochReason is the reason recorded for the version that BeginEpoch creates. It is part of the replicated state.
const newEpochReason = "a new epoch"

// BeginEpoch puts the current document in force under a new version in a new epoch, which is later than all earlier versions. If the
// coordinator's state was reset to an older one, routers that have applied a version later than this state then follow the coordinator
// again. It reports whether it created a version: not if none is in force, or if the version would be out of range.
func (h *History) BeginEpoch(epoch uint64) bool {
	v := h.Version
	if v.Number == 0 || epoch > maxNumber || v.Number == maxNumber {
		return false
	}
	v.Epoch, v.Number, v.Base, v.Reason = epoch, v.Number+1, v.Packed(), newEpochReason
	h.install(Change{Version: v}, h.Document)
	return true
}

// install puts a change in force, and drops the oldest changes that exceed the limits.
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

// Acknowledged records the packed version that a session has applied. After a loss of state, this prevents the same version number from
// being assigned twice.
func (h *History) Acknowledged(packed uint64) {
	if packed > h.Version.Packed() {
		h.ForeignVersion = max(h.ForeignVersion, packed)
	}
}

// ChangesSince returns the changes that lead from a packed version to the one in force, or false if they are no longer kept or the version
// was never in force.
func (h *History) ChangesSince(packed uint64) ([]Change, bool) {
	for n := len(h.Changes) - 1; n >= 0; n-- {
		if h.Changes[n].Version.Base == packed {
			return slices.Clone(h.Changes[n:]), true
		}
	}
	return nil, false
}

// Serve returns the content that takes the requester to the version in force: the encoded changes after the version it has, or the full
// document if that is shorter, requested, or the only option. known is false if this history is empty, or older than the version that the
// requester wants or has, in which case another node must be asked.
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

// Check validates a stored history: the document must be within the size limits, and the version must have the document's hash and be within
// range (else ErrMismatch).
func (h *History) Check() error {
	if err := h.Document.Check(); err != nil {
		return err
	}
	if v := h.Version; v.Number > 0 && (v.Hash != h.Document.Hash() || v.Number > maxNumber || v.Epoch > maxNumber) {
		return fmt.Errorf("policy: version %s: %w", v, ErrMismatch)
	}
	return nil
}
