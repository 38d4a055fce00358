package main

import (
	"fmt"
	"time"
)

// Sizes of case 2.
const (
	leaverRounds = 20
	roundPause   = 150 * time.Millisecond
	settleTime   = time.Second
)

// orders is what the clients of case 2 have sent and what they were told.
type orders struct {
	run    *run
	listen string
	db     *database
	served []string // handles of orders that were answered as served
	left   []string // handles of orders whose client left before it committed
}

// leavingClient is case 2: a client leaves in the middle of a transaction that it has begun by extended messages; the orders of other
// clients, each a simple INSERT, must be in the database once they have been answered as served.
func leavingClient(r *run) error {
	o := &orders{run: r, db: newDatabase(r.rec)}
	primary := &dbServer{db: o.db, name: "m0", role: "source"}
	replica := &dbServer{db: o.db, name: "m1", role: "copy"}
	router, err := startPooled(r, &o.listen, primary, replica)
	if err != nil {
		return err
	}
	defer r.rec.appendFile("log of the router", router.log)
	defer router.stop()
	for n := range leaverRounds {
		if err := o.transaction(n); err != nil {
			return err
		}
		time.Sleep(roundPause)
		if err := o.order(n); err != nil {
			return err
		}
	}
	time.Sleep(settleTime) // what is open ends with its connection
	o.check()
	if !router.running() {
		return fmt.Errorf("the router has ended")
	}
	return nil
}

// transaction is one client's: an order by extended messages up to Flush, in every second round after BEGIN. Without the disruption it
// goes on to its end; with it the client leaves once it has got the answer to its INSERT.
func (o *orders) transaction(n int) error {
	c, err := dialClient(o.listen)
	if err != nil {
		return err
	}
	defer c.drop()
	handle := fmt.Sprintf("leaver-%d", n)
	var unit, end []byte
	block := n%2 == 0
	if block {
		unit, end = executeMessages("BEGIN"), executeMessages("COMMIT")
		o.run.rec.line("leaver %d sends BEGIN in extended messages", n)
	}
	unit = append(unit, executeMessages(insertStatement(handle, "value of "+handle))...)
	o.run.rec.line("leaver %d sends INSERT of %s in extended messages, then Flush", n, handle)
	if err := c.send(appendMessage(unit, 'H', nil)); err != nil {
		return err
	}
	for a := (answer{}); a.tag != "INSERT 0 1"; {
		if a, err = c.readAnswer('C'); err != nil {
			return err
		}
		o.run.rec.line("leaver %d gets %q %s", n, a.tag, a.code)
	}
	if o.run.trouble {
		o.run.rec.line("leaver %d closes its connection", n)
		o.left = append(o.left, handle)
		return nil
	}
	if err := c.send(appendMessage(end, 'S', nil)); err != nil {
		return err
	}
	a, err := c.readAnswer('Z')
	o.run.rec.line("leaver %d goes on up to Sync and gets %q %s, status %c", n, a.tag, a.code, a.status)
	c.terminate()
	return err
}

// order is another client's: one INSERT, a simple query outside a transaction block.
func (o *orders) order(n int) error {
	c, err := dialClient(o.listen)
	if err != nil {
		return err
	}
	defer c.terminate()
	handle := fmt.Sprintf("order-%d", n)
	a, err := c.query(insertStatement(handle, "value of "+handle))
	if err != nil {
		o.run.rec.line("order %d: INSERT of %s gets no answer: %v", n, handle, err)
		return nil
	}
	o.run.rec.line("order %d: INSERT of %s gets %q %s, value %q, status %c", n, handle, a.tag, a.code, a.value, a.status)
	if a.served() {
		o.served = append(o.served, handle)
	}
	return nil
}

func (o *orders) check() {
	for _, handle := range o.served {
		if _, found := o.db.get(handle); !found {
			o.run.rec.broken("%s was answered as served and is not in the database", handle)
		}
	}
	for _, handle := range o.left {
		if _, found := o.db.get(handle); found { // told, not judged
			o.run.rec.line("note: %s was committed, though its client left before it committed", handle)
		}
	}
	o.run.rec.line("%d orders were answered as served", len(o.served))
}
