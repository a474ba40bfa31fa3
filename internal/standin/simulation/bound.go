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
// has passed. If the solver fails, it returns NaN and the solver's error.
func BestUtility(set rules.Settings, arrivals []Arrival) (float64, error) {
	type group struct{ class, size int }
	windows := 0
	for _, a := range arrivals {
		windows = max(windows, int(a.At/boundWindow)+1)
	}
	if windows == 0 {
		return 0, nil
	}
	bounds := sizeBounds(len(set.Classes), arrivals)
	offeredWork := map[group][]float64{} // seconds of work by window
	requests := map[group]float64{}
	totalWork := map[group]float64{}
	for _, a := range arrivals {
		g := group{a.Class, 0}
		for _, b := range bounds[a.Class] {
			if a.Work >= b {
				g.size++
			}
		}
		if offeredWork[g] == nil {
			offeredWork[g] = make([]float64, windows)
		}
		offeredWork[g][int(a.At/boundWindow)] += a.Work.Seconds()
		totalWork[g] += a.Work.Seconds()
		requests[g]++
	}
	var groups []group
	for g := range offeredWork {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return (a.class*sizeGroups + a.size) - (b.class*sizeGroups + b.size)
	})
	windowsUntilTarget := func(g group) int { return int(set.Classes[g.class].LatencyTarget/boundWindow) + 1 }
	workWindows := windows // windows in which work may be done
	for _, g := range groups {
		workWindows = max(workWindows, windows+windowsUntilTarget(g))
	}
	// Variables: the work of a group that arrives in one window and is done in another; then a slack variable
	// for each row. Rows: the offered work of each group and window, then the capacity of the cores in each window.
	var cost, b []float64
	var ones []coefficient
	rows := 0
	for _, g := range groups {
		for w := range windows {
			if offeredWork[g][w] == 0 {
				continue
			}
			for d := 0; d <= windowsUntilTarget(g); d++ {
				ones = append(ones, coefficient{rows, len(cost)}, coefficient{-1 - (w + d), len(cost)})
				cost = append(cost, -set.Classes[g.class].Utility*requests[g]/totalWork[g])
			}
			b = append(b, offeredWork[g][w])
			rows++
		}
	}
	return solve(cost, b, ones, rows, workWindows, float64(set.Cores)*boundWindow.Seconds())
}

// coefficient is the position of a 1 in the matrix of the linear programme. A negative row -1-w stands for the
// capacity row of window w.
type coefficient struct{ row, col int }

// solve returns the maximum of the linear programme of BestUtility. cost has the negative utility of a second of
// work for each variable, b the offered work of each group and window in seconds; windowCapacity is in seconds of
// work, too.
func solve(
	cost, b []float64, ones []coefficient, rows, workWindows int, windowCapacity float64,
) (float64, error) {
	vars := len(cost)
	all := rows + workWindows
	a := mat.NewDense(all, vars+all, nil)
	for _, e := range ones {
		if e.row < 0 {
			e.row = rows - 1 - e.row
		}
		a.Set(e.row, e.col, 1)
	}
	for range workWindows {
		b = append(b, windowCapacity)
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

// sizeBounds returns, by class, the amounts of work that divide its requests into sizeGroups groups of about the
// same number.
func sizeBounds(classes int, arrivals []Arrival) [][]time.Duration {
	bounds := make([][]time.Duration, classes)
	for c := range classes {
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
	return bounds
}

// StaticSplit is a baseline policy: every class has an equal, fixed share of the slots, and its free slots are
// not available to other classes. It implements rules.Pools and is not safe for concurrent use.
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
