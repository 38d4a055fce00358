package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/audit"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// maxQueuedMessages limits the send queue of one peer. Messages beyond it are dropped; Raft tolerates lost messages.
const maxQueuedMessages = 256

var errStreamEnded = errors.New("peer closed the stream")

// peerStream is the outgoing message stream to one peer.
type peerStream struct {
	messages chan *raftpb.Message
	address  string
	stop     context.CancelFunc
}

// send queues a message for its recipient, or drops it if the queue is full or the recipient is unknown.
func (s *Server) send(message *raftpb.Message) {
	peer, known := s.node.Peer(message.GetTo())
	if !known { // a joining node receives messages before it knows the members
		if peer, known = s.joiningPeers[message.GetTo()]; !known {
			return
		}
	}
	select {
	case s.streamTo(peer).messages <- message:
	default:
		s.reportDelivery(message, false)
	}
}

// streamTo returns the stream to a peer. It starts a new one if there is none to the peer's current address.
func (s *Server) streamTo(peer raftnode.Peer) *peerStream {
	address := peer.Addr
	if override := s.settings.PeerAddresses[peer.Name]; override != "" {
		address = override
	}
	stream := s.peerStreams[peer.ID]
	if stream != nil && stream.address == address {
		return stream
	}
	if stream != nil {
		stream.stop()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	stream = &peerStream{messages: make(chan *raftpb.Message, maxQueuedMessages), address: address, stop: cancel}
	s.peerStreams[peer.ID] = stream
	s.goroutines.Go(func() { s.maintainStream(ctx, stream, peer) })
	s.closeStreamsToFormerPeers()
	return stream
}

// closeStreamsToFormerPeers closes the streams to nodes that left the cluster.
func (s *Server) closeStreamsToFormerPeers() {
	for id, stream := range s.peerStreams {
		_, isMember := s.node.Peer(id)
		_, isJoining := s.joiningPeers[id]
		if !isMember && !isJoining {
			stream.stop()
			delete(s.peerStreams, id)
		}
	}
}

// closePeerStreams closes all streams and discards the queued messages. They depend only on stored data, but a peer might reply to them
// before this node has resumed.
func (s *Server) closePeerStreams() {
	for id, stream := range s.peerStreams {
		stream.stop()
		delete(s.peerStreams, id)
	}
}

// reportDelivery notifies the node of a message that could not be delivered, and of the outcome of each snapshot.
func (s *Server) reportDelivery(message *raftpb.Message, delivered bool) {
	isSnapshot := message.GetType() == raftpb.MsgSnap
	if delivered && !isSnapshot {
		return
	}
	s.goroutines.Go(func() { // not inline: the loop itself may be the caller, and its inbox may be full
		// post fails only when the node shuts down.
		_ = s.post(s.ctx, func() {
			switch {
			case s.suspended():
			case isSnapshot:
				s.node.SnapshotSent(message.GetTo(), delivered)
			default:
				s.node.Unreachable(message.GetTo())
			}
		})
	})
}

// maintainStream keeps a stream to a peer open until ctx ends, and reopens it after a jittered delay whenever it fails.
func (s *Server) maintainStream(ctx context.Context, stream *peerStream, peer raftnode.Peer) {
	conn, err := rpc.Dial(stream.address, s.settings.Fleet)
	if err != nil {
		logrus.WithError(err).WithField("peer", peer.Name).Error("peer connection failed")
		return
	}
	defer func() {
		if err := conn.Close(); err != nil {
			logrus.WithError(err).WithField("peer", peer.Name).Debug("failed to close peer connection")
		}
	}()
	lastRejection := ""
	for ctx.Err() == nil {
		err := s.sendMessages(ctx, fleetpb.NewCouncilClient(conn), stream)
		if ctx.Err() != nil {
			return
		}
		if reason := status.Convert(err).Message(); status.Code(err) == codes.FailedPrecondition && reason != lastRejection {
			lastRejection = reason
			logrus.WithFields(logrus.Fields{"peer": peer.Name, "reason": reason}).Error("rejected by peer")
			s.settings.AuditLog.Add("refused", audit.Fields{"by": peer.Name, "why": reason})
		}
		select {
		case <-ctx.Done():
		case <-time.After(rpc.Jitter(time.Duration(s.settings.TickMs * float64(time.Millisecond)))):
		}
	}
}

// sendMessages opens a stream to a peer and sends queued messages until a send fails or the stream or ctx ends.
func (s *Server) sendMessages(ctx context.Context, client fleetpb.CouncilClient, queued *peerStream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Carry(ctx)
	if err != nil {
		s.dropQueued(queued)
		return err
	}
	sender := &fleetpb.Identity{
		Name:    s.identity.Name,
		Folder:  s.identity.StorageID,
		Starts:  s.identity.Incarnations,
		Term:    s.identity.Term,
		Last:    s.identity.LastIndex,
		Address: s.settings.Address,
	}
	for {
		var message *raftpb.Message
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stream.Context().Done():
			return streamError(stream)
		case message = <-queued.messages:
		}
		encoded, err := proto.Marshal(message)
		if err != nil {
			return err
		}
		if err := stream.Send(&fleetpb.Parcel{Message: encoded, From: sender}); err != nil {
			s.reportDelivery(message, false)
			return streamError(stream)
		}
		sender = nil // only the first parcel carries the identity
		s.reportDelivery(message, true)
	}
}

// streamError returns the error with which the peer ended a stream.
func streamError(stream grpc.ClientStreamingClient[fleetpb.Parcel, fleetpb.Empty]) error {
	if _, err := stream.CloseAndRecv(); err != nil {
		return err
	}
	return errStreamEnded
}

// dropQueued discards the messages queued for an unreachable peer: they will be outdated once it is reachable again.
func (s *Server) dropQueued(queued *peerStream) {
	for {
		select {
		case message := <-queued.messages:
			s.reportDelivery(message, false)
		default:
			return
		}
	}
}
