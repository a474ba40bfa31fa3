package simulation

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"robinmast/rules"
)

const (
	boundWindow = time.Second // length of a window of the linear programme
	sizeGroups  = 3           // groups by size into which the requests of a class are divided
)

// BestUtility returns an upper bound of the utility that any policy could reach for the arrivals on cores that
// do not slow down under contention. It solves a linear programme over classes, sizes and windows of one
// second, in which the work of a request may be done from the window of its arrival until its latency target
// has passed.
// The error is that of the solver, and the value then NaN.
func BestUtility(set rules.Settings, arrivals []Arrival) (float64, error) {
	type kind struct{ class, size int }
	windows := 0
	for _, a := range arrivals {
		windows = max(windows, int(a.At/boundWindow)+1)
	}
	if windows == 0 {
		return 0, nil
	}
	bounds := make([][]time.Duration, len(set.Classes)) // between size groups, by class
	for c := range set.Classes {
		var work []time.Duration
		for _, a := range arrivals {
			if a.Class == c {
				work = append(work, a.Work)
			}
		}
		slices.Sort(work)
		for i := 1; i < sizeGroups && len(work) > 0; i++ {
			bounds[c] = append(bounds[c], work[len(work)*i/sizeGroups])
		}
	}
	offered := map[kind][]float64{} // seconds of work by window
	count := map[kind]float64{}
	total := map[kind]float64{}
	for _, a := range arrivals {
		k := kind{a.Class, 0}
		for _, b := range bounds[a.Class] {
			if a.Work >= b {
				k.size++
			}
		}
		if offered[k] == nil {
			offered[k] = make([]float64, windows)
		}
		offered[k][int(a.At/boundWindow)] += a.Work.Seconds()
		total[k] += a.Work.Seconds()
		count[k]++
	}
	var kinds []kind
	for k := range offered {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b kind) int {
		return (a.class*sizeGroups + a.size) - (b.class*sizeGroups + b.size)
	})
	lastWindow := func(k kind) int { return int(set.Classes[k.class].LatencyTarget/boundWindow) + 1 }
	slots := windows // windows in which work may be done
	for _, k := range kinds {
		slots = max(slots, windows+lastWindow(k))
	}
	// Variables: the work of a kind that arrives in one window and is done in another; then a slack variable
	// for each row. Rows: the offered work of each kind and window, then the capacity of the cores in each window.
	var cost, b []float64
	type entry struct{ row, col int }
	var ones []entry
	rows := 0
	for _, k := range kinds {
		for w := range windows {
			if offered[k][w] == 0 {
				continue
			}
			for d := 0; d <= lastWindow(k); d++ {
				ones = append(ones, entry{rows, len(cost)}, entry{-1 - (w + d), len(cost)})
				cost = append(cost, -set.Classes[k.class].Utility*count[k]/total[k])
			}
			b = append(b, offered[k][w])
			rows++
		}
	}
	vars := len(cost)
	all := rows + slots
	a := mat.NewDense(all, vars+all, nil)
	for _, e := range ones {
		if e.row < 0 {
			e.row = rows - 1 - e.row
		}
		a.Set(e.row, e.col, 1)
	}
	for range slots {
		b = append(b, float64(set.Cores)*boundWindow.Seconds())
	}
	basis := make([]int, all)
	for i := range all {
		a.Set(i, vars+i, 1)
		basis[i] = vars + i
		cost = append(cost, 0)
	}
	value, _, err := lp.Simplex(cost, a, b, 1e-8, basis)
	if err != nil {
		return math.NaN(), fmt.Errorf("solve for the best achievable utility: %w", err)
	}
	return -value, nil
}

// StaticSplit is a baseline policy: every class has an equal, fixed share of the slots, and no class lends
// its free slots to another.
type StaticSplit struct{ running []int }

var _ rules.Pools = (*StaticSplit)(nil)

// NewStaticSplit returns a split among a number of classes.
func NewStaticSplit(classes int) *StaticSplit { return &StaticSplit{running: make([]int, classes)} }

// Arrived implements rules.Pools; it does nothing.
func (s *StaticSplit) Arrived(time.Duration, int, time.Duration) {}

// RunningChanged counts the runs of a class.
func (s *StaticSplit) RunningChanged(_ time.Duration, class, n int) { s.running[class] += n }

// RunSucceeded implements rules.Pools; it does nothing.
func (s *StaticSplit) RunSucceeded(time.Duration, int, time.Duration) {}

// Step implements rules.Pools; it does nothing.
func (s *StaticSplit) Step(time.Duration, float64) []string { return nil }

// StalledRuns implements rules.Pools; it returns 0.
func (s *StaticSplit) StalledRuns() int { return 0 }

// Next returns the index of the oldest request whose class has a free slot, -1 if there is none.
func (s *StaticSplit) Next(_ time.Duration, slots, taken int, queue []rules.QueuedRequest) int {
	share := max(1, slots/len(s.running))
	for i, w := range queue {
		if s.running[w.Class] < share {
			return i
		}
	}
	return -1
}

// Evict returns the index of the newest request of the class with the most queued requests.
func (s *StaticSplit) Evict(_ time.Duration, _ int, queue []rules.QueuedRequest) int {
	queued := make([]int, len(s.running))
	for _, w := range queue {
		queued[w.Class]++
	}
	worst := len(queue) - 1
	for i := len(queue) - 1; i >= 0; i-- {
		if queued[queue[i].Class] > queued[queue[worst].Class] {
			worst = i
		}
	}
	return worst
}
