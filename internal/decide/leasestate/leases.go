package leasestate

import (
	"slices"

	"wayloft/internal/decide/lease"
)

// Lease is the right of one process at a time to act for the fleet in one matter.
type Lease struct {
	Holder       string      `cbor:"1,keyasint"` // a session; empty: nobody
	Token        lease.Token `cbor:"2,keyasint"` // of the latest grant; it never goes back
	Since        uint64      `cbor:"3,keyasint"` // time of the state at which it was granted or became free
	Queue        []string    `cbor:"4,keyasint"` // sessions that requested it, the next holder first
	ForeignToken lease.Token `cbor:"5,keyasint"` // the highest that a receiver has seen though it was never granted here
	Steps        []Step      `cbor:"6,keyasint"` // since the open order was placed, or the latest ended
	Open         Order       `cbor:"7,keyasint"` // the order that the holder has to carry out
	Ended        Order       `cbor:"8,keyasint"` // the latest that was ended, with its outcome
}

// dequeue drops a session's request.
func (l *Lease) dequeue(session string) {
	l.Queue = slices.DeleteFunc(l.Queue, func(queued string) bool { return queued == session })
}

// nextToken returns the fencing token of the next grant in an epoch. Where the epoch has no more tokens it is of the epoch after.
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

// findOrCreateLease returns a lease, created free where it was never asked for.
func (s *State) findOrCreateLease(name string) (*Lease, Refusal) {
	if found := s.data.Leases[name]; found != nil {
		return found, ""
	}
	if name == "" || len(s.data.Leases) >= maxSessionsOrLeases {
		return nil, refusedLeaseNameOrCount
	}
	created := &Lease{}
	s.data.Leases[name] = created
	return created, ""
}

// acquireLease queues a session's request and grants the lease if it is free. A holder that requests it again gets the same token.
func (s *State) acquireLease(entry Entry) Result {
	requested, refusal := s.findOrCreateLease(entry.Lease)
	if requested == nil {
		return Result{Refusal: refusal}
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
		return Result{Token: requested.Token, Refusal: refusedStateBehind}
	default:
		return Result{Token: requested.Token, Refusal: Refusal("held by " + requested.Holder)}
	}
}

// applyHolderEntry applies an entry that only the holder of a lease may propose, under the token of its grant.
func (s *State) applyHolderEntry(entry Entry) Result {
	held := s.data.Leases[entry.Lease]
	if held == nil {
		return Result{Refusal: refusedNotHolder}
	}
	if held.Holder != entry.Session || held.Token != entry.Token {
		return Result{Token: held.Token, Refusal: refusedNotHolder}
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
		return Result{Held: true, Token: held.Token, Number: held.Ended.Number}
	}
	return Result{Token: held.Token}
}

// transferLease has the holder's successor granted a lease next, whoever else is in the queue.
func (s *State) transferLease(held *Lease, entry Entry) Result {
	if s.data.Sessions[entry.To] == nil {
		return Result{Held: true, Token: held.Token, Refusal: refusedNoSuccessor}
	}
	held.dequeue(entry.To)
	held.Queue = slices.Insert(held.Queue, 0, entry.To)
	s.freeLease(entry.Lease)
	return Result{Token: held.Token}
}

// grantLease gives a free lease to the first of its queue. Guards against fencing tokens that go back after state was lost: where a
// receiver has seen a token that this state doesn't know, there may have been higher ones in its epoch, so nobody gets the lease until
// an operator has begun a later epoch.
func (s *State) grantLease(name string) {
	free := s.data.Leases[name]
	if len(free.Queue) == 0 || free.Holder != "" {
		return
	}
	next := free.nextToken(s.data.Epoch)
	s.data.Epoch = next.Epoch
	if next.Epoch <= free.ForeignToken.Epoch {
		return
	}
	free.Holder, free.Token, free.Since = free.Queue[0], next, s.data.Now
	free.Queue = slices.Delete(free.Queue, 0, 1)
	s.emit(Event{Lease: name, Token: next, Session: free.Holder})
}

// freeLease takes a lease from its holder, if it has one, and grants it to the next of its queue at once.
func (s *State) freeLease(name string) {
	held := s.data.Leases[name]
	if held.Holder != "" {
		s.emit(Event{Lease: name, Token: held.Token, Session: held.Holder, Ended: true})
		held.Holder, held.Since = "", s.data.Now
	}
	s.grantLease(name)
}

// reportToken takes in that a receiver has seen a fencing token that was never granted here, or one that was granted to another
// session than the one that acted under it, where the receiver names that: this state is older than what the fleet has seen. The lease
// is taken from its holder, whose acts would be rejected, and is granted again in a later epoch only.
func (s *State) reportToken(entry Entry) Result {
	reported, refusal := s.findOrCreateLease(entry.Lease)
	if reported == nil {
		return Result{Refusal: refusal}
	}
	order := entry.Token.Compare(reported.Token)
	sameHolder := reported.Holder == "" || entry.Session == "" || reported.Holder == entry.Session
	known := order < 0 || order == 0 && sameHolder
	if known || entry.Token.Compare(reported.ForeignToken) <= 0 {
		return Result{Token: reported.Token}
	}
	reported.ForeignToken = entry.Token
	s.emit(Event{Lease: entry.Lease, Token: reported.Token})
	s.freeLease(entry.Lease)
	return Result{Token: reported.Token, Refusal: refusedStateBehind}
}

// LatestToken returns the fencing token below which nothing of a lease is in force any more: what a receiver learns that knows nothing
// yet. In an epoch without a grant it is the epoch's beginning, since the grants of epochs before are over.
func (s *State) LatestToken(name string) lease.Token {
	latest := lease.Token{Epoch: s.data.Epoch}
	if granted := s.data.Leases[name]; granted != nil && granted.Token.Compare(latest) > 0 {
		latest = granted.Token
	}
	return latest
}
