package fleet

import (
	"bytes"
	"context"
	"net"
	"testing"
)

// Guards against a step that a member commits long after it was sent, when it resumes after a hang: the member is told to end a session whose
// transaction has waited for longer than a step may take.
func TestAdapter_MemberEndsOpenTransactionInTime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	startup := make(chan []byte, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1<<10)
		n, _ := conn.Read(buffer)
		startup <- buffer[:n]
		_ = conn.Close()
	}()
	adapter := &Adapter{User: "api", Database: "ledger", StepTimeoutMs: 299.5}
	if _, err := adapter.connect(context.Background(), listener.Addr().String()); err == nil {
		t.Error("connected to a member that has closed the connection")
	}
	if got := <-startup; !bytes.Contains(got, []byte("idle_in_transaction_session_timeout\x00300\x00")) {
		t.Errorf("startup message: %q", got)
	}
}
