package control

import (
	"encoding/json"
	"errors"
	"math"
	"time"

	"robinmast/decide/fleet"
	"robinmast/decide/recovery"
	"robinmast/internal/store"
)

// Keys of the service in the store; viewKey is another.
const (
	eventsKey       = "events"
	incarnationsKey = "lives"
	historyKey      = "history"
)

// savedEvents is the stored form of the events.
type savedEvents struct {
	Wall   int64            `json:"wall"` // Unix milliseconds at the start of the service that saved it, its time 0
	Events []recovery.Event `json:"events"`
}

// savedHistory is the stored form of the nodes' state changes.
type savedHistory struct {
	Wall    int64          `json:"wall"` // as in savedEvents
	Changes []fleet.Change `json:"changes"`
}

// restoreHistory returns the events and the history of state changes that a previous run of the
// service stored, and restores the registry of incarnations.
func (s *Service) restoreHistory() (*recovery.EventDetector, *fleet.History) {
	detector, history := recovery.NewEventDetector(s.now(), 0), fleet.NewHistory()
	if s.cfg.Store == nil {
		return detector, history
	}
	var events savedEvents
	if s.load(eventsKey, &events) {
		detector.Restore(events.Events, time.Duration(events.Wall-s.start.UnixMilli())*time.Millisecond)
	}
	var incarnations recovery.SavedRegistry
	if s.load(incarnationsKey, &incarnations) {
		s.mu.Lock()
		s.incarnations.Restore(incarnations)
		s.mu.Unlock()
	}
	var saved savedHistory
	if s.load(historyKey, &saved) {
		history.Restore(saved.Changes, time.Duration(saved.Wall-s.start.UnixMilli())*time.Millisecond)
	}
	return detector, history
}

// load reads the value of a key as JSON and reports whether there was a readable one. An
// unreadable value is logged and treated as absent.
func (s *Service) load(key string, into any) bool {
	stored, err := s.cfg.Store.Get(key)
	if errors.Is(err, store.ErrNotFound) {
		return false
	}
	if err == nil {
		err = json.Unmarshal(stored, into)
	}
	if err != nil {
		s.cfg.Log.Error("stored "+key+" unreadable", "err", err)
	}
	return err == nil
}

// saveHistory stores the events, the registry of incarnations and the history of state changes
// without waiting for the disk.
func (s *Service) saveHistory() {
	if s.cfg.Store == nil {
		return
	}
	s.mu.Lock()
	events, err := json.Marshal(savedEvents{Wall: s.start.UnixMilli(), Events: s.events})
	incarnations, incarnationsErr := json.Marshal(s.incarnations.Save())
	changes := s.history
	s.mu.Unlock()
	history, historyErr := json.Marshal(savedHistory{Wall: s.start.UnixMilli(), Changes: changes})
	if err = errors.Join(err, incarnationsErr, historyErr); err != nil {
		s.cfg.Log.Error("events not saved", "err", err)
		return
	}
	var batch store.Batch
	batch.Put(eventsKey, events, 0)
	batch.Put(incarnationsKey, incarnations, 0)
	// The history is the largest of the three and seldom changes: it is written only if it did.
	if n := len(changes); n > 0 && changes[n-1] != s.lastSavedChange {
		s.lastSavedChange = changes[n-1]
		batch.Put(historyKey, history, 0)
	}
	s.cfg.Store.ApplyAsync(&batch, store.Buffered, func(err error) {
		if err != nil {
			s.cfg.Log.Error("events not saved", "err", err)
		}
	})
}

// Change is a state change of a node in the answer to GET /history.
type Change struct {
	At   time.Time `json:"at"`
	Name string    `json:"name"`
	From string    `json:"from,omitempty"` // empty: the node was unknown
	To   string    `json:"to"`
	Why  string    `json:"why"`
}

// History returns the nodes' state changes of the last day, oldest first.
func (s *Service) History() []Change {
	s.mu.Lock()
	changes := s.history
	s.mu.Unlock()
	list := make([]Change, 0, len(changes))
	for _, stored := range changes {
		change := Change{At: s.start.Add(stored.At).Round(time.Millisecond), Name: stored.Name,
			From: stored.From.String(), To: stored.To.String(), Why: stored.Reason}
		if stored.New {
			change.From = ""
		}
		list = append(list, change)
	}
	return list
}

// Event is an event in the answer to GET /events; recovery.Event describes the fields. Durations
// are in seconds since it began.
type Event struct {
	Number  int       `json:"number"`
	Began   time.Time `json:"began"`
	Lost    int       `json:"lost"`
	Of      int       `json:"of"`
	Zones   []string  `json:"zones,omitempty"`
	Least   float64   `json:"least_room"` // share of the usual capacity
	LeastS  float64   `json:"least_after_s"`
	HalfS   float64   `json:"half_after_s"` // 0 = not yet
	MostS   float64   `json:"most_after_s"` // until 0.95 of the usual capacity was back
	FullS   float64   `json:"full_after_s"`
	Tries   float64   `json:"tries_a_first_try"`
	Over    bool      `json:"over"`
	HowOver string    `json:"how_over,omitempty"`
}

// Events returns the fleet's events, oldest first.
func (s *Service) Events() []Event {
	s.mu.Lock()
	stored := s.events
	s.mu.Unlock()
	list := make([]Event, 0, len(stored))
	seconds := func(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }
	for _, event := range stored {
		list = append(list, Event{
			Number: event.Number, Began: s.start.Add(event.Began).Round(time.Millisecond),
			Lost: event.LostNodes, Of: event.FleetSize, Zones: event.Zones,
			Least: math.Round(event.LeastShare*100) / 100, LeastS: seconds(event.LeastAt),
			HalfS: seconds(event.HalfAfter), MostS: seconds(event.MostAfter), FullS: seconds(event.FullAfter),
			Tries: event.TriesPerRequest, Over: event.Ended, HowOver: event.EndReason,
		})
	}
	return list
}
