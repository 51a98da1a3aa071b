package simulator

import (
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// appendLog adds a change to the log. If the log is full, the oldest entry is dropped.
func (s *KVStore) appendLog(event wire.WatchEvent) {
	s.log = append(s.log, event)
	if len(s.log) > s.maxLogEntries {
		s.log = s.log[len(s.log)-s.maxLogEntries:]
	}
}

// Changes returns the changes of keys with the prefix after the revision from. ok is false if the
// log may no longer have all changes since that revision. It stays true if the log has dropped only
// a part of the changes of revision from+1.
func (s *KVStore) Changes(now time.Duration, prefix string, from uint64) (reply wire.WatchReply, ok bool) {
	s.ExpireLeases(now)
	reply = wire.WatchReply{Revision: s.Revision, Events: []wire.WatchEvent{}}
	if len(s.log) == s.maxLogEntries && from+1 < s.log[0].ModRevision {
		return reply, false
	}
	for _, event := range s.log {
		if event.ModRevision > from && hasKeyPrefix(event, prefix) {
			reply.Events = append(reply.Events, event)
		}
	}
	return reply, true
}

// hasKeyPrefix reports whether an event sets or deletes a key with the prefix.
func hasKeyPrefix(event wire.WatchEvent, prefix string) bool {
	key := event.Set
	if key == "" {
		key = event.Delete
	}
	return key != "" && strings.HasPrefix(key, prefix)
}
