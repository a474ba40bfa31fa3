// This file owns the fleet's events: when most of it was lost, how little was left,
// and how long it took to come back, by what nodes report.

package recovery

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Tuned values of events.
const (
	minLostShare           = 0.2 // of the nodes lost within lostWithin that make an event
	lossWindow             = 5 * time.Second
	halfCapacity           = 0.5
	mostCapacity           = 0.95
	fullCapacity           = 0.99
	fullDuration           = time.Second      // that it must stay full, or one report would end an event
	maxEventDuration       = 10 * time.Minute // then it is over, full or not: the fleet is smaller now
	usualCapacitySmoothing = 0.02             // weight of a step in what room is usual
	maxEvents              = 64
	reportTimeout          = 1600 * time.Millisecond // two reports missed: a node that says nothing for so long is lost
	sizeDecay              = 0.999                   // of a node's size stays a report: half in eight minutes
	maxSizeOverMedian      = 4.0                     // of the median that one node's size counts
	maxTrackedNodes        = 20_000
	forgetNodeAfter        = 2 * time.Minute // a node that is away for so long is forgotten
	minNodes               = 3               // nodes under which there is no share to speak of
)

// Word is what a node says that counts here.
type NodeReport struct {
	Name, Zone      string
	Incarnation     uint64
	Leaving         bool    // it drains: that is no loss
	Warm            float64 // share of its usual speed
	Limit           float64 // running limit, its size
	ArrivalRate     float64 // arrivals a second
	FurtherTryShare float64 // share of them that are further tries
}

// Event is one time that most were lost. Times count on the fleet's clock; a time
// of 0 for Half, Most and Full means that it has not come yet.
type Event struct {
	Number  int
	Began   time.Duration
	Lost    int      // nodes
	Of      int      // nodes that there were
	Zones   []string // of which nodes were lost
	Least   float64  // share of the usual room that was left
	LeastAt time.Duration
	Half    time.Duration // from the begin until half, 0.95 and all of the room was back
	Most    time.Duration
	Full    time.Duration
	Tries   float64 // tries a first try since it began
	Over    bool
	Why     string // how it ended

	firstTries, allTries float64 // first tries and all since the begin
	fullSince            time.Duration
}

// known is a node as of its last word.
type trackedNode struct {
	NodeReport
	lastReport time.Duration
	size       float64 // the highest limit of late: one that starts anew has not found its limit yet
	lost       bool    // in the present event, or gone
}

// Events watches a fleet. It belongs to one goroutine.
type EventDetector struct {
	nodes         map[string]*trackedNode
	losses        []loss
	usualCapacity float64 // room
	capacityShare float64 // as of the last step, a share of that
	current       *Event
	finished      []Event
	lastNumber    int
	lastStep      time.Duration
}

type loss struct {
	noticed    time.Duration
	name       string
	lastReport time.Duration // the last word of its old life
	returned   time.Duration // the first word of its next one, or awaited
	size       float64
}

const notReturned = time.Duration(math.MaxInt64)

// NewEvents returns a watch that has seen nothing; number is the last event's of an
// earlier life of the service.
func NewEventDetector(now time.Duration, number int) *EventDetector {
	return &EventDetector{nodes: map[string]*trackedNode{}, lastNumber: number, lastStep: now}
}

// Heard takes a node's word. A new incarnation is a loss, even if its silence was
// too short to show.
func (e *EventDetector) Observe(now time.Duration, w NodeReport) {
	k := e.nodes[w.Name]
	if k == nil {
		if len(e.nodes) < maxTrackedNodes {
			w = clampReport(w)
			e.nodes[w.Name] = &trackedNode{NodeReport: w, lastReport: now, size: w.Limit}
		}
		return
	}
	if w.Incarnation < k.Incarnation {
		return
	}
	if w.Incarnation > k.Incarnation && !k.Leaving && !k.lost {
		e.losses = append(e.losses, loss{now, w.Name, k.lastReport, now, k.size})
	}
	for i, l := range e.losses {
		if l.name == w.Name && l.returned == notReturned {
			e.losses[i].returned = now
		}
	}
	k.NodeReport, k.lastReport, k.lost = clampReport(w), now, false
	k.size = max(k.Limit, sizeDecay*k.size)
}

