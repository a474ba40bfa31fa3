package fleet

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// noFault reports whether no fault affects a node or the link from a dispatcher to it.
func (f *Fleet) noFault(dispatcher, node int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeFaults[[2]int{dispatcher, node}] == 0 && f.activeFaults[[2]int{-1, node}] == 0
}

// currentProbeFactor returns by how much health checks are more frequent than the scenario sets.
func (f *Fleet) currentProbeFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probeFactor
}

// runFaults begins and ends the faults at their times.
func (f *Fleet) runFaults() {
	for _, change := range f.scenario.faultChanges() {
		if f.sleep(max(time.Until(f.startedAt.Add(change.at)), 0)) != nil {
			return
		}
		f.mu.Lock()
		mark := FaultMark{At: change.at.Seconds(), Fault: change.fault.Name, Begins: change.begins}
		f.faultMarks = append(f.faultMarks, mark)
		f.mu.Unlock()
		f.applyFault(change.fault, change.begins)
	}
}

// trackFault records the begin or end of a fault between a dispatcher (-1 = all) and a node. The end
// counts after TryTimeout and 2 s more, since requests in flight may still be affected.
func (f *Fleet) trackFault(dispatcher, node int, begins bool) {
	add := func(delta int) {
		f.mu.Lock()
		f.activeFaults[[2]int{dispatcher, node}] += delta
		f.mu.Unlock()
	}
	if begins {
		add(1)
		return
	}
	time.AfterFunc(2*time.Second+f.scenario.Dispatchers.TryTimeout, func() { add(-1) })
}

// applyFault begins or ends a fault.
func (f *Fleet) applyFault(fault *FaultSection, begins bool) {
	switch {
	case slices.Contains(processFaults, fault.Kind):
		targets, _ := f.scenario.selectMembers(fault.Targets, "nodes", "control") // validated before
		var changes sync.WaitGroup
		for _, i := range targets.indexes {
			changes.Go(func() {
				if targets.group == "control" {
					f.applyToControlService(fault, i, begins)
					return
				}
				f.trackFault(-1, i, begins)
				f.applyToNode(fault, i, begins)
			})
		}
		changes.Wait()
	case slices.Contains(linkFaults, fault.Kind):
		from, to, _ := f.scenario.parseLink(fault.Link)
		for _, l := range f.links[from.group+"->"+to.group] {
			if !from.contains(from.group, l.from) || !to.contains(to.group, l.to) {
				continue
			}
			switch {
			case from.group == "dispatchers":
				f.trackFault(l.from, l.to, begins)
			case to.group == "pools":
				f.trackFault(-1, l.from, begins)
			}
			l.SetFaults(fault.linkFaults(begins))
		}
	default:
		f.applyToClients(fault, begins)
	}
}

// linkFaults returns the faults that f sets on a link, none when it ends.
func (f *FaultSection) linkFaults(begins bool) (faults Faults) {
	if !begins {
		return faults
	}
	switch f.Kind {
	case "cut":
		faults.CutUp, faults.CutDown = true, true
	case "cut_up":
		faults.CutUp = true
	case "cut_down":
		faults.CutDown = true
	case "throttle":
		faults.BytesPerSecond = max(f.BytesPerSecond, 100)
	case "half_open":
		faults.HalfOpen = true
	case "reset":
		faults.Reset = true
	case "mid_message":
		faults.StopAfter = max(f.StopAfter, 1)
	}
	faults.Delay, faults.Jitter = f.Delay, f.Jitter
	return faults
}

