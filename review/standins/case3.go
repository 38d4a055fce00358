package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Sizes of case 3.
const (
	readers         = 12
	readsEach       = 150
	copyShare       = 0.1
	oneWay          = 500 * time.Microsecond
	readTime        = 3 * time.Millisecond
	pauseOfAReader  = 5 * time.Millisecond
	secondCopySeed1 = 52
	secondCopySeed2 = 2
)

// secondCopies is case 3: members send a second copy right behind some answers; no client may be served a value that was made for
// another's request.
func secondCopies(r *run) error {
	db := newDatabase(r.rec)
	for n := range readers {
		handle := readerHandle(n)
		db.commit([][2]string{{handle, "value of " + handle}})
	}
	primary := &dbServer{db: db, name: "m0", role: "source", delay: oneWay, work: readTime}
	replica := &dbServer{db: db, name: "m1", role: "copy", delay: oneWay, work: readTime}
	if r.trouble {
		primary.secondCopy = drawCopies()
	}
	var listen string
	router, err := startPooled(r, &listen, primary, replica)
	if err != nil {
		return err
	}
	defer r.rec.appendFile("log of the router", router.log)
	defer router.stop()
	var all sync.WaitGroup
	for n := range readers {
		all.Go(func() { readOwn(r.rec, listen, n) })
	}
	all.Wait()
	r.rec.line("%d second copies were sent", primary.copies.Load())
	if !router.running() {
		return fmt.Errorf("the router has ended")
	}
	return nil
}

func readerHandle(n int) string { return fmt.Sprintf("reader-%d", n) }

// drawCopies returns a function that draws which answers are followed by a second copy.
func drawCopies() func() bool {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(secondCopySeed1, secondCopySeed2))
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < copyShare
	}
}

// readOwn reads one reader's own row again and again, and checks each value that it is served.
func readOwn(rec *record, listen string, n int) {
	handle := readerHandle(n)
	var c *client
	defer func() {
		if c != nil {
			c.terminate()
		}
	}()
	for k := range readsEach {
		if c == nil {
			var err error
			if c, err = dialClient(listen); err != nil {
				rec.line("%s can't connect: %v", handle, err)
				return
			}
		}
		a, err := c.query(selectStatement(handle))
		switch {
		case err != nil:
			rec.line("%s read %d gets no answer: %v", handle, k, err)
			c.drop()
			c = nil
		case a.served() && a.value != "value of "+handle:
			rec.broken("%s read %d was served %q", handle, k, a.value)
		default:
			rec.line("%s read %d gets %q %s %q", handle, k, a.value, a.code, a.text)
		}
		time.Sleep(pauseOfAReader)
	}
}