// sane bounds what a node says of itself: one that lies moves the fleet's figures
// by no more than a node can.
func clampReport(w NodeReport) NodeReport {
	clamp := func(x, most float64) float64 {
		if !(x >= 0) {
			return 0
		}
		return min(x, most)
	}
	w.Warm, w.Limit, w.ArrivalRate, w.FurtherTryShare = clamp(w.Warm, 1), clamp(w.Limit, 1e4), clamp(w.ArrivalRate, 1e6), clamp(w.FurtherTryShare, 1)
	return w
}

// Step watches; it returns lines for people when an event begins and ends.
func (e *EventDetector) Step(now time.Duration) (lines []string) {
	dt := (now - e.lastStep).Seconds()
	if dt <= 0 {
		return nil
	}
	before := e.lastStep
	e.lastStep = now
	room, whole, first, all := 0.0, 0.0, 0.0, 0.0
	most := e.maxNodeSize()
	for _, name := range slices.Sorted(maps.Keys(e.nodes)) { // sums of floats depend on the order
		k := e.nodes[name]
		switch silent := now - k.lastReport; {
		case silent > forgetNodeAfter:
			delete(e.nodes, name)
			continue
		case silent > reportTimeout && !k.lost:
			if k.lost = true; !k.Leaving {
				e.losses = append(e.losses, loss{now - reportTimeout, name, k.lastReport, notReturned, k.size})
			}
		}
		whole += min(k.size, most)
		if !k.lost {
			room += min(k.size, most) * k.Warm
			first += k.ArrivalRate * (1 - k.FurtherTryShare) * dt
			all += k.ArrivalRate * dt
		}
	}
	e.losses = slices.DeleteFunc(e.losses, func(l loss) bool { return now-l.noticed > lossWindow })
	lost := map[string]bool{}
	begin := now
	for _, l := range e.losses {
		lost[l.name] = true
		begin = min(begin, l.noticed)
	}
	if e.current == nil {
		if n := len(e.nodes); n >= minNodes && float64(len(lost)) > minLostShare*float64(n) && e.usualCapacity > 0 {
			lines = append(lines, e.beginEvent(begin, lost))
		} else if room > 0 {
			if e.usualCapacity == 0 {
				e.usualCapacity = room
			}
			e.usualCapacity += min(usualCapacitySmoothing*dt*10, 1) * (room - e.usualCapacity)
		}
	}
	if e.usualCapacity > 0 {
		e.capacityShare = min(room/e.usualCapacity, 1)
	}
	if e.current == nil {
		return lines
	}
	o := e.current
	o.firstTries, o.allTries = o.firstTries+first, o.allTries+all
	if o.firstTries > 0 {
		o.Tries = math.Round(100*o.allTries/o.firstTries) / 100
	}
	for name := range lost {
		o.Zones = addZone(o.Zones, e.nodes[name])
	}
	o.Lost = max(o.Lost, len(lost))
	share := min(room/e.usualCapacity, 1)
	if down := e.missingCapacity(before, most); down > 0 && whole > 0 { // less was there between two words than any word says
		share = min(share, max(0, 1-down/whole))
	}
	since := now - o.Began
	if share < o.Least {
		o.Least, o.LeastAt, o.Half, o.Most = share, since, 0, 0
	}
	if o.Half == 0 && share >= halfCapacity {
		o.Half = since
	}
	if o.Most == 0 && share >= mostCapacity {
		o.Most = since
	}
	if share < fullCapacity {
		o.Full, o.fullSince = 0, -1
	} else if o.Full == 0 {
		o.Full, o.fullSince = since, now
	}
	switch {
	case o.Full > 0 && now-o.fullSince >= fullDuration && now-o.Began > lossWindow:
		o.Over, o.Why = true, "all is back"
	case since >= maxEventDuration:
		o.Over, o.Why = true, "it was given up: the fleet is smaller now"
	}
	if o.Over {
		lines = append(lines, o.Summary())
		e.archive()
		e.losses, e.usualCapacity = nil, room // these are told of
	}
	return lines
}

