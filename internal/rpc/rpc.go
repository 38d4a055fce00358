// Package rpc connects the processes of a fleet by gRPC without TLS. Each call carries the fleet name and the protocol version in its
// metadata. The package also converts between the types of the decision packages and the protocol's messages. It keeps no state and makes
// no decisions.
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

// protocolVersion is incremented by changes that older processes can't interoperate with.
const protocolVersion = 1

// Metadata keys of each call.
const (
	fleetKey   = "wayloft-fleet"
	versionKey = "wayloft-form"
)

// MaxMessageBytes is the maximum size of one message, in either direction.
const MaxMessageBytes = 4 << 20

// Connection establishment and keepalive parameters.
const (
	connectTimeout    = time.Second
	minConnectBackoff = 30 * time.Millisecond
	maxConnectBackoff = time.Second
	backoffMultiplier = 1.6
	backoffJitter     = 0.4
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
)

// Dial returns a connection to a process of the fleet. It is established on first use, and again with backoff after a failure.
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
		// Detects a peer that disappeared without closing its connection.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: false}),
		grpc.WithChainUnaryInterceptor(unary),
		grpc.WithChainStreamInterceptor(stream))
}

// Interceptors reject calls from another fleet, or with an unsupported protocol version, with FailedPrecondition.
type Interceptors struct {
	Unary  grpc.UnaryServerInterceptor
	Stream grpc.StreamServerInterceptor
}

// NewInterceptors returns the server interceptors for a process of a fleet.
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
	callerFleet, callerVersion := singleValue(received, fleetKey), singleValue(received, versionKey)
	switch {
	case callerFleet != fleet:
		return status.Errorf(codes.FailedPrecondition, "this is fleet %q, not %q", fleet, callerFleet)
	case callerVersion != strconv.Itoa(protocolVersion):
		return status.Errorf(codes.FailedPrecondition, "this process speaks form %d, not %q", protocolVersion, callerVersion)
	}
	return nil
}

// singleValue returns the value of a key, or "" unless it has exactly one value.
func singleValue(received metadata.MD, key string) string {
	if values := received.Get(key); len(values) == 1 {
		return values[0]
	}
	return ""
}
