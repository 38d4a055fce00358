package coordinator

import (
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/rpc"
	"wayloft/internal/storage"
)

// suspended reports whether this node takes part in nothing, because what it holds in memory may not be on its disk.
func (s *Server) suspended() bool { return s.node == nil }

// suspend gives the node up after a storage failure: it sends nothing more that rests on what could not be stored, neither votes nor
// acknowledgements. Requests that wait end with an unknown result.
func (s *Server) suspend(err error) {
	if s.node != nil {
		s.auditedIndex = max(s.auditedIndex, s.node.State().Index())
	}
	s.node = nil
	s.closePeerStreams()
	for request, deliver := range s.pending {
		delete(s.pending, request)
		deliver(raftnode.Decision{Action: raftnode.ResultUnknown, Request: request})
	}
	s.wakeWatchers()
	if s.backoff.Fail(s.now()) {
		logrus.WithError(err).WithField("directory", s.settings.Dir).Error("storage failed: standing down until it works again")
		s.settings.AuditLog.Add("suspended", audit.Fields{"why": err.Error()})
	}
}

// resume reopens the data directory and builds the node from what is there. It returns an error if this process can't go on.
func (s *Server) resume() error {
	err := s.load()
	if errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrInUse) && s.store != nil {
		s.backoff.Fail(s.now())
		return nil
	}
	return err
}

// load opens the data directory, for the first time or again, and builds the node from what is there.
func (s *Server) load() error {
	if err := s.openStore(); err != nil {
		return err
	}
	if err := s.loadNode(); err != nil {
		return fmt.Errorf("%s: %w", s.settings.Dir, err)
	}
	return nil
}

func (s *Server) openStore() (err error) {
	if s.store != nil {
		return s.store.Reopen()
	}
	s.store, err = storage.Open(s.settings.Dir, s.settings.Fleet, s.settings.Name, rpc.UniqueID)
	return err
}

// loadNode builds the node from what the store holds, if that is all that the node knew to be stored.
func (s *Server) loadNode() error {
	stored, incarnations, err := ReadStored(s.store)
	if err != nil {
		return err
	}
	if err := s.durable.Check(stored); err != nil {
		return err
	}
	node, initial, err := s.newNode(stored)
	if err != nil {
		return err
	}
	if initial != nil {
		if err := WriteDecision(s.store, *initial); err != nil {
			return err
		}
	}
	s.durable.Loaded(stored)
	if initial != nil {
		s.durable.Attempt(*initial)
		s.durable.Confirm()
	}
	s.node = node
	if s.incarnations == nil {
		s.incarnations = incarnations
	}
	s.incarnations.Known = incarnations.Known // what messages have proved beside that still counts
	if s.identity.Name == "" {                // a store that was reopened goes on as the same incarnation
		s.setIdentity(stored)
	}
	return nil
}

// newNode returns a node from what is stored, and what must be stored before it is used; nil: nothing.
func (s *Server) newNode(stored raftnode.Stored) (*raftnode.Node, *raftnode.Decision, error) {
	// Raft's own lines are about its internals: only its errors are logged.
	log := logrus.New()
	log.SetOutput(logrus.StandardLogger().Out)
	log.SetFormatter(logrus.StandardLogger().Formatter)
	log.SetLevel(logrus.ErrorLevel)
	return raftnode.New(raftnode.Settings{
		Fleet:            s.settings.Fleet,
		Name:             s.settings.Name,
		Peers:            s.settings.Peers,
		Epoch:            rpc.EpochAt(time.Now()),
		KnownEpoch:       s.settings.KnownEpoch,
		Tick:             s.settings.TickMs,
		SnapshotInterval: s.settings.SnapshotInterval,
		Logger:           log,
	}, stored)
}

// setIdentity records what this node sends its peers about its data directory.
func (s *Server) setIdentity(stored raftnode.Stored) {
	s.identity = raftnode.Identity{
		Name:         s.settings.Name,
		StorageID:    s.store.Identity.StorageID,
		Incarnations: s.store.Identity.Incarnations,
		Term:         stored.HardState.GetTerm(),
		LastIndex:    stored.Snapshot.GetMetadata().GetIndex(),
	}
	if count := len(stored.Entries); count > 0 {
		s.identity.LastIndex = stored.Entries[count-1].GetIndex()
	}
}

// save stores a decision, or suspends this node; false: it is suspended.
func (s *Server) save(d raftnode.Decision) bool {
	s.durable.Attempt(d)
	if err := WriteDecision(s.store, d); err != nil {
		s.suspend(err)
		return false
	}
	s.durable.Confirm()
	s.writeSucceeded()
	return true
}

// writeSucceeded records that the storage works.
func (s *Server) writeSucceeded() {
	if s.backoff.Succeed(s.now()) {
		logrus.WithFields(logrus.Fields{"directory": s.settings.Dir, "applied": s.node.Applied()}).Info("storage works again")
		s.settings.AuditLog.Add("resumed", audit.Fields{"applied": s.node.Applied()})
	}
}

func (s *Server) closeStore() {
	if s.store == nil {
		return
	}
	if err := s.store.Close(); err != nil {
		logrus.WithError(err).WithField("directory", s.settings.Dir).Debug("storage not closed")
	}
}
