package recovery

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the EventDetector.
const (
	minLostShare           = 0.2 // share of the nodes that must be lost within lossWindow for an event
	lossWindow             = 5 * time.Second
	halfCapacity           = 0.5
	mostCapacity           = 0.95
	fullCapacity           = 0.99
	fullDuration           = time.Second             // for which capacity must stay full, so that no single report ends an event
	maxEventDuration       = 10 * time.Minute        // then the event ends anyway: the fleet is smaller now
	usualCapacitySmoothing = 0.02                    // weight of a tenth of a second in the usual capacity
	maxEvents              = 64                      // finished events that are kept
	maxZones               = 16                      // listed per event
	reportInterval         = 700 * time.Millisecond  // between two reports of a node
	reportTimeout          = 1600 * time.Millisecond // two missed reports: a node that is silent for longer is lost
	sizeDecay              = 0.999                   // factor per report: a node's size halves in eight minutes
	maxSizeOverMedian      = 4.0                     // a node's size counts for at most so many times the median
	maxTrackedNodes        = 20_000
	forgetNodeAfter        = 2 * time.Minute // a node that is silent for longer is removed
	minNodes               = 3               // with fewer nodes there are no events, and no limit on a node's size
)

// NodeReport is the part of a node's report that the EventDetector uses.
type NodeReport struct {
	Name, Zone      string
	Incarnation     uint64
	Leaving         bool    // it drains, so its silence is no loss
	Warm            float64 // share of its usual speed that it has reached
	Limit           float64 // concurrency limit, which is the node's size
	ArrivalRate     float64 // requests per second
	FurtherTryShare float64 // share of the arrivals that are further tries
}

// Event is a period that began with the loss of many nodes. Began is on the control service's
// clock, the other times count from it; 0 for HalfAfter, MostAfter and FullAfter means not yet.
// It is stored as JSON; the tags keep the names of stored fields.
type Event struct {
	Number          int
	Began           time.Duration
	LostNodes       int      `json:"Lost"` // nodes lost
	FleetSize       int      `json:"Of"`   // nodes in the fleet when it began
	Zones           []string // zones of lost nodes, sorted, at most maxZones
	LeastShare      float64  `json:"Least"` // least share of the usual capacity
	LeastAt         time.Duration
	HalfAfter       time.Duration `json:"Half"`  // until halfCapacity of the usual capacity was back
	MostAfter       time.Duration `json:"Most"`  // until mostCapacity
	FullAfter       time.Duration `json:"Full"`  // until fullCapacity
	TriesPerRequest float64       `json:"Tries"` // tries per first try since it began
	Ended           bool          `json:"Over"`
	EndReason       string        `json:"Why"` // why it ended

	firstTries, allTries float64 // since it began
	fullSince            time.Duration
}

// trackedNode is a node as of its last report.
type trackedNode struct {
	NodeReport
	lastReport time.Duration
	size       float64 // highest recent limit: a restarted node has not found its limit yet
	lost       bool    // silent for longer than reportTimeout
}

// EventDetector detects, from the nodes' reports, when many nodes of a fleet were lost at about
// the same time, and measures how much capacity was left and how long it took to come back.
type EventDetector struct {
	nodes         map[string]*trackedNode
	losses        []loss  // of the last lossWindow
	usualCapacity float64 // smoothed capacity without an event; 0 = unknown
	capacityShare float64 // share of usualCapacity at the last step; 0 = unknown
	current       *Event
	finished      []Event
	lastNumber    int
	lastStep      time.Duration
}

// loss is one incarnation of a node that was lost.
type loss struct {
	lostAt     time.Duration // estimate, see estimateLoss
	name       string
	lastReport time.Duration // of the lost incarnation
	returnedAt time.Duration // first report of the next incarnation, or notReturned
	size       float64
}

const notReturned = time.Duration(math.MaxInt64)

// NewEventDetector returns a detector without nodes; number is that of the last event of an
// earlier incarnation of the control service.
func NewEventDetector(now time.Duration, number int) *EventDetector {
	return &EventDetector{nodes: map[string]*trackedNode{}, lastNumber: number, lastStep: now}
}

// Observe takes a node's report. A new incarnation counts as a loss of the previous one, even
// if no report was missed.
func (d *EventDetector) Observe(now time.Duration, report NodeReport) {
	node := d.nodes[report.Name]
	if node == nil {
		if len(d.nodes) < maxTrackedNodes {
			report = clampReport(report)
			d.nodes[report.Name] = &trackedNode{NodeReport: report, lastReport: now, size: report.Limit}
		}
		return
	}
	if report.Incarnation < node.Incarnation {
		return
	}
	if report.Incarnation > node.Incarnation && !node.Leaving && !node.lost {
		d.losses = append(d.losses, loss{estimateLoss(node.lastReport, now), report.Name, node.lastReport, now, node.size})
	}
	for i, l := range d.losses {
		if l.name == report.Name && l.returnedAt == notReturned {
			d.losses[i].returnedAt = now
		}
	}
	node.NodeReport, node.lastReport, node.lost = clampReport(report), now, false
	node.size = max(node.Limit, sizeDecay*node.size)
}

