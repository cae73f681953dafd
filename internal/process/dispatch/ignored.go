package dispatch

import "github.com/sirupsen/logrus"

// ignoredEntries logs the entries of a list in the store that are invalid, each
// once until what is wrong with it changes.
type ignoredEntries struct {
	log *logrus.Entry
	// reasons holds what was last logged of each invalid entry.
	reasons map[string]string
}

// maxIgnored bounds the entries that are remembered. Beyond it, some are logged
// again.
const maxIgnored = 1000

// report records what is wrong with an entry that has been read, or nil.
func (l *ignoredEntries) report(id string, invalid error) {
	if invalid == nil {
		delete(l.reasons, id)
		return
	}
	reason := invalid.Error()
	if l.reasons[id] == reason {
		return
	}
	if l.reasons == nil || len(l.reasons) >= maxIgnored {
		l.reasons = map[string]string{}
	}
	l.reasons[id] = reason
	l.log.WithFields(logrus.Fields{"entry": id, "reason": reason}).Warn("entry in the store is ignored")
}
