package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// recordedMessagesDir has messages that processes of commit dd13dd4 exchanged. The tests guard against a build that can't communicate with
// an earlier one: processes of both run side by side during an upgrade.
const recordedMessagesDir = "testdata/messages-dd13dd4"

const (
	coordinator  = "/wayloft.fleet.v1.Council/"
	receiver     = "/wayloft.fleet.v1.Receiver/"
	testDeadline = time.Minute // far longer than any of these tests takes
)

// recordedMessage is a recorded message in its wire encoding.
type recordedMessage struct {
	Method  string `json:"method"`
	Message string `json:"message"`
	Bytes   []byte `json:"bytes"`
}

// readRecorded reads the recorded messages of an RPC method.
func readRecorded(t *testing.T, name, method string) (all [][]byte) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(recordedMessagesDir, name))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(text) {
		var m recordedMessage
		if err := json.Unmarshal(line, &m); err != nil {
			t.Fatal(err)
		}
		if m.Method == method {
			all = append(all, m.Bytes)
		}
	}
	if len(all) == 0 {
		t.Fatalf("%s: no messages of %s", name, method)
	}
	return all
}

// rawBytes is an encoded message.
type rawBytes []byte

// rawCodec sends and receives encoded messages unchanged.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error) { return *v.(*rawBytes), nil }
func (rawCodec) Unmarshal(b []byte, v any) error {
	*v.(*rawBytes) = bytes.Clone(b)
	return nil
}
func (rawCodec) Name() string { return "proto" }

// serveRecorded serves all methods like a process of the earlier build: it requires the recorded metadata and sends the responses that
// respond returns.
func serveRecorded(t *testing.T, respond func(method string, request []byte) (responses [][]byte, err error)) (address string) {
	t.Helper()
	server := grpc.NewServer(grpc.ForceServerCodec(rawCodec{}), grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		sent, _ := metadata.FromIncomingContext(stream.Context())
		if fleet, form := sent.Get("wayloft-fleet"), sent.Get("wayloft-form"); fmt.Sprint(fleet, form) != "[lab] [1]" {
			return status.Errorf(codes.FailedPrecondition, "fleet %q, form %q", fleet, form)
		}
		method, _ := grpc.MethodFromServerStream(stream)
		var request rawBytes
		if err := stream.RecvMsg(&request); err != nil {
			return err
		}
		responses, err := respond(method, request)
		for _, b := range responses {
			response := rawBytes(b)
			if err := stream.SendMsg(&response); err != nil {
				return err
			}
		}
		return err
	}))
	return serveGRPC(t, server)
}

// errRecordingEnded is returned after the last recorded message. The client does not retry after this error.
var errRecordingEnded = status.Error(codes.FailedPrecondition, "nothing more was recorded")

// newRecordedClient returns a client of a coordinator node that responds to each call with the next of the given messages.
func newRecordedClient(t *testing.T, method string, responses [][]byte) *Client {
	t.Helper()
	next := 0
	address := serveRecorded(t, func(called string, _ []byte) ([][]byte, error) {
		if called != method {
			return nil, status.Errorf(codes.Unimplemented, "got a call of %s, want %s", called, method)
		}
		if next == len(responses) {
			return nil, errRecordingEnded
		}
		next++
		return responses[next-1 : next], nil
	})
	client := NewClient("lab", []string{address}, map[string]string{"c1": address, "c2": address, "c3": address})
	t.Cleanup(client.Close)
	return client
}

// callAll repeats a call until it fails, which it does after the last recorded message, and writes each result to out.
func callAll(t *testing.T, out *strings.Builder, what string, call func(context.Context) (string, error)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	for n := 1; ; n++ {
		result, err := call(ctx)
		if err != nil {
			fmt.Fprintf(out, "%s ended after %d: %s\n", what, n-1, err.Error()[strings.LastIndex(err.Error(), ": ")+2:])
			return
		}
		fmt.Fprintf(out, "%s %d: %s\n", what, n, result)
	}
}

func describeResult(a leasestate.Result) string {
	return fmt.Sprintf("held %t token %d.%d why %q number %d", a.Held, a.Token.Epoch, a.Token.Count, a.Rejection, a.Number)
}

