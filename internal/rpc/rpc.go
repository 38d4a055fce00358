// Package rpc is how processes of a fleet reach each other: gRPC without TLS, with the fleet's name and the protocol's version in the
// metadata of each call, and the conversions between the values of the decision packages and the protocol's messages. It holds no state
// and decides nothing.
package rpc

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// protocolVersion is increased when an older process can't understand a newer one any more.
const protocolVersion = 1

// Keys of each call's metadata.
const (
	fleetKey   = "wayloft-fleet"
	versionKey = "wayloft-form"
)

// MaxMessageBytes is the most bytes that one message may have, in either direction.
const MaxMessageBytes = 4 << 20

// How a connection is established and how the loss of the other end is noticed.
const (
	connectTimeout    = time.Second
	minConnectBackoff = 30 * time.Millisecond
	maxConnectBackoff = time.Second
	backoffMultiplier = 1.6
	backoffJitter     = 0.4
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
)

// Dial returns a connection to a process of the fleet. It connects when it is first used, and again with a backoff after it has failed.
func Dial(address, fleet string) (*grpc.ClientConn, error) {
	withMetadata := func(ctx context.Context) context.Context {
		return metadata.AppendToOutgoingContext(ctx, fleetKey, fleet, versionKey, strconv.Itoa(protocolVersion))
	}
	unary := func(ctx context.Context, method string, request, response any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker,
		options ...grpc.CallOption) error {
		return invoke(withMetadata(ctx), method, request, response, conn, options...)
	}
	stream := func(ctx context.Context, description *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer,
		options ...grpc.CallOption) (grpc.ClientStream, error) {
		return open(withMetadata(ctx), description, conn, method, options...)
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: connectTimeout, Backoff: backoff.Config{BaseDelay: minConnectBackoff,
			Multiplier: backoffMultiplier, Jitter: backoffJitter, MaxDelay: maxConnectBackoff}}),
		// Guards against a peer that vanished without closing its connection.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: false}),
		grpc.WithChainUnaryInterceptor(unary),
		grpc.WithChainStreamInterceptor(stream))
}

// Interceptors reject calls of another fleet, or of a protocol version that this build doesn't speak, with FailedPrecondition.
type Interceptors struct {
	Unary  grpc.UnaryServerInterceptor
	Stream grpc.StreamServerInterceptor
}

// NewInterceptors returns the interceptors for the server of a process of this fleet.
func NewInterceptors(fleet string) Interceptors {
	return Interceptors{
		Unary: func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
			if err := checkMetadata(ctx, fleet); err != nil {
				return nil, err
			}
			return handle(ctx, request)
		},
		Stream: func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
			if err := checkMetadata(stream.Context(), fleet); err != nil {
				return err
			}
			return handle(server, stream)
		},
	}
}

func checkMetadata(ctx context.Context, fleet string) error {
	received, _ := metadata.FromIncomingContext(ctx)
	callerFleet, callerVersion := onlyValue(received, fleetKey), onlyValue(received, versionKey)
	switch {
	case callerFleet != fleet:
		return status.Errorf(codes.FailedPrecondition, "this is fleet %q, not %q", fleet, callerFleet)
	case callerVersion != strconv.Itoa(protocolVersion):
		return status.Errorf(codes.FailedPrecondition, "this process speaks form %d, not %q", protocolVersion, callerVersion)
	}
	return nil
}

// onlyValue returns the value of a key that is there once, else "".
func onlyValue(received metadata.MD, key string) string {
	if values := received.Get(key); len(values) == 1 {
		return values[0]
	}
	return ""
}
