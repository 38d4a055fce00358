// Package rpc is how processes of a fleet reach each other: gRPC without TLS, the fleet's name with each call, a clock that
// also runs while the machine sleeps, and the forms of decisions' values. It owns nothing that lasts; it must never decide.
package rpc

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	mrand "math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/klauspost/compress/zstd"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
)

// protocolVersion is the version of what is said; it goes up when an older process can't understand a newer one any more.
const protocolVersion = 1

const (
	fleetKey = "wayloft-fleet"
	versionKey = "wayloft-form"
	MaxMessageSize = 4 << 20 // bytes of one message
)

// Boottime is a clock in ms that never goes back and also runs while the machine sleeps.
func Boottime() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // there since Linux 2.6.39
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

// EpochAt is that of a coordinator that begins now: the seconds since November 2023, so that one that begins later is above.
func EpochAt(now time.Time) uint64 { return uint64(max(1, now.Unix()-1700000000)) }

// UniqueID gives a number that nobody else has: of a folder, or of a start.
func UniqueID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Jitter draws a wait from half of d to one and a half: what failed together must not come again together.
func Jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + mrand.Float64()) * float64(d))
}

// Dial makes the way to a process of the fleet; it connects when it is first used, and again after it has failed.
func Dial(addr, fleet string) (*grpc.ClientConn, error) {
	with := func(ctx context.Context) context.Context {
		return metadata.AppendToOutgoingContext(ctx, fleetKey, fleet, versionKey, strconv.Itoa(protocolVersion))
	}
	return grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageSize)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 30 * time.Millisecond, Multiplier: 1.6, Jitter: 0.4, MaxDelay: time.Second}}),
		// A peer that vanished says nothing: the transport must notice.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second, PermitWithoutStream: false}),
		grpc.WithChainUnaryInterceptor(func(ctx context.Context, method string, q, a any, c *grpc.ClientConn, call grpc.UnaryInvoker, o ...grpc.CallOption) error {
			return call(with(ctx), method, q, a, c, o...)
		}),
		grpc.WithChainStreamInterceptor(func(ctx context.Context, d *grpc.StreamDesc, c *grpc.ClientConn, method string, call grpc.Streamer, o ...grpc.CallOption) (grpc.ClientStream, error) {
			return call(with(ctx), d, c, method, o...)
		}))
}

// Interceptors refuse calls of another fleet, or of a form that this build doesn't speak.
type Interceptors struct {
	Unary  grpc.UnaryServerInterceptor
	Stream grpc.StreamServerInterceptor
}

// NewInterceptors gives the checks of one fleet's process.
func NewInterceptors(fleet string) Interceptors {
	check := func(ctx context.Context) error {
		md, _ := metadata.FromIncomingContext(ctx)
		name, spoken := "", ""
		if v := md.Get(fleetKey); len(v) == 1 {
			name = v[0]
		}
		if v := md.Get(versionKey); len(v) == 1 {
			spoken = v[0]
		}
		switch {
		case name != fleet:
			return status.Errorf(codes.FailedPrecondition, "this is fleet %q, not %q", fleet, name)
		case spoken != strconv.Itoa(protocolVersion):
			return status.Errorf(codes.FailedPrecondition, "this process speaks form %d, not %q", protocolVersion, spoken)
		}
		return nil
	}
	return Interceptors{
		Unary: func(ctx context.Context, q any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			if err := check(ctx); err != nil {
				return nil, err
			}
			return h(ctx, q)
		},
		Stream: func(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			if err := check(s.Context()); err != nil {
				return err
			}
			return h(srv, s)
		},
	}
}

// EncodeToken, Update and what follows turn decisions' values into the form, and back.
func EncodeToken(f lease.Token) *fleetpb.Fence { return &fleetpb.Fence{Epoch: f.Epoch, Count: f.Count} }

func DecodeToken(f *fleetpb.Fence) lease.Token {
	return lease.Token{Epoch: f.GetEpoch(), Count: f.GetCount()}
}