// describeUpdate formats an update as a router decodes it.
func describeUpdate(message *fleetpb.Update) string {
	u := rpc.DecodeUpdate(message)
	out := &strings.Builder{}
	fmt.Fprintf(out, "index %d whole %t without sessions %t", message.Index, u.Complete, u.WithoutSessions)
	for _, s := range u.Sessions {
		fmt.Fprintf(out, "\n  session %s kind %s address %s incarnation %d policy %s ended %t", s.Name, s.Role, s.Address, s.Incarnation,
			policy.FormatPacked(s.Policy), s.Ended)
	}
	for _, d := range u.Leases {
		fmt.Fprintf(out, "\n  lease %s holder %q token %d.%d open %d %q ended %d %q steps %d", d.Name, d.Holder, d.Token.Epoch, d.Token.Count, d.Open.Number,
			d.Open.Text, d.Ended.Number, d.Ended.Text, len(d.Steps))
		for _, step := range d.Steps {
			fmt.Fprintf(out, "\n    step %d.%d %q", step.Token.Epoch, step.Token.Count, step.Text)
		}
	}
	for _, p := range u.Policies {
		fmt.Fprintf(out, "\n  policy %s", strings.TrimSpace(describeStored(p.Version, nil)))
		if p.Difference != nil {
			fmt.Fprintf(out, " difference %x", p.Difference.Encode())
		}
	}
	return out.String()
}

// describeState formats the state returned by a coordinator node.
func describeState(s *fleetpb.State) string {
	out := &strings.Builder{}
	fmt.Fprintf(out, "epoch %d refused %d %s", s.Epoch, s.Refused, describeUpdate(s.State))
	for _, p := range s.Council {
		fmt.Fprintf(out, "\n  node %s address %s leads %t applied %d level %t known %t", p.Name, p.Address, p.Leader, p.Applied, p.Level, p.Known)
	}
	for _, one := range s.State.Sessions {
		fmt.Fprintf(out, "\n  session %s silent %d refused %d rejected %s why %q", one.Name, one.SilentMs, one.Refused, policy.FormatPacked(one.Wont), one.Why)
	}
	for _, one := range s.State.Duties {
		fmt.Fprintf(out, "\n  lease %s since %d queue %q barred %d.%d", one.Name, one.SinceMs, one.Queue, one.Barred.GetEpoch(), one.Barred.GetCount())
	}
	return out.String()
}

// describePolicies formats a policy and its history.
func describePolicies(p Policies) string {
	out := &strings.Builder{}
	out.WriteString(describeStored(p.Version, p.Document))
	for _, change := range p.History {
		fmt.Fprintf(out, "  history %s    difference %x\n", describeStored(change.Version, nil), change.Difference.Encode())
	}
	return strings.TrimSuffix(out.String(), "\n")
}

// splitAnswers splits the recorded responses of Do into those to token queries and all others.
func splitAnswers(t *testing.T) (tokens, others [][]byte) {
	t.Helper()
	for _, b := range readRecorded(t, "responses.jsonl", coordinator+"Do") {
		a := &fleetpb.Answer{}
		if err := proto.Unmarshal(b, a); err != nil {
			t.Fatal(err)
		}
		if len(a.Fences) > 0 {
			tokens = append(tokens, b)
		} else {
			others = append(others, b)
		}
	}
	return tokens, others
}

