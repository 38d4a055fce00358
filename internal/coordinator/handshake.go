package coordinator

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/audit"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/fleetpb"
	"wayloft/internal/storage"
)

// Carry receives the messages of one peer until its stream ends. It implements the gRPC service.
func (s *Server) Carry(stream grpc.ClientStreamingServer[fleetpb.Parcel, fleetpb.Empty]) error {
	var sender string
	for first := true; ; first = false {
		parcel, err := stream.Recv()
		if err != nil {
			return nil // the peer ended the stream or disconnected, so nobody would receive an error
		}
		if first && parcel.From == nil {
			return status.Error(codes.InvalidArgument, "the first parcel must say who sends")
		}
		if parcel.From != nil {
			if err := s.handshake(stream.Context(), parcel.From); err != nil {
				return err
			}
			sender = parcel.From.Name
		}
		if len(parcel.Message) == 0 {
			continue
		}
		if err := s.receive(stream.Context(), sender, parcel.Message); err != nil {
			return err
		}
	}
}

// receive decodes a message of a peer and passes it to the node.
func (s *Server) receive(ctx context.Context, sender string, encoded []byte) error {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return status.Errorf(codes.InvalidArgument, "message of %s: %v", sender, err)
	}
	if message.GetFrom() != raftnode.ID(sender) {
		return status.Errorf(codes.InvalidArgument, "message of %d on the way of %s", message.GetFrom(), sender)
	}
	return s.post(ctx, func() {
		if s.suspended() { // drop it, as the network might
			return
		}
		s.incarnations.MessageReceived(sender, message, s.node.Applied())
		if err := s.node.Step(message); err != nil {
			logrus.WithError(err).WithField("peer", sender).Debug("peer message dropped")
		}
	})
}

// handshake checks the identity of a peer's data directory, and stores a new incarnation before any message of the peer is passed on.
func (s *Server) handshake(ctx context.Context, sender *fleetpb.Identity) error {
	rejection, err := query(ctx, s, func() error { return s.checkIdentity(sender) })
	if err != nil {
		return err
	}
	return rejection
}

// checkIdentity returns an error if the peer is rejected. In the protocol, Folder is the peer's storage ID and Starts are its incarnations.
func (s *Server) checkIdentity(sender *fleetpb.Identity) error {
	changed, err := s.incarnations.Handshake(raftnode.Identity{
		Name:         sender.Name,
		StorageID:    sender.Folder,
		Incarnations: sender.Starts,
		Term:         sender.Term,
		LastIndex:    sender.Last,
	})
	if err != nil {
		logrus.WithField("peer", sender.Name).WithError(err).Error("peer rejected")
		s.settings.AuditLog.Add("stranger", audit.Fields{"from": sender.Name, "why": err.Error()})
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	s.recordJoiningPeer(sender)
	if !changed {
		return nil
	}
	if err := s.storeIncarnations(sender.Name); err != nil {
		s.suspend(err)
		return errStorage
	}
	s.writeSucceeded()
	return nil
}

// recordJoiningPeer stores a peer's address in memory while this node knows no members. A node that joins must reply to the peers that
// contact it before it can receive the list of members.
func (s *Server) recordJoiningPeer(sender *fleetpb.Identity) {
	if len(s.node.Peers()) > 0 {
		clear(s.joiningPeers)
		return
	}
	if len(s.joiningPeers) < maxJoiningPeers {
		id := raftnode.ID(sender.Name)
		s.joiningPeers[id] = raftnode.Peer{ID: id, Name: sender.Name, Addr: sender.Address}
	}
}

// storeIncarnations stores the known incarnations of the members, the initial members and the sender, and forgets those of other nodes.
func (s *Server) storeIncarnations(sender string) error {
	retained := map[string]bool{sender: true}
	for _, peer := range s.node.Peers() {
		retained[peer.Name] = true
	}
	for _, peer := range s.settings.Peers {
		retained[peer.Name] = true
	}
	s.incarnations.Retain(retained)
	encoded, err := cbor.Marshal(s.incarnations.Known)
	if err != nil {
		return err
	}
	return s.store.Write(storage.Batch{Values: map[string][]byte{incarnationsValue: encoded}})
}
