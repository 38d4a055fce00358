package policy

import "math"

const (
	partBytes          = 1 << 10 // compressed; small, so that several parts within one second don't cause a traffic peak
	requestOverhead    = 300     // assumed bytes of a request and its response, headers included, in addition to the part
	firstFetchSpreadMs = 500.0   // maximum random delay of a first request, so that routers that start or see a change together don't send it together
	minRetryDelayMs    = 200.0   // delay of the first retry; doubles with each retry
	maxRetryDelayMs    = 2000.0

	// maxCompressedBytes limits the total size of all parts. Compression must not expand even the longest content beyond it.
	maxCompressedBytes = 2 * MaxHistoryBytes
)

// Part is one part of the compressed content that a router fetches: the changes after the version it has, or the full document.
type Part struct {
	Version Version // that results from applying all parts
	Full    bool    // the content is the canonical encoding of the document; else it is EncodeChanges of all changes after the requested version
	Offset  int     // of Bytes in the compressed content
	Total   int     // size of the compressed content in bytes
	Bytes   []byte  // compressed; Settings.Decompress is called on the concatenation of all parts
}

// scheduleFetch schedules the request for the first part after a random delay, unless a request is in flight or already scheduled.
func (f *Follower) scheduleFetch() {
	if !f.fetching && math.IsInf(f.nextFetch, 1) {
		f.nextFetch = math.Max(f.now+firstFetchSpreadMs*f.random.Next(), f.allowedAt)
	}
}

// scheduleRetry schedules the retry of a failed request, with exponential backoff and jitter.
func (f *Follower) scheduleRetry() {
	if !f.needsFetch() {
		f.resetFetch()
		return
	}
	f.retryDelayMs = math.Min(math.Max(2*f.retryDelayMs, minRetryDelayMs), maxRetryDelayMs)
	f.nextFetch = math.Max(f.now+f.retryDelayMs*(1-f.random.Next()/2), f.allowedAt)
}

// resetFetch discards the parts fetched so far and cancels the scheduled request.
func (f *Follower) resetFetch() { f.partial, f.nextFetch, f.retryDelayMs = Part{}, math.Inf(1), 0 }

// needsFetch reports whether the document of the latest announced version has yet to be fetched.
func (f *Follower) needsFetch() bool {
	target, known := f.target.Packed(), f.fetched.Packed()
	return target > known || target == known && f.target.Hash != f.fetched.Hash || f.settings.SeededDefects.AcceptOlderVersions && target != known
}

// nextRequest returns the request for the next part.
func (f *Follower) nextRequest() Request {
	request := Request{Have: f.fetched.Packed(), Hash: f.fetched.Hash, Want: f.target.Packed(), Full: f.needsFull, Offset: len(f.partial.Bytes),
		MaxBytes: partBytes}
	if f.settings.SeededDefects.AcceptOlderVersions && request.Want < request.Have {
		request.Have, request.Full = 0, true
	}
	if request.Offset > 0 { // complete a fetch in progress first: changes that arrive faster than it completes would otherwise starve it
		request.Want, request.Full = f.partial.Version.Packed(), f.partial.Full
	}
	return request
}

// PartReceived processes the response to a request.
func (f *Follower) PartReceived(part Part) {
	if !f.fetching {
		return
	}
	f.fetching = false
	if !part.wellFormed() || f.outdated(part) { // the coordinator node lags behind or is faulty
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

// wellFormed reports whether the sizes and the version of a part are valid for a coordinator node of any build.
func (p Part) wellFormed() bool {
	return p.Version.Packed() > 0 && p.Total > 0 && p.Total <= maxCompressedBytes && len(p.Bytes) > 0 && p.Offset+len(p.Bytes) <= p.Total &&
		len(p.Bytes) <= partBytes
}

// continues reports whether a part directly follows the parts fetched so far.
func (p Part) continues(earlier Part) bool {
	return p.Version == earlier.Version && p.Full == earlier.Full && p.Total == earlier.Total && p.Offset == len(earlier.Bytes)
}

// outdated reports whether a part belongs to a version older than, or identical to, the fetched one.
func (f *Follower) outdated(part Part) bool {
	if f.settings.SeededDefects.AcceptOlderVersions {
		return false
	}
	received, known := part.Version.Packed(), f.fetched.Packed()
	return received < known || received == known && part.Version.Hash == f.fetched.Hash
}

// FetchFailed records that a request failed, and schedules its retry.
func (f *Follower) FetchFailed() {
	if f.fetching {
		f.fetching = false
		f.scheduleRetry()
	}
}

// finishFetch builds the document from all parts. If that fails or the hash does not match, the parts are discarded and the full document
// is fetched.
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

// assemble returns the document built from all parts, or false if the content is invalid or the hash does not match that of the version.
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
