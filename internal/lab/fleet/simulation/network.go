package simulation

const (
	// The delay of a message, in ms: the minimum, and the mean of an exponentially distributed extra.
	minDelayMs       = 0.2
	meanExtraDelayMs = 0.8

	// Assumed sizes in bytes of messages that the simulation does not encode.
	pollBytes            = 16
	pollEntryBytes       = 48
	requestBytes         = 96
	responseBytes        = 64
	commandBytes         = 80
	commandResponseBytes = 32
	stepResponseBytes    = 40
	writeBytes           = 100
	healthCheckBytes     = 50
	watchBytes           = 32
	fetchBytes           = 60
	proposalExtraBytes   = 64
	policyQueryBytes     = 16
	unsubscriptionBytes  = 16
)

// send delivers a message from one process to another after a random delay, unless the link is cut or the message is lost. A message to
// a paused process is deferred until it resumes; one to a process that is down or has restarted since is dropped.
func (w *World) send(from, to *Process, bytes int, deliver func()) {
	w.Messages++
	w.Bytes += bytes
	if w.policyRun != nil {
		w.countBytes(from, bytes)
		w.countBytes(to, bytes)
	}
	incarnation := to.incarnation
	w.After(minDelayMs+w.rand.ExpFloat64()*meanExtraDelayMs, func() {
		if w.partitioned(from, to) || w.cutLinks[[2]string{from.Name, to.Name}] {
			return
		}
		if w.rand.Float64() < w.lossProbability || !to.up || to.incarnation != incarnation {
			return
		}
		to.run(deliver)
	})
}

// partitioned reports whether two processes are in regions that are cut off from each other.
func (w *World) partitioned(a, b *Process) bool {
	return w.policyRun != nil && w.policyRun.partitioned[a] != w.policyRun.partitioned[b]
}

// Isolate cuts the links from a process to others, the links from them to the process, or both, for ms milliseconds.
func (w *World) Isolate(p *Process, outgoing, incoming bool, others []*Process, ms float64) {
	set := func(cut bool) {
		for _, other := range others {
			if outgoing {
				w.cutLinks[[2]string{p.Name, other.Name}] = cut
			}
			if incoming {
				w.cutLinks[[2]string{other.Name, p.Name}] = cut
			}
		}
	}
	set(true)
	w.After(ms, func() { set(false) })
}
