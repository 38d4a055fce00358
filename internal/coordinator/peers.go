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

// maxQueuedMessages is how many messages wait for one peer; more are dropped, as a network would drop them.
const maxQueuedMessages = 256

var errStreamEnded = errors.New("the peer has ended the stream")

// peerStream is how messages are sent to one peer.
type peerStream struct {
	messages chan *raftpb.Message
	address  string
	stop     context.CancelFunc
}

// send queues a message for its peer.
func (s *Server) send(message *raftpb.Message) {
	peer, known := s.node.Peer(message.GetTo())
	if !known { // a node that joins receives messages before it knows the members
		if peer, known = s.joiningPeers[message.GetTo()]; !known {
			return
		}
	}
	select {
	case s.streamTo(peer).messages <- message:
	default:
		s.reportSent(message, false)
	}
}

// streamTo returns the stream to a peer; it starts one if there is none to the peer's present address.
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
	s.goroutines.Go(func() { s.keepStreaming(ctx, stream, peer) })
	s.closeStreamsToFormerPeers()
	return stream
}

// closeStreamsToFormerPeers closes the streams to nodes that have left the cluster.
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

// closePeerStreams drops what waits to be sent. It rests on what was stored, but a peer may answer it before this node is back.
func (s *Server) closePeerStreams() {
	for id, stream := range s.peerStreams {
		stream.stop()
		delete(s.peerStreams, id)
	}
}

// reportSent notifies the node of what became of a message, where it must know.
func (s *Server) reportSent(message *raftpb.Message, delivered bool) {
	isSnapshot := message.GetType() == raftpb.MsgSnap
	if delivered && !isSnapshot {
		return
	}
	s.goroutines.Go(func() { // the loop itself may be the caller, and its inbox may be full
		// An error means that the process ends.
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

// keepStreaming keeps a stream to a peer open until ctx ends, and opens another whenever one ends.
func (s *Server) keepStreaming(ctx context.Context, stream *peerStream, peer raftnode.Peer) {
	conn, err := rpc.Dial(stream.address, s.settings.Fleet)
	if err != nil {
		logrus.WithError(err).WithField("peer", peer.Name).Error("peer connection failed")
		return
	}
	defer func() {
		if err := conn.Close(); err != nil {
			logrus.WithError(err).WithField("peer", peer.Name).Debug("peer connection not closed")
		}
	}()
	lastRejection := ""
	for ctx.Err() == nil {
		err := s.stream(ctx, fleetpb.NewCouncilClient(conn), stream)
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

// stream sends messages to a peer until one can't be sent or either end ends the stream.
func (s *Server) stream(ctx context.Context, client fleetpb.CouncilClient, queued *peerStream) error {
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
			return endReason(stream)
		case message = <-queued.messages:
		}
		encoded, err := proto.Marshal(message)
		if err != nil {
			return err
		}
		if err := stream.Send(&fleetpb.Parcel{Message: encoded, From: sender}); err != nil {
			s.reportSent(message, false)
			return endReason(stream)
		}
		sender = nil // only the first parcel has it
		s.reportSent(message, true)
	}
}

// endReason returns the error with which the other end has ended a stream.
func endReason(stream grpc.ClientStreamingClient[fleetpb.Parcel, fleetpb.Empty]) error {
	if _, err := stream.CloseAndRecv(); err != nil {
		return err
	}
	return errStreamEnded
}

// dropQueued drops what waits for a peer that can't be reached: once it is back, old messages are of no use to it.
func (s *Server) dropQueued(queued *peerStream) {
	for {
		select {
		case message := <-queued.messages:
			s.reportSent(message, false)
		default:
			return
		}
	}
}