// estimateLoss estimates when a node was lost that was found lost at the time found. It was lost between its last report
// and the next one, which did not come: the middle is wrong by half of an interval at most, however it is found.
func estimateLoss(lastReport, found time.Duration) time.Duration {
	return min(lastReport+reportInterval/2, found)
}

// clampReport bounds the figures of a report, so that one wrong report cannot move the fleet's
// figures by more than a node can.
func clampReport(report NodeReport) NodeReport {
	clamp := func(x, limit float64) float64 {
		if !(x >= 0) {
			return 0
		}
		return min(x, limit)
	}
	report.Warm, report.Limit, report.ArrivalRate, report.FurtherTryShare =
		clamp(report.Warm, 1), clamp(report.Limit, 1e4), clamp(report.ArrivalRate, 1e6), clamp(report.FurtherTryShare, 1)
	return report
}

// Step measures the fleet's capacity, and begins, updates or ends an event. It returns a log line
// when one begins or ends.
func (d *EventDetector) Step(now time.Duration) (lines []string) {
	dt := (now - d.lastStep).Seconds()
	if dt <= 0 {
		return nil
	}
	before := d.lastStep
	d.lastStep = now
	m := d.measure(now, dt)
	d.losses = slices.DeleteFunc(d.losses, func(l loss) bool { return now-l.lostAt > lossWindow })
	lost := map[string]bool{}
	began := now
	for _, l := range d.losses {
		lost[l.name] = true
		began = min(began, l.lostAt)
	}
	if d.current == nil {
		if n := len(d.nodes); n >= minNodes && float64(len(lost)) > minLostShare*float64(n) &&
			d.usualCapacity > 0 {
			lines = append(lines, d.beginEvent(began, lost))
		} else if m.capacity > 0 {
			if d.usualCapacity == 0 {
				d.usualCapacity = m.capacity
			}
			d.usualCapacity += min(usualCapacitySmoothing*dt*10, 1) * (m.capacity - d.usualCapacity)
		}
	}
	if d.usualCapacity > 0 {
		d.capacityShare = min(m.capacity/d.usualCapacity, 1)
	}
	if d.current == nil {
		return lines
	}
	d.updateEvent(now, before, m, lost)
	if event := d.current; event.Ended {
		lines = append(lines, event.Summary())
		d.archive()
		d.losses, d.usualCapacity = nil, m.capacity // the losses are part of the event that ended
	}
	return lines
}

// measurement holds sums over the nodes at a step.
type measurement struct {
	capacity             float64 // sizes of the nodes that are not lost, times their speed
	total                float64 // sizes of all nodes
	maxSize              float64 // limit on one node's size
	firstTries, allTries float64 // since the last step
}

// measure sums over the nodes, dt seconds after the last step. It removes nodes that have been silent
// for long and records newly lost ones in losses.
func (d *EventDetector) measure(now time.Duration, dt float64) (m measurement) {
	m.maxSize = d.maxNodeSize()
	for _, name := range slices.Sorted(maps.Keys(d.nodes)) { // sums of floats depend on the order
		node := d.nodes[name]
		switch silent := now - node.lastReport; {
		case silent > forgetNodeAfter:
			delete(d.nodes, name)
			continue
		case silent > reportTimeout && !node.lost:
			if node.lost = true; !node.Leaving {
				d.losses = append(d.losses, loss{estimateLoss(node.lastReport, now), name, node.lastReport, notReturned, node.size})
			}
		}
		m.total += min(node.size, m.maxSize)
		if !node.lost {
			m.capacity += min(node.size, m.maxSize) * node.Warm
			m.firstTries += node.ArrivalRate * (1 - node.FurtherTryShare) * dt
			m.allTries += node.ArrivalRate * dt
		}
	}
	return m
}

// updateEvent updates the current event to now; before is the time of the last step.
func (d *EventDetector) updateEvent(now, before time.Duration, m measurement, lost map[string]bool) {
	event := d.current
	event.firstTries, event.allTries = event.firstTries+m.firstTries, event.allTries+m.allTries
	if event.firstTries > 0 {
		event.TriesPerRequest = math.Round(100*event.allTries/event.firstTries) / 100
	}
	for name := range lost {
		event.Zones = addZone(event.Zones, d.nodes[name])
	}
	event.LostNodes = max(event.LostNodes, len(lost))
	share := min(m.capacity/d.usualCapacity, 1)
	// Between two reports the capacity may have been lower than any report shows.
	if missing := d.missingCapacity(before, m.maxSize); missing > 0 && m.total > 0 {
		share = min(share, max(0, 1-missing/m.total))
	}
	since := now - event.Began
	if share < event.LeastShare {
		event.LeastShare, event.LeastAt, event.HalfAfter, event.MostAfter = share, since, 0, 0
	}
	if event.HalfAfter == 0 && share >= halfCapacity {
		event.HalfAfter = since
	}
	if event.MostAfter == 0 && share >= mostCapacity {
		event.MostAfter = since
	}
	if share < fullCapacity {
		event.FullAfter, event.fullSince = 0, -1
	} else if event.FullAfter == 0 {
		event.FullAfter, event.fullSince = since, now
	}
	switch {
	case event.FullAfter > 0 && now-event.fullSince >= fullDuration && now-event.Began > lossWindow:
		event.Ended, event.EndReason = true, "all is back"
	case since >= maxEventDuration:
		event.Ended, event.EndReason = true, "it was given up: the fleet is smaller now"
	}
}