// applyToNode begins or ends a fault of node i.
func (f *Fleet) applyToNode(fault *FaultSection, i int, begins bool) {
	node := f.nodes[i]
	switch {
	case fault.Kind == "kill" && begins, fault.Kind == "term" && begins:
		if fault.Kind == "term" {
			node.process.terminate(3 * time.Second)
		} else {
			node.process.kill()
		}
		_ = node.pool.Close()
		node.poolLink.SetTarget("")
	case fault.Kind == "late" && begins:
	case fault.Kind == "kill", fault.Kind == "term", fault.Kind == "late":
		f.prepareResults(node, fault.ResultsState)
		if fault.Kind != "late" && f.startPool(i, true) != nil {
			return // the node stays down, and the report shows it
		}
		if err := node.process.start(); err != nil {
			f.record(func(t *tally) { t.Crashes++ })
		}
	case fault.Kind == "hang":
		node.pool.SetPaused(begins)
		fallthrough
	case fault.Kind == "stop":
		node.process.signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[begins])
	case fault.Kind == "squeeze" && begins:
		node.process.throttle(fault.Factor)
	case fault.Kind == "squeeze":
		node.process.unthrottle()
	case fault.Kind == "slow" && begins:
		node.pool.SetSlowdown(fault.Factor)
	case fault.Kind == "slow":
		node.pool.SetSlowdown(1)
	}
}

// prepareResults puts a node's results directory into the state that FaultSection.ResultsState describes.
func (f *Fleet) prepareResults(node *fleetNode, state string) {
	results := filepath.Join(node.dir, "results")
	if state == "keep" {
		return
	}
	if state == "half" {
		files, _ := filepath.Glob(filepath.Join(results, "*-*")) // the pattern is valid
		for i, file := range files {
			if i%2 == 0 {
				_ = os.Remove(file) // within the rehearsal's own directory
			}
		}
		return
	}
	_ = os.RemoveAll(results) // within the rehearsal's own directory
	switch {
	case state == "old" && node.resultsCopy != "":
		_ = os.CopyFS(results, os.DirFS(node.resultsCopy))
	case state == "swap":
		other := f.nodes[(slices.Index(f.nodes, node)+1)%len(f.nodes)]
		// As after an operator's mistake: the neighbour's results as they are now.
		_ = os.CopyFS(results, os.DirFS(filepath.Join(other.dir, "results")))
	}
}

// applyToControlService begins or ends a fault of control service i.
func (f *Fleet) applyToControlService(fault *FaultSection, i int, begins bool) {
	process := f.controlServices[i].process
	switch {
	case (fault.Kind == "kill" || fault.Kind == "term") && begins:
		process.kill()
	case fault.Kind == "kill", fault.Kind == "term", fault.Kind == "late":
		if fault.ResultsState == "empty" {
			_ = os.RemoveAll(filepath.Join(f.dir, process.name))
		}
		if err := process.start(); err != nil {
			f.record(func(t *tally) { t.Crashes++ })
		}
	default:
		process.signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[begins])
	}
}

// applyToClients begins or ends a fault of dispatchers or desktops.
func (f *Fleet) applyToClients(fault *FaultSection, begins bool) {
	switch {
	case fault.Kind == "probe":
		f.mu.Lock()
		f.probeFactor = map[bool]float64{true: fault.Factor, false: 1}[begins]
		f.mu.Unlock()
	case fault.Kind == "reconnect" && begins:
		targets, err := f.scenario.selectMembers(fault.Targets, "dispatchers")
		if err != nil {
			targets, _ = f.scenario.selectMembers("dispatchers", "dispatchers")
		}
		for _, d := range targets.indexes {
			f.dispatchers[d].reconnect()
		}
	case fault.Kind == "return" && begins: // all desktops at once: as many requests as keep all cores busy for a second
		random := rand.New(rand.NewPCG(f.scenario.Fleet.Seed, 6))
		for range int(f.scenario.capacity()) {
			a := arrival{
				class: random.IntN(len(f.scenario.Classes)), dispatcher: random.IntN(len(f.dispatchers)),
				seed: random.Uint64(),
			}
			a.workMs = f.scenario.Classes[a.class].WorkMs * (0.5 + random.ExpFloat64()/2)
			f.startRequest(a, time.Now())
		}
	}
}