// The client decodes recorded responses of earlier coordinator nodes as the earlier client did, and follows their redirects.
func TestRecordedResponses_AreAccepted(t *testing.T) {
	out := &strings.Builder{}
	tokens, others := splitAnswers(t)
	do := newRecordedClient(t, coordinator+"Do", others)
	callAll(t, out, "do", func(ctx context.Context) (string, error) {
		a, err := do.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.KeepAlive, Session: "r", Incarnation: 1})
		return describeResult(a), err
	})
	latest := newRecordedClient(t, coordinator+"Do", tokens)
	callAll(t, out, "stands", func(ctx context.Context) (string, error) {
		tokens, err := latest.LatestTokens(ctx, []string{"handover/0", "sight/0"})
		return fmt.Sprint(tokens), err
	})
	change := newRecordedClient(t, coordinator+"Change", readRecorded(t, "responses.jsonl", coordinator+"Change"))
	callAll(t, out, "change", func(ctx context.Context) (string, error) {
		a, err := change.ChangeMembership(ctx, &fleetpb.Members{})
		return describeResult(a), err
	})
	look := newRecordedClient(t, coordinator+"Look", readRecorded(t, "responses.jsonl", coordinator+"Look"))
	callAll(t, out, "look", func(ctx context.Context) (string, error) {
		s, err := look.State(ctx)
		if err != nil {
			return "", err
		}
		return describeState(s), nil
	})
	policies := newRecordedClient(t, coordinator+"Policies", readRecorded(t, "responses.jsonl", coordinator+"Policies"))
	callAll(t, out, "policies", func(ctx context.Context) (string, error) {
		p, err := policies.Policy(ctx)
		return describePolicies(p), err
	})
	part := newRecordedClient(t, coordinator+"Policy", readRecorded(t, "responses.jsonl", coordinator+"Policy"))
	callAll(t, out, "part", func(ctx context.Context) (string, error) {
		p, err := part.fetchPolicyPart(ctx, policy.Request{MaxBytes: 1024}, true)
		if err != nil {
			return "", err
		}
		text, err := rpc.Decompress(p.Bytes, policy.MaxHistoryBytes)
		return fmt.Sprintf("%s  whole %t offset %d total %d changes %x", describeStored(p.Version, nil), p.Full, p.Offset, p.Total, text), err
	})
	compareGolden(t, filepath.Join(recordedMessagesDir, "responses.golden"), out.String())
}

// A watch decodes recorded updates of an earlier coordinator node as the earlier client did.
func TestRecordedUpdates_AreWatched(t *testing.T) {
	updates := readRecorded(t, "responses.jsonl", coordinator+"Watch")
	address := serveRecorded(t, func(string, []byte) ([][]byte, error) { return updates, errRecordingEnded })
	client := NewClient("lab", []string{address}, nil)
	defer client.Close()
	out := &strings.Builder{}
	err := client.Watch(context.Background(), true, func(u *fleetpb.Update) { fmt.Fprintln(out, describeUpdate(u)) })
	if !strings.Contains(err.Error(), "nothing more was recorded") {
		t.Error(err)
	}
	compareGolden(t, filepath.Join(recordedMessagesDir, "updates.golden"), out.String())
}

// recordingRouter is a router that records the calls made on behalf of orders.
type recordingRouter struct {
	fakeRouter
	now  float64
	done chan string
}

func (r *recordingRouter) Now() float64 { return r.now }
func (r *recordingRouter) PeerReported(report healthshare.Report) {
	r.done <- fmt.Sprintf("sighted %s started %g position %g primary %t replica %t at %g", report.Member, report.Started, report.Position, report.Primary,
		report.Replica, report.At)
}
func (r *recordingRouter) HoldWrites(group int, until float64) {
	if until > 0 {
		until -= r.now
	}
	r.done <- fmt.Sprintf("group %d holds writes for %g ms", group, until)
}
func (r *recordingRouter) Writes(int) (int, int) { return 3, 4 }

// recordedResponder returns a function that responds to a router's requests with recorded responses of an earlier coordinator node to the
// same kind of request. asked is closed once the router has queried the latest tokens.
func recordedResponder(t *testing.T) (asked chan bool, respond func(method string, request []byte) ([][]byte, error)) {
	t.Helper()
	asked = make(chan bool)
	once := sync.OnceFunc(func() { close(asked) })
	tokens, others := splitAnswers(t)
	first := func(matches func(*fleetpb.Answer) bool) [][]byte {
		for _, b := range others {
			a := &fleetpb.Answer{}
			if err := proto.Unmarshal(b, a); err == nil && matches(a) {
				return [][]byte{b}
			}
		}
		return nil
	}
	held := first(func(a *fleetpb.Answer) bool { return a.Held && a.Number == 0 && a.Fence.GetEpoch() == 0 })
	updates := readRecorded(t, "responses.jsonl", coordinator+"Watch")
	return asked, func(method string, request []byte) ([][]byte, error) {
		switch method {
		case coordinator + "Watch":
			return updates[:1], errRecordingEnded
		case coordinator + "Do":
			q := &fleetpb.Request{}
			if err := proto.Unmarshal(request, q); err != nil {
				return nil, err
			}
			if len(q.Stands) > 0 {
				once()
				return tokens[:1], nil
			}
			return held, nil
		}
		return nil, status.Error(codes.Unimplemented, method)
	}
}

