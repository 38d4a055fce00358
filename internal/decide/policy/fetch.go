package policy

import "math"

const (
	partBytes          = 1 << 10 // compressed: small, so that a second in which several parts come isn't far above any other
	requestOverhead    = 300     // bytes that a request and its response take besides the part, headers included; assumed
	firstFetchSpreadMs = 500.0   // ms over which a first request is delayed at random: routers that start or see a change together must not ask together
	minRetryDelayMs    = 200.0   // ms until the first retry; doubled with each
	maxRetryDelayMs    = 2000.0  // ms

	// maxCompressedBytes bounds all parts together: compressing the longest content must not make more than this of it.
	maxCompressedBytes = 2 * MaxHistoryBytes
)

// Part is a piece of what a router fetches: the changes after a version that it has, or the full document.
type Part struct {
	Version Version // that all parts together lead to
	Full    bool    // the document's canonical bytes; else EncodeChanges of all changes after the version that the request named
	Offset  int     // of Bytes, in all of it
	Total   int     // bytes of all parts, compressed
	Bytes   []byte  // compressed: Settings.Decompress undoes it once all parts are there
}

// scheduleFetch has the first part requested after a random delay, unless a request is in flight or due already.
func (f *Follower) scheduleFetch() {
	if !f.fetching && math.IsInf(f.nextFetch, 1) {
		f.nextFetch = math.Max(f.now+firstFetchSpreadMs*f.random.Next(), f.allowedAt)
	}
}

// scheduleRetry has a request that failed repeated, with a backoff and a random part.
func (f *Follower) scheduleRetry() {
	if !f.needsFetch() {
		f.resetFetch()
		return
	}
	f.retryDelayMs = math.Min(math.Max(2*f.retryDelayMs, minRetryDelayMs), maxRetryDelayMs)
	f.nextFetch = math.Max(f.now+f.retryDelayMs*(1-f.random.Next()/2), f.allowedAt)
}

// resetFetch forgets the parts fetched so far.
func (f *Follower) resetFetch() { f.partial, f.nextFetch, f.retryDelayMs = Part{}, math.Inf(1), 0 }

// needsFetch tells whether the document of the latest announced version isn't here.
func (f *Follower) needsFetch() bool {
	target, known := f.target.Packed(), f.fetched.Packed()
	return target > known || target == known && f.target.Hash != f.fetched.Hash || f.settings.SeededDefects.AcceptOlderVersions && target != known
}

// nextRequest names the part to fetch next.
func (f *Follower) nextRequest() Request {
	request := Request{Have: f.fetched.Packed(), Hash: f.fetched.Hash, Want: f.target.Packed(), Full: f.needsFull, Offset: len(f.partial.Bytes),
		MaxBytes: partBytes}
	if f.settings.SeededDefects.AcceptOlderVersions && request.Want < request.Have {
		request.Have, request.Full = 0, true
	}
	if request.Offset > 0 { // a fetch that was started is finished: else changes that come faster than it ends would starve it
		request.Want, request.Full = f.partial.Version.Packed(), f.partial.Full
	}
	return request
}

// PartReceived takes in the response to a request.
func (f *Follower) PartReceived(part Part) {
	if !f.fetching {
		return
	}
	f.fetching = false
	if !part.wellFormed() || f.outdated(part) { // the coordinator node lags, or worse
		f.scheduleRetry()
		return
	}
	if !part.continues(f.partial) {
		if part.Offset != 0 {
			f.partial = Part{}
			f.scheduleRetry()
			return
		}
		f.partial = Part{Version: part.Version, Full: part.Full, Total: part.Total}
	}
	f.partial.Bytes = append(f.partial.Bytes, part.Bytes...)
	if part.Version.Packed() > f.target.Packed() {
		f.target = part.Version
	}
	f.allowedAt = f.now + float64(len(part.Bytes)+requestOverhead)/f.settings.Rate*1000
	f.nextFetch = f.allowedAt
	if len(f.partial.Bytes) == f.partial.Total {
		f.finishFetch()
	} else {
		f.retryDelayMs = 0
	}
}

// wellFormed tells whether a part is one that a coordinator node of any build may send.
func (p Part) wellFormed() bool {
	return p.Version.Packed() > 0 && p.Total > 0 && p.Total <= maxCompressedBytes && len(p.Bytes) > 0 && p.Offset+len(p.Bytes) <= p.Total &&
		len(p.Bytes) <= partBytes
}

// continues tells whether a part is the next after the earlier ones.
func (p Part) continues(earlier Part) bool {
	return p.Version == earlier.Version && p.Full == earlier.Full && p.Total == earlier.Total && p.Offset == len(earlier.Bytes)
}

// outdated tells whether a part is of a version that is no later than the one that is here.
func (f *Follower) outdated(part Part) bool {
	if f.settings.SeededDefects.AcceptOlderVersions {
		return false
	}
	received, known := part.Version.Packed(), f.fetched.Packed()
	return received < known || received == known && part.Version.Hash == f.fetched.Hash
}

// FetchFailed takes in that a request brought no part.
func (f *Follower) FetchFailed() {
	if f.fetching {
		f.fetching = false
		f.scheduleRetry()
	}
}

// finishFetch makes the document of all parts. If its hash doesn't fit it is dropped, and the full document is fetched.
func (f *Follower) finishFetch() {
	complete := f.partial
	f.partial = Part{}
	if d, ok := f.assemble(complete); ok {
		f.accept(complete.Version, d)
		return
	}
	f.HashMismatches++
	f.needsFull = true
	f.scheduleRetry()
}

// assemble gives the document that all parts together make; false: none, or not the version's.
func (f *Follower) assemble(complete Part) (Document, bool) {
	content, err := f.settings.Decompress(complete.Bytes, MaxHistoryBytes)
	if err != nil {
		return nil, false
	}
	if complete.Full {
		d, err := Decode(content)
		return d, err == nil && (d.Hash() == complete.Version.Hash || f.settings.SeededDefects.SkipHashCheck)
	}
	changes, err := DecodeChanges(content)
	if err != nil {
		return nil, false
	}
	d := f.document
	for _, change := range changes {
		if d, err = d.Apply(change.Difference); err != nil {
			return nil, false
		}
	}
	return d, d.Hash() == complete.Version.Hash || f.settings.SeededDefects.SkipBaseCheck
}
