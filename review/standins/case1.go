package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of case 1.
const (
	shoppers         = 12
	shoppingTime     = 6 * time.Second
	halfCommandAfter = 2 * time.Second
	statementTime    = 20 * time.Millisecond
	shopperPause     = 10 * time.Millisecond
)

// A command, and its first half.
const (
	wholeCommand = "SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE"
	halfCommand  = "SET SESSION CHARACTERISTICS AS TRANSACTION"
)

// crowd is the usual clients of case 1.
type crowd struct {
	rec      *record
	listen   string
	answered atomic.Int64
	over     atomic.Bool
}

// badClient is case 1: a bad client sends half a command and closes; the router must go on, and each request of the usual clients must
// get its final answer.
func badClient(r *run) error {
	db := newDatabase(r.rec)
	primary := &dbServer{db: db, name: "m0", role: "source", work: statementTime}
	replica := &dbServer{db: db, name: "m1", role: "copy", work: statementTime}
	c := &crowd{rec: r.rec}
	router, err := startPooled(r, &c.listen, primary, replica)
	if err != nil {
		return err
	}
	defer r.rec.appendFile("log of the router", router.log)
	defer router.stop()
	var all sync.WaitGroup
	for n := range shoppers {
		all.Go(func() { c.shop(n) })
	}
	time.Sleep(halfCommandAfter)
	if r.trouble {
		c.sendOnce(halfCommand)
	} else {
		c.sendOnce(wholeCommand)
	}
	time.Sleep(shoppingTime - halfCommandAfter)
	c.over.Store(true)
	all.Wait()
	r.rec.line("%d requests of the usual clients were answered", c.answered.Load())
	if !router.running() {
		r.rec.broken("the router has crashed")
	}
	return nil
}

// sendOnce sends one command on a connection of its own, waits for what comes, and closes.
func (c *crowd) sendOnce(sql string) {
	bad, err := dialClient(c.listen)
	if err != nil {
		c.rec.line("the other client can't connect: %v", err)
		return
	}
	defer bad.drop()
	c.rec.line("the other client sends %q", sql)
	a, err := bad.query(sql)
	c.rec.line("the other client gets %q %s %q %v, and closes", a.tag, a.code, a.text, err)
}

// shop sends an order and reads it, again and again. Each request is sent on a connection that the router has open.
func (c *crowd) shop(n int) {
	client, err := dialClient(c.listen)
	if err != nil {
		c.rec.line("shopper %d can't connect: %v", n, err)
		return
	}
	defer client.terminate()
	for k := 0; !c.over.Load(); k++ {
		handle := fmt.Sprintf("shopper-%d-%d", n, k)
		for _, sql := range []string{insertStatement(handle, "value of "+handle), selectStatement(handle)} {
			a, err := client.query(sql)
			if err != nil {
				c.rec.broken("shopper %d got no final answer to %s: %v", n, sql, err)
				return
			}
			c.rec.line("shopper %d: %s gets %q %s %q", n, sql, a.tag, a.code, a.value)
			c.answered.Add(1)
		}
		time.Sleep(shopperPause)
	}
}