// sendRecordedOrder sends an order like an earlier lease holder. It retries until the receiver is up and knows the latest tokens.
func sendRecordedOrder(ctx context.Context, t *testing.T, conn *grpc.ClientConn, order []byte) *fleetpb.Verdict {
	t.Helper()
	ctx = metadata.AppendToOutgoingContext(ctx, "wayloft-fleet", "lab", "wayloft-form", "1")
	for {
		var response rawBytes
		request := rawBytes(order)
		err := conn.Invoke(ctx, receiver+"Act", &request, &response, grpc.ForceCodec(rawCodec{}), grpc.WaitForReady(true))
		if status.Code(err) == codes.Unavailable && ctx.Err() == nil { // the receiver is not up yet
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		verdict := &fleetpb.Verdict{}
		if err := proto.Unmarshal(response, verdict); err != nil {
			t.Fatal(err)
		}
		if verdict.Kind != fleetpb.Verdict_UNKNOWN || ctx.Err() != nil {
			return verdict
		}
	}
}

// A receiver accepts recorded orders of an earlier lease holder and applies them to its router.
func TestRecordedOrders_AreApplied(t *testing.T) {
	router := &recordingRouter{
		fakeRouter: fakeRouter{groups: map[int][]Member{0: nil}, asked: make(chan bool, 100)},
		now:        1796206623622,
		done:       make(chan string, 16),
	}
	asked, respond := recordedResponder(t)
	settings := testSettings("lab", serveRecorded(t, respond))
	settings.Name, settings.MaxHoldMs = "r2", 5000
	node := New(settings, router)
	listener := listen(t)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	running, end := context.WithCancel(context.Background())
	go node.Run(running, listener)
	defer func() { end(); <-node.Done() }()
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		t.Fatal(err)
	}
	defer closeConnection(conn.Target(), conn)
	select {
	case <-asked: // an order that arrives before would cause a token query for its lease alone
	case <-ctx.Done():
		t.Fatal("the receiver does not query the latest tokens")
	}
	out := &strings.Builder{}
	for n, order := range readRecorded(t, "orders.jsonl", receiver+"Act") {
		v := sendRecordedOrder(ctx, t, conn, order)
		if v.Kind != fleetpb.Verdict_TAKEN {
			t.Fatalf("order %d: %v", n+1, v)
		}
		fmt.Fprintf(out, "order %d: %s; highest %d.%d running %d held %d why %q\n", n+1, <-router.done, v.Highest.GetEpoch(), v.Highest.GetCount(),
			v.Running, v.Held, v.Why)
	}
	compareGolden(t, filepath.Join(recordedMessagesDir, "orders.golden"), out.String())
}

// A lease holder accepts the recorded verdict of an earlier receiver.
func TestRecordedVerdict_IsAccepted(t *testing.T) {
	verdicts := readRecorded(t, "responses.jsonl", receiver+"Act")
	address := serveRecorded(t, func(method string, _ []byte) ([][]byte, error) {
		if method != receiver+"Act" {
			return nil, status.Error(codes.Unimplemented, method)
		}
		return verdicts[:1], nil
	})
	conn, err := rpc.Dial(address, "lab")
	if err != nil {
		t.Fatal(err)
	}
	defer closeConnection(conn.Target(), conn)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	v, err := fleetpb.NewReceiverClient(conn).Act(ctx, &fleetpb.Order{Duty: "sight/0"})
	if err != nil || v.Kind != fleetpb.Verdict_TAKEN || v.Highest.GetEpoch() != 96206621 || v.Highest.GetCount() != 1 {
		t.Errorf("%v, %v", v, err)
	}
}
