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

// suspended reports whether this node has stopped taking part in the cluster because its storage failed: its state in memory may not be on
// disk.
func (s *Server) suspended() bool { return s.node == nil }

// suspend discards the node after a storage failure, so that it sends no votes or acknowledgements that depend on data that could not be
// stored. Pending requests end with an unknown result.
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
	s.notifyWatchers()
	if s.backoff.RecordFailure(s.now()) {
		logrus.WithError(err).WithField("directory", s.settings.Dir).Error("storage failed; node suspended until the storage recovers")
		s.settings.AuditLog.Add("suspended", audit.Fields{"why": err.Error()})
	}
}

// resume reopens the data directory and recreates the node from it. It returns only fatal errors; if the storage still fails, it schedules
// another attempt.
func (s *Server) resume() error {
	err := s.load()
	if errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrInUse) && s.store != nil {
		s.backoff.RecordFailure(s.now())
		return nil
	}
	return err
}

// load opens or reopens the data directory and creates the node from it.
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

// loadNode creates the node from the store. It returns an error if the store lacks data that was known to be stored.
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
	s.incarnations.Known = incarnations.Known // what was learned from messages is kept
	if s.identity.Name == "" {                // reopening the store does not start a new incarnation
		s.setIdentity(stored)
	}
	return nil
}

// newNode creates a node from stored data. The decision, unless nil, must be stored before the node is used.
func (s *Server) newNode(stored raftnode.Stored) (*raftnode.Node, *raftnode.Decision, error) {
	// Raft's log lines describe its internals, so only its errors are logged.
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

// setIdentity sets the identity of the data directory, which this node sends to its peers.
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

// save stores a decision. If that fails, it suspends the node and returns false.
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

// writeSucceeded resets the backoff after a successful write, and logs a recovery.
func (s *Server) writeSucceeded() {
	if s.backoff.RecordSuccess(s.now()) {
		logrus.WithFields(logrus.Fields{"directory": s.settings.Dir, "applied": s.node.Applied()}).Info("storage recovered")
		s.settings.AuditLog.Add("resumed", audit.Fields{"applied": s.node.Applied()})
	}
}

func (s *Server) closeStore() {
	if s.store == nil {
		return
	}
	if err := s.store.Close(); err != nil {
		logrus.WithError(err).WithField("directory", s.settings.Dir).Debug("failed to close storage")
	}
}
