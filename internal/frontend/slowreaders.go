package frontend

// minSlowReaderBytes is what a client has to leave unread before its session may be ended for it: less may just not be sent yet.
const minSlowReaderBytes = 4 << 10

// endSlowReaders ends sessions while clients leave too much unread, first those that leave most.
func (f *Frontend) endSlowReaders() {
	for f.memory.TooMuchUnread() {
		slowest := f.slowestReader()
		if slowest == nil {
			return
		}
		f.SlowReaders++
		slowest.drop()
		slowest.changeUnreadBytes(-slowest.unreadBytes) // the poller releases them with the connection
	}
}

// slowestReader returns the session that leaves most unread, or nil if there is none that may be ended for it.
func (f *Frontend) slowestReader() (slowest *session) {
	most := minSlowReaderBytes
	for s := range f.sessions {
		if s.state < sessionEnding && s.unreadBytes >= most {
			slowest, most = s, s.unreadBytes+1
		}
	}
	return slowest
}