// down is the most room that was missing at one moment between the lives of nodes, if one
// of them was heard again after the time given.
func (e *EventDetector) missingCapacity(after time.Duration, most float64) (down float64) {
	if !slices.ContainsFunc(e.losses, func(l loss) bool { return l.returned != notReturned && l.returned > after }) {
		return 0
	}
	type point struct { // in order of time, ends first: a node is away after from, up to till
		at   time.Duration
		more float64
	}
	points := make([]point, 0, 2*len(e.losses))
	for _, l := range e.losses {
		size := min(l.size, most)
		points = append(points, point{l.lastReport, size}, point{l.returned, -size})
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.more, b.more)) })
	missing := 0.0
	for _, p := range points {
		if p.more < 0 && p.at != notReturned {
			down = max(down, missing)
		}
		missing += p.more
	}
	return down
}

// largest is the most that one node's size counts: some times the median, so that one
// liar does not make the fleet's room its own.
func (e *EventDetector) maxNodeSize() float64 {
	sizes := make([]float64, 0, len(e.nodes))
	for _, k := range e.nodes {
		if k.size > 0 {
			sizes = append(sizes, k.size)
		}
	}
	if len(sizes) < minNodes {
		return math.MaxFloat64
	}
	slices.Sort(sizes)
	return maxSizeOverMedian * sizes[(len(sizes)-1)/2]
}

func addZone(zones []string, k *trackedNode) []string {
	if k == nil || k.Zone == "" || len(zones) >= 16 || slices.Contains(zones, k.Zone) {
		return zones
	}
	zones = append(zones, k.Zone)
	slices.Sort(zones)
	return zones
}

func (e *EventDetector) beginEvent(at time.Duration, lost map[string]bool) string {
	e.lastNumber++
	e.current = &Event{Number: e.lastNumber, Began: at, Lost: len(lost), Of: len(e.nodes), Least: 1, Tries: 1, fullSince: -1}
	return fmt.Sprintf("event %d begins: %d of %d nodes were lost within %v", e.lastNumber, len(lost), len(e.nodes), lossWindow)
}

// keep files the open event.
func (e *EventDetector) archive() {
	e.finished = append(e.finished, *e.current)
	if len(e.finished) > maxEvents {
		e.finished = slices.Delete(e.finished, 0, len(e.finished)-maxEvents)
	}
	e.current = nil
}

// Line says how an event was.
func (o *Event) Summary() string {
	at := func(d time.Duration) string {
		if d == 0 {
			return "-"
		}
		return d.Round(100 * time.Millisecond).String()
	}
	return fmt.Sprintf("event %d is over, %s: %d of %d nodes, least room %.2f after %v, half after %s, 0.95 after %s, all after %s, tries a first try %.2f",
		o.Number, o.Why, o.Lost, o.Of, o.Least, o.LeastAt.Round(100*time.Millisecond), at(o.Half), at(o.Most), at(o.Full), o.Tries)
}

// Room is the share of the usual room that is there now, 0 = not known.
func (e *EventDetector) Capacity() float64 { return e.capacityShare }

// List tells the events, oldest first, the one under way last.
func (e *EventDetector) List() []Event {
	list := slices.Clone(e.finished)
	if e.current != nil {
		list = append(list, *e.current)
	}
	return list
}

// Restore takes up events of an earlier life of the service; shift brings their
// times to this clock. One that was under way is over: nobody watched.
func (e *EventDetector) Restore(list []Event, shift time.Duration) {
	for _, o := range list {
		o.Began += shift
		if !o.Over {
			o.Over, o.Why = true, "the service that watched it ended"
		}
		e.finished = append(e.finished, o)
		e.lastNumber = max(e.lastNumber, o.Number)
	}
	if n := len(e.finished); n > maxEvents {
		e.finished = slices.Delete(e.finished, 0, n-maxEvents)
	}
}
