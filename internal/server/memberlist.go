package server

import (
	"errors"

	"github.com/sirupsen/logrus"

	"wayloft/internal/discovery"
	"wayloft/router"
)

// receiveList takes in a list from discovery.
func (s *server) receiveList(list *discovery.List) {
	if s.discoveryError != "" {
		s.discoveryError = ""
		logrus.WithField("revision", list.Revision).Info("endpoint list available again")
	}
	s.applyList(list)
}

// listUnavailable notes that discovery gave no list. It is logged once, and again for each other list that is invalid.
func (s *server) listUnavailable(err error) {
	var invalid discovery.InvalidListError
	reason := err.Error()
	if s.discoveryError == "" || errors.As(err, &invalid) && s.discoveryError != reason {
		s.discoveryError = reason
		logrus.WithError(err).Warn("endpoint list unavailable: the last one stays in force")
	}
	s.driver.List().ListFailed()
}

// applyList hands a list to the backend, the fleet's node and the decision module.
func (s *server) applyList(list *discovery.List) {
	s.backend.List(list)
	if s.fleet != nil {
		s.fleet.updateMembers(list)
	}
	s.updateStarts(list)
	module := s.driver.List()
	module.BeginList()
	for _, entry := range list.Entries {
		s.listMember(module, entry)
	}
	module.EndList(list.Complete)
}

// listMember lists one member to the decision module, with its start on the loop's clock.
func (s *server) listMember(module *router.Router, entry discovery.Entry) {
	start := s.startTimes.Of(entry.ID, entry.Started)
	module.ListMember(entry.ID, entry.Zone, entry.Group, entry.State, start)
}

// updateStarts drops the starts of members that are gone, and notes the members to be listed again when starts can be translated.
func (s *server) updateStarts(list *discovery.List) {
	if list.Complete {
		s.startTimes.Retain(list.IDs())
		clear(s.untranslated)
	}
	for _, entry := range list.Entries {
		if entry.State == router.Removed {
			s.startTimes.Forget(entry.ID)
		}
		if s.untranslated == nil {
			continue
		}
		if entry.State == router.Removed || entry.Started == router.Never {
			delete(s.untranslated, entry.ID)
		} else {
			s.untranslated[entry.ID] = entry
		}
	}
}

// translateStarts lists the members that have a start again, now that the cluster's clock is known.
func (s *server) translateStarts() {
	entries := s.untranslated
	s.untranslated = nil
	offset := s.driver.FromLoop(0)
	if offset == 0 || len(entries) == 0 { // what was listed is right
		return
	}
	module := s.driver.List()
	if offset > 0 {
		forgetMembers(module, entries)
	}
	module.BeginList()
	for _, entry := range entries {
		s.listMember(module, entry)
	}
	module.EndList(false)
	module.ListFailed() // where lists are polled: this was no response to a poll, and the next one must stay due
}

// forgetMembers has the decision module begin new records of members. It keeps the latest start that it was given for a member:
// this guards against one that a slow clock made too late, for which the member would be in slow start for no reason.
func forgetMembers(module *router.Router, entries map[string]discovery.Entry) {
	module.BeginList()
	for _, entry := range entries {
		module.ListMember(entry.ID, entry.Zone, entry.Group, router.Removed, router.Never)
	}
	module.EndList(false)
}