func EncodeUpdate(u leaseclient.Update) *fleetpb.Update {
	out := &fleetpb.Update{Whole: u.Whole, WithoutSessions: u.WithoutSessions}
	for _, p := range u.Policies {
		out.Policies = append(out.Policies, EncodePolicy(p.Version, p.Difference))
	}
	for _, s := range u.Sessions {
		out.Sessions = append(out.Sessions, &fleetpb.Session{Name: s.Name, Kind: s.Kind, Address: s.Address, Incarnation: s.Incarnation,
			Policy: s.Policy, Ended: s.Ended})
	}
	for _, d := range u.Leases {
		one := &fleetpb.Duty{Name: d.Name, Holder: d.Holder, Fence: EncodeToken(d.Token), Open: encodeOrder(d.Open), Ended: encodeOrder(d.Ended)}
		for _, s := range d.Steps {
			one.Steps = append(one.Steps, &fleetpb.Step{Fence: EncodeToken(s.Token), Text: s.Text})
		}
		out.Duties = append(out.Duties, one)
	}
	return out
}

// DecodeUpdate passes over a version whose form is not sound, as if it had not been told.
func DecodeUpdate(in *fleetpb.Update) leaseclient.Update {
	u := leaseclient.Update{Whole: in.Whole, WithoutSessions: in.WithoutSessions}
	for _, p := range in.Policies {
		if v, x, err := DecodePolicy(p); err == nil {
			u.Policies = append(u.Policies, leaseclient.Policy{Version: v, Difference: x})
		}
	}
	for _, s := range in.Sessions {
		u.Sessions = append(u.Sessions, leaseclient.Session{Name: s.Name, Kind: s.Kind, Address: s.Address, Incarnation: s.Incarnation,
			Policy: s.Policy, Ended: s.Ended})
	}
	for _, d := range in.Duties {
		one := leaseclient.Lease{Name: d.Name, Holder: d.Holder, Token: DecodeToken(d.Fence), Open: decodeOrder(d.Open), Ended: decodeOrder(d.Ended)}
		for _, s := range d.Steps {
			one.Steps = append(one.Steps, leasestate.Step{Token: DecodeToken(s.Fence), Text: s.Text})
		}
		u.Leases = append(u.Leases, one)
	}
	return u
}

// EncodePolicy and FromPolicy turn a version, and what led to it if that is told.
func EncodePolicy(v policy.Version, x *policy.Difference) *fleetpb.Policy {
	p := &fleetpb.Policy{Epoch: v.Epoch, Number: v.Number, Hash: v.Hash[:], Base: v.Base, Size: uint64(v.Size), Author: v.Author, Reason: v.Reason}
	if x != nil {
		p.Told, p.Difference = true, x.Encode()
	}
	return p
}

func DecodePolicy(p *fleetpb.Policy) (v policy.Version, x *policy.Difference, err error) {
	v = policy.Version{Epoch: p.GetEpoch(), Number: p.GetNumber(), Base: p.GetBase(), Size: int(p.GetSize()), Author: p.GetAuthor(), Reason: p.GetReason()}
	if copy(v.Hash[:], p.GetHash()) != len(v.Hash) || len(p.GetHash()) != len(v.Hash) {
		return v, nil, fmt.Errorf("policy: a hash of %d bytes", len(p.GetHash()))
	}
	if err := v.Check(); err != nil {
		return v, nil, err
	}
	if p.GetTold() {
		d, err := policy.DecodeDifference(p.GetDifference())
		if err != nil {
			return v, nil, err
		}
		x = &d
	}
	return v, x, nil
}

// Compress and Unpack are zstd (RFC 8878). What comes of Unpack is at most so many bytes, or an error: a few bytes may unpack to a
// great many.
func Compress(b []byte) []byte { return encoder().EncodeAll(b, nil) }

var encoder = sync.OnceValue(func() *zstd.Encoder { // a process that only unpacks makes none
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(256<<10), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // of its options alone
	}
	return e
})

func Decompress(b []byte, most int) ([]byte, error) {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(most)))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(b, nil)
}

func encodeOrder(w leasestate.Order) *fleetpb.Wish { return &fleetpb.Wish{Number: w.Number, Text: w.Text} }

func decodeOrder(w *fleetpb.Wish) leasestate.Order {
	return leasestate.Order{Number: w.GetNumber(), Text: w.GetText()}
}

// DecodeResult reads an answer of the coordinator.
func DecodeResult(a *fleetpb.Answer) leasestate.Result {
	return leasestate.Result{Held: a.Held, Fence: DecodeToken(a.Fence), Why: a.Why, Number: a.Number}
}
