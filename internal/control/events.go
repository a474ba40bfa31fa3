// This file owns the service's side of coming back: what nodes say of their way to
// full service and of their stores, the fleet's events, and how both outlive the
// service. It must never decide what an event is, nor what is in doubt.

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

const (
	eventsKey = "events"
	livesKey  = "lives"
	pastKey   = "history"
)

// savedEvents is what is stored of the events.
type savedEvents struct {
	Wall   int64            `json:"wall"` // Unix milliseconds at the service's zero
	Events []recovery.Event `json:"events"`
}

// savedHistory is what is stored of the nodes' changes.
type savedHistory struct {
	Wall    int64          `json:"wall"`
	Changes []fleet.Change `json:"changes"`
}

// restoreEvents begins the watch with what an earlier life of the service stored.
func (s *Service) restoreEvents() (*recovery.EventDetector, *fleet.History) {
	w, past := recovery.NewEventDetector(s.now(), 0), fleet.NewHistory()
	if s.cfg.Store == nil {
		return w, past
	}
	var events savedEvents
	if s.get(eventsKey, &events) {
		w.Restore(events.Events, time.Duration(events.Wall-s.began.UnixMilli())*time.Millisecond)
	}
	var lives recovery.SavedRegistry
	if s.get(livesKey, &lives) {
		s.mu.Lock()
		s.seen.Restore(lives)
		s.mu.Unlock()
	}
	var history savedHistory
	if s.get(pastKey, &history) {
		past.Restore(history.Changes, time.Duration(history.Wall-s.began.UnixMilli())*time.Millisecond)
	}
	return w, past
}

// get reads what was stored; what can't be read is as if never stored, and said.
func (s *Service) get(key string, into any) bool {
	text, err := s.cfg.Store.Get(key)
	if errors.Is(err, store.ErrNotFound) {
		return false
	}
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		s.cfg.Log.Error("stored "+key+" can't be read", "err", err)
	}
	return err == nil
}

// saveLives stores the events, and what was heard of nodes' stores.
func (s *Service) saveLives() {
	if s.cfg.Store == nil {
		return
	}
	s.mu.Lock()
	events, err := json.Marshal(savedEvents{Wall: s.began.UnixMilli(), Events: s.events})
	lives, err2 := json.Marshal(s.seen.Save())
	past := s.past
	s.mu.Unlock()
	history, err3 := json.Marshal(savedHistory{Wall: s.began.UnixMilli(), Changes: past})
	if err = errors.Join(err, err2, err3); err != nil {
		s.cfg.Log.Error("events not saved", "err", err)
		return
	}
	var b store.Batch
	b.Put(eventsKey, events, 0)
	b.Put(livesKey, lives, 0)
	if n := len(past); n > 0 && past[n-1] != s.kept { // the largest of them, and seldom new
		s.kept = past[n-1]
		b.Put(pastKey, history, 0)
	}
	s.cfg.Store.ApplyAsync(&b, store.Soon, func(err error) {
		if err != nil {
			s.cfg.Log.Error("events not saved", "err", err)
		}
	})
}

// Change is one of GET /history.
type Change struct {
	At   time.Time `json:"at"`
	Name string    `json:"name"`
	From string    `json:"from,omitempty"` // none: it was not known
	To   string    `json:"to"`
	Why  string    `json:"why"`
}

// History tells the nodes' changes of state over the last day, oldest first.
func (s *Service) History() []Change {
	s.mu.Lock()
	past := s.past
	s.mu.Unlock()
	out := make([]Change, 0, len(past))
	for _, c := range past {
		o := Change{At: s.began.Add(c.At).Round(time.Millisecond), Name: c.Name, From: c.From.String(), To: c.To.String(), Why: c.Why}
		if c.New {
			o.From = ""
		}
		out = append(out, o)
	}
	return out
}

// Event is one of GET /events.
type Event struct {
	Number  int       `json:"number"`
	Began   time.Time `json:"began"`
	Lost    int       `json:"lost"`
	Of      int       `json:"of"`
	Zones   []string  `json:"zones,omitempty"`
	Least   float64   `json:"least_room"` // share of the usual
	LeastS  float64   `json:"least_after_s"`
	HalfS   float64   `json:"half_after_s"` // 0 = not yet
	MostS   float64   `json:"most_after_s"` // until 0.95
	FullS   float64   `json:"full_after_s"`
	Tries   float64   `json:"tries_a_first_try"`
	Over    bool      `json:"over"`
	HowOver string    `json:"how_over,omitempty"`
}

// Events tells the fleet's events, oldest first.
func (s *Service) Events() []Event {
	s.mu.Lock()
	list := s.events
	s.mu.Unlock()
	out := make([]Event, 0, len(list))
	seconds := func(d time.Duration) float64 { return math.Round(d.Seconds()*10) / 10 }
	for _, o := range list {
		out = append(out, Event{Number: o.Number, Began: s.began.Add(o.Began).Round(time.Millisecond), Lost: o.Lost, Of: o.Of, Zones: o.Zones,
			Least: math.Round(o.Least*100) / 100, LeastS: seconds(o.LeastAt), HalfS: seconds(o.Half), MostS: seconds(o.Most), FullS: seconds(o.Full),
			Tries: o.Tries, Over: o.Over, HowOver: o.Why})
	}
	return out
}
