package leasestate

import (
	"slices"

	"wayloft/internal/decide/lease"
)

// Lease is the exclusive right of one process at a time to perform one task for the fleet.
type Lease struct {
	Holder         string      `cbor:"1,keyasint"` // session name; empty if the lease is free
	Token          lease.Token `cbor:"2,keyasint"` // of the latest grant; it never decreases
	Since          uint64      `cbor:"3,keyasint"` // state time at which the lease was granted or became free
	Queue          []string    `cbor:"4,keyasint"` // sessions that wait for the lease, the next holder first
	ReportedToken  lease.Token `cbor:"5,keyasint"` // highest token that a receiver has reported and that isn't a grant in this state
	Steps          []Step      `cbor:"6,keyasint"` // since the open order was placed or the previous one completed
	OpenOrder      Order       `cbor:"7,keyasint"` // order that the holder must execute; number 0 if there is none
	CompletedOrder Order       `cbor:"8,keyasint"` // order completed last, with its outcome
}

// dequeue removes a session from the queue.
func (l *Lease) dequeue(session string) {
	l.Queue = slices.DeleteFunc(l.Queue, func(queued string) bool { return queued == session })
}

// nextToken returns the fencing token of the next grant in an epoch. If the epoch's tokens are exhausted, it is the first one of the epoch
// after.
func (l *Lease) nextToken(epoch uint64) lease.Token {
	next := lease.Token{Epoch: epoch, Count: 1}
	if l.Token.Epoch == epoch {
		next.Count = l.Token.Count + 1
	}
	if next.Count > lease.MaxCount {
		next = lease.Token{Epoch: epoch + 1, Count: 1}
	}
	return next
}

// findOrCreateLease returns a lease; it creates a free one if there is none with that name.
func (s *State) findOrCreateLease(name string) (*Lease, Rejection) {
	if found := s.data.Leases[name]; found != nil {
		return found, ""
	}
	if name == "" || len(s.data.Leases) >= maxSessionsOrLeases {
		return nil, rejectedLeaseNameOrCount
	}
	created := &Lease{}
	s.data.Leases[name] = created
	return created, ""
}

// acquireLease adds the session to the lease's queue and grants the lease if it is free. A holder that requests it again gets the same
// token.
func (s *State) acquireLease(entry Entry) Result {
	requested, rejection := s.findOrCreateLease(entry.Lease)
	if requested == nil {
		return Result{Rejection: rejection}
	}
	if requested.Holder != entry.Session && !slices.Contains(requested.Queue, entry.Session) {
		requested.Queue = append(requested.Queue, entry.Session)
	}
	if requested.Holder == "" {
		s.grantLease(entry.Lease)
	}
	switch requested.Holder {
	case entry.Session:
		return Result{Held: true, Token: requested.Token}
	case "":
		return Result{Token: requested.Token, Rejection: rejectedStateBehind}
	default:
		return Result{Token: requested.Token, Rejection: Rejection("held by " + requested.Holder)}
	}
}

// applyHolderEntry applies an entry that only the holder of a lease may propose, with the token of its grant.
func (s *State) applyHolderEntry(entry Entry) Result {
	held := s.data.Leases[entry.Lease]
	if held == nil {
		return Result{Rejection: rejectedNotHolder}
	}
	if held.Holder != entry.Session || held.Token != entry.Token {
		return Result{Token: held.Token, Rejection: rejectedNotHolder}
	}
	switch entry.Kind {
	case ReleaseLease:
		s.freeLease(entry.Lease)
	case TransferLease:
		return s.transferLease(held, entry)
	case RecordStep:
		s.recordStep(held, entry)
		return Result{Held: true, Token: held.Token}
	case CompleteOrder:
		s.completeOrder(held, entry)
		return Result{Held: true, Token: held.Token, Number: held.CompletedOrder.Number}
	}
	return Result{Token: held.Token}
}

// transferLease releases a lease and grants it to the successor that the holder has chosen, ahead of the queue.
func (s *State) transferLease(held *Lease, entry Entry) Result {
	if s.data.Sessions[entry.To] == nil {
		return Result{Held: true, Token: held.Token, Rejection: rejectedNoSuccessor}
	}
	held.dequeue(entry.To)
	held.Queue = slices.Insert(held.Queue, 0, entry.To)
	s.freeLease(entry.Lease)
	return Result{Token: held.Token}
}

// grantLease grants a free lease to the first session in its queue. It prevents fencing tokens from decreasing after a loss of state: if a
// receiver has reported a token that isn't known here, even higher ones may have been granted in that token's epoch, so the lease isn't
// granted until an operator has started a later epoch.
func (s *State) grantLease(name string) {
	free := s.data.Leases[name]
	if len(free.Queue) == 0 || free.Holder != "" {
		return
	}
	next := free.nextToken(s.data.Epoch)
	s.data.Epoch = next.Epoch
	if next.Epoch <= free.ReportedToken.Epoch {
		return
	}
	free.Holder, free.Token, free.Since = free.Queue[0], next, s.data.Now
	free.Queue = slices.Delete(free.Queue, 0, 1)
	s.emit(Event{Lease: name, Token: next, Session: free.Holder})
}

// freeLease takes a lease from its holder, if it has one, and grants it to the next session in the queue.
func (s *State) freeLease(name string) {
	held := s.data.Leases[name]
	if held.Holder != "" {
		s.emit(Event{Lease: name, Token: held.Token, Session: held.Holder, Ended: true})
		held.Holder, held.Since = "", s.data.Now
	}
	s.grantLease(name)
}

// reportToken handles a receiver's report of a fencing token that it has seen. The state is older than what the fleet has seen if that token
// was never granted here, or was granted to a session other than the one that the report says has used it. The lease is then taken from its
// holder, whose operations would be rejected, and is granted again only in a later epoch.
func (s *State) reportToken(entry Entry) Result {
	reported, rejection := s.findOrCreateLease(entry.Lease)
	if reported == nil {
		return Result{Rejection: rejection}
	}
	order := entry.Token.Compare(reported.Token)
	sameHolder := reported.Holder == "" || entry.Session == "" || reported.Holder == entry.Session
	known := order < 0 || order == 0 && sameHolder
	if known || entry.Token.Compare(reported.ReportedToken) <= 0 {
		return Result{Token: reported.Token}
	}
	reported.ReportedToken = entry.Token
	s.emit(Event{Lease: entry.Lease, Token: reported.Token})
	s.freeLease(entry.Lease)
	return Result{Token: reported.Token, Rejection: rejectedStateBehind}
}

// LatestToken returns the lowest fencing token of a lease that can still be valid. Receivers that have no token in memory start from it. If
// the lease hasn't been granted in the current epoch, this is the epoch's token with count 0, since a new epoch ends all earlier grants.
func (s *State) LatestToken(name string) lease.Token {
	latest := lease.Token{Epoch: s.data.Epoch}
	if granted := s.data.Leases[name]; granted != nil && granted.Token.Compare(latest) > 0 {
		latest = granted.Token
	}
	return latest
}
