// This file owns the best that could be had of a list of arrivals, and a plain
// baseline to compare with. It must never be used to decide anything in service.

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
	boundWindow = time.Second
	sizeGroups  = 3 // requests of a class are told apart by size, into so many parts
)

// Best is an upper bound of the worth that any order could earn from arrivals on
// cores that never slow: a linear programme over classes, sizes and windows, in
// which a request's work may be done in its window or until its aim is over.
func BestUtility(set rules.Settings, arrivals []Arrival) (float64, error) {
	type kind struct{ class, size int }
	windows := 0
	for _, a := range arrivals {
		windows = max(windows, int(a.At/boundWindow)+1)
	}
	if windows == 0 {
		return 0, nil
	}
	bounds := make([][]time.Duration, len(set.Classes)) // of the sizes of a class
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
	slices.SortFunc(kinds, func(a, b kind) int { return (a.class*sizeGroups + a.size) - (b.class*sizeGroups + b.size) })
	late := func(k kind) int { return int(set.Classes[k.class].LatencyTarget/boundWindow) + 1 }
	slots := windows
	for _, k := range kinds {
		slots = max(slots, windows+late(k))
	}
	// Variables: work of a kind that came in one window, done in another; then a
	// slack for each row. Rows: what was offered, and what the cores can do.
	var cost, b []float64
	type entry struct{ row, col int }
	var ones []entry
	rows := 0
	for _, k := range kinds {
		for w := range windows {
			if offered[k][w] == 0 {
				continue
			}
			for d := 0; d <= late(k); d++ {
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
		return math.NaN(), fmt.Errorf("best achievable: %w", err)
	}
	return -value, nil
}

// Split is a baseline: every class has a fixed part of the slots, by equal
// shares, and lends nothing.
type StaticSplit struct{ running []int }

var _ rules.Pools = (*StaticSplit)(nil)

// NewSplit returns a split among classes.
func NewStaticSplit(classes int) *StaticSplit { return &StaticSplit{running: make([]int, classes)} }

// Arrived is for rules.Pools.
func (s *StaticSplit) Arrived(time.Duration, int, time.Duration) {}

// Running counts the runs of a class.
func (s *StaticSplit) RunningChanged(_ time.Duration, class, n int) { s.running[class] += n }

// Ran is for rules.Pools.
func (s *StaticSplit) RunSucceeded(time.Duration, int, time.Duration) {}

// Step is for rules.Pools.
func (s *StaticSplit) Step(time.Duration, float64) []string { return nil }

// Stuck is for rules.Pools.
func (s *StaticSplit) StalledRuns() int { return 0 }

// Next is the oldest of a class with a slot of its own.
func (s *StaticSplit) Next(_ time.Duration, slots, taken int, line []rules.QueuedRequest) int {
	own := max(1, slots/len(s.running))
	for i, w := range line {
		if s.running[w.Class] < own {
			return i
		}
	}
	return -1
}

// Leaves is the newest of the class that holds most.
func (s *StaticSplit) Evict(_ time.Duration, _ int, line []rules.QueuedRequest) int {
	held := make([]int, len(s.running))
	for _, w := range line {
		held[w.Class]++
	}
	worst := len(line) - 1
	for i := len(line) - 1; i >= 0; i-- {
		if held[line[i].Class] > held[line[worst].Class] {
			worst = i
		}
	}
	return worst
}