// missingCapacity returns the most capacity that was missing at one moment between two
// incarnations of nodes, 0 if no node returned after the given time.
func (d *EventDetector) missingCapacity(after time.Duration, maxSize float64) (peak float64) {
	if !slices.ContainsFunc(d.losses, func(l loss) bool { return l.returnedAt != notReturned && l.returnedAt > after }) {
		return 0
	}
	// Ordered by time, returns first: a node is missing from after lastReport up to returnedAt.
	type point struct {
		at     time.Duration
		change float64 // of the missing capacity
	}
	points := make([]point, 0, 2*len(d.losses))
	for _, l := range d.losses {
		size := min(l.size, maxSize)
		points = append(points, point{l.lastReport, size}, point{l.returnedAt, -size})
	}
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change))
	})
	missing := 0.0
	for _, p := range points {
		if p.change < 0 && p.at != notReturned {
			peak = max(peak, missing)
		}
		missing += p.change
	}
	return peak
}

// maxNodeSize returns the most that one node's size counts: a multiple of the median, so that
// one wrong report does not dominate the fleet's capacity.
func (d *EventDetector) maxNodeSize() float64 {
	sizes := make([]float64, 0, len(d.nodes))
	for _, node := range d.nodes {
		if node.size > 0 {
			sizes = append(sizes, node.size)
		}
	}
	if len(sizes) < minNodes {
		return math.MaxFloat64
	}
	slices.Sort(sizes)
	return maxSizeOverMedian * sizes[(len(sizes)-1)/2]
}

// addZone returns zones with the zone of node added, sorted and at most maxZones long. node may be nil.
func addZone(zones []string, node *trackedNode) []string {
	if node == nil || node.Zone == "" || len(zones) >= maxZones || slices.Contains(zones, node.Zone) {
		return zones
	}
	zones = append(zones, node.Zone)
	slices.Sort(zones)
	return zones
}

// beginEvent opens an event and returns its log line.
func (d *EventDetector) beginEvent(at time.Duration, lost map[string]bool) string {
	d.lastNumber++
	d.current = &Event{
		Number: d.lastNumber, Began: at, LostNodes: len(lost), FleetSize: len(d.nodes), LeastShare: 1, TriesPerRequest: 1, fullSince: -1,
	}
	return fmt.Sprintf("event %d started: %d of %d nodes were lost within %v",
		d.lastNumber, len(lost), len(d.nodes), lossWindow)
}

// archive moves the current event to the finished ones, of which the latest maxEvents are kept.
func (d *EventDetector) archive() {
	d.finished = append(d.finished, *d.current)
	if len(d.finished) > maxEvents {
		d.finished = slices.Delete(d.finished, 0, len(d.finished)-maxEvents)
	}
	d.current = nil
}

// Summary describes a finished event for the log.
func (e *Event) Summary() string {
	orDash := func(d time.Duration) string {
		if d == 0 {
			return "-"
		}
		return d.Round(100 * time.Millisecond).String()
	}
	return fmt.Sprintf("event %d ended, %s: %d of %d nodes lost, least capacity %.2f after %v, "+
		"half after %s, 0.95 after %s, full after %s, %.2f tries per first try",
		e.Number, e.EndReason, e.LostNodes, e.FleetSize, e.LeastShare, e.LeastAt.Round(100*time.Millisecond),
		orDash(e.HalfAfter), orDash(e.MostAfter), orDash(e.FullAfter), e.TriesPerRequest)
}

// Capacity returns the share of the usual capacity that is there now, 0 = unknown.
func (d *EventDetector) Capacity() float64 { return d.capacityShare }

// List returns the events, oldest first, the current one last.
func (d *EventDetector) List() []Event {
	list := slices.Clone(d.finished)
	if d.current != nil {
		list = append(list, *d.current)
	}
	return list
}

// Restore adds events of an earlier incarnation of the control service; shift converts their
// times to this clock. An event that had not ended counts as over, as nobody observed its end.
func (d *EventDetector) Restore(list []Event, shift time.Duration) {
	for _, event := range list {
		event.Began += shift
		if !event.Ended {
			event.Ended, event.EndReason = true, "the service that watched it ended"
		}
		d.finished = append(d.finished, event)
		d.lastNumber = max(d.lastNumber, event.Number)
	}
	if n := len(d.finished); n > maxEvents {
		d.finished = slices.Delete(d.finished, 0, n-maxEvents)
	}
}
