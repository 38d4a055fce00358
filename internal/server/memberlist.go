package server

import (
	"errors"

	"github.com/sirupsen/logrus"

	"wayloft/internal/discovery"
	"wayloft/router"
)

// receiveList applies an endpoint list received from discovery.
func (s *server) receiveList(list *discovery.List) {
	if s.discoveryError != "" {
		s.discoveryError = ""
		logrus.WithField("revision", list.Revision).Info("endpoint list available again")
	}
	s.applyList(list)
}

// listUnavailable records that discovery delivered no usable endpoint list. The first failure is logged, and after it each invalid list
// whose error differs from the one logged last.
func (s *server) listUnavailable(err error) {
	var invalid discovery.InvalidListError
	reason := err.Error()
	if s.discoveryError == "" || errors.As(err, &invalid) && s.discoveryError != reason {
		s.discoveryError = reason
		logrus.WithError(err).Warn("endpoint list unavailable; using the last one")
	}
	s.driver.ListInput().ListFailed()
}

// applyList passes an endpoint list to the backend, the fleet node and the decision module.
func (s *server) applyList(list *discovery.List) {
	s.backend.ApplyMemberList(list)
	if s.fleet != nil {
		s.fleet.updateMembers(list)
	}
	s.updateStarts(list)
	module := s.driver.ListInput()
	module.BeginList()
	for _, entry := range list.Entries {
		s.listMember(module, entry)
	}
	module.EndList(list.Complete)
}

// listMember passes one member to the decision module, with its start time on the event loop's clock.
func (s *server) listMember(module *router.Router, entry discovery.Entry) {
	start := s.startTimes.Convert(entry.ID, entry.Started)
	module.ListMember(entry.ID, entry.Zone, entry.Group, entry.State, start)
}

// updateStarts drops the start times of members that are no longer listed, and records the members to list again once start times can
// be converted to the event loop's clock.
func (s *server) updateStarts(list *discovery.List) {
	if list.Complete {
		s.startTimes.Retain(list.IDs())
		clear(s.pendingStarts)
	}
	for _, entry := range list.Entries {
		if entry.State == router.Removed {
			s.startTimes.ForgetMember(entry.ID)
		}
		if s.pendingStarts == nil {
			continue
		}
		if entry.State == router.Removed || entry.Started == router.Never {
			delete(s.pendingStarts, entry.ID)
		} else {
			s.pendingStarts[entry.ID] = entry
		}
	}
}

// convertPendingStarts lists the members with a start time again, now that the offset of the cluster clock is known.
func (s *server) convertPendingStarts() {
	entries := s.pendingStarts
	s.pendingStarts = nil
	offset := s.driver.FromLoop(0)
	if offset == 0 || len(entries) == 0 { // the start times listed so far are right
		return
	}
	module := s.driver.ListInput()
	if offset > 0 {
		forgetMembers(module, entries)
	}
	module.BeginList()
	for _, entry := range entries {
		s.listMember(module, entry)
	}
	module.EndList(false)
	module.ListFailed() // where lists are polled: this list was no poll response, and the next poll must stay due
}

// forgetMembers makes the decision module discard its records of the members. In a record it keeps the latest start time that it was
// given, and one that a slow clock made too late would put the member into slow start for no reason.
func forgetMembers(module *router.Router, entries map[string]discovery.Entry) {
	module.BeginList()
	for _, entry := range entries {
		module.ListMember(entry.ID, entry.Zone, entry.Group, router.Removed, router.Never)
	}
	module.EndList(false)
}
