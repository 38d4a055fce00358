package fleet

import (
	"context"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// routerKind is the kind of routers' sessions.
const routerKind = "router"

// sendOrder sends an order to a process, which may be this one. done is called on the event loop with the verdict. If another process
// rejects the order for its fencing token, the lease client is notified.
func (n *Node) sendOrder(to leaseclient.Session, order *fleetpb.Order, done func(*fleetpb.Verdict, error)) {
	if to.Name == n.settings.Name {
		go func() { // ends with the event loop at the latest
			verdict, err := n.handleOrder(n.ctx, order)
			n.post(func() { done(verdict, err) })
		}()
		return
	}
	conn, err := n.connectionTo(to)
	if err != nil {
		done(nil, err)
		return
	}
	n.background.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, failpoint.Duration("order.ends", milliseconds(n.settings.SessionTimeoutMs/2)))
		defer cancel()
		verdict, err := fleetpb.NewReceiverClient(conn).Act(ctx, order)
		n.post(func() {
			if err == nil && isStale(verdict) {
				n.orderRejected(to.Name, order, verdict)
			}
			done(verdict, err)
		})
	})
}

// orderRejected handles the rejection of an order by a process that has seen a higher fencing token.
func (n *Node) orderRejected(receiver string, order *fleetpb.Order, verdict *fleetpb.Verdict) {
	header, higher := decodeHeader(order), rpc.DecodeToken(verdict.Highest)
	leaseName := header.scope.Lease
	logrus.WithFields(logrus.Fields{"lease": leaseName, "token": header.token, "higher_token": higher, "router": receiver}).
		Warn("order rejected: the receiver has seen a higher fencing token")
	fields := leaseFields(leaseName, header.token)
	fields[higherTokenField], fields["by"] = higher.String(), receiver
	n.settings.AuditLog.Add("refused", fields)
	n.leases.Advance(n.now())
	n.leases.OperationRejected(leaseName, higher)
}

// connectionTo returns the connection to a process and creates it if necessary.
func (n *Node) connectionTo(session leaseclient.Session) (*grpc.ClientConn, error) {
	address := session.Address
	if override := n.settings.AddressOverrides[session.Name]; override != "" {
		address = override
	}
	if conn := n.connections[address]; conn != nil {
		return conn, nil
	}
	conn, err := rpc.Dial(address, n.settings.Fleet)
	if err != nil {
		return nil, err
	}
	n.closeUnusedConnections()
	n.connections[address] = conn
	return conn, nil
}

// closeUnusedConnections closes the connections to processes that no longer have a session.
func (n *Node) closeUnusedConnections() {
	used := map[string]bool{}
	for _, session := range n.leases.Sessions(routerKind) {
		used[session.Address] = true
		used[n.settings.AddressOverrides[session.Name]] = true
	}
	for address, conn := range n.connections {
		if !used[address] {
			closeConnection(address, conn)
			delete(n.connections, address)
		}
	}
}

// closeConnections closes all connections to other processes.
func (n *Node) closeConnections() {
	for address, conn := range n.connections {
		closeConnection(address, conn)
	}
}

// closeConnection closes a connection to a process. A failure is only logged, because nothing depends on it.
func closeConnection(address string, conn *grpc.ClientConn) {
	if err := conn.Close(); err != nil {
		logrus.WithError(err).WithField("address", address).Debug("failed to close connection")
	}
}
