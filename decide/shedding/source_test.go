package shedding

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// receive lets m receive a digest of control service src, and makes a step.
func receive(m *Shedder, now time.Duration, src int, seq uint64, nodes int, threshold float64) {
	m.ReceiveDigestFrom(now, now, src, Digest{Epoch: uint64(10 + src), Seq: seq, Nodes: nodes, Threshold: threshold})
	m.Step(now, 100, 1)
}

// With several control services, a node keeps following one while its digests are fresh, changes
// to another when they stop, and changes to one with a higher threshold, provided that this one
// knows enough of the fleet.
func TestWhoseDigestIsFollowed(t *testing.T) {
	m := New(0, true)
	seq := uint64(0)
	at := func(now time.Duration) View { return m.View(now) }
	for now := 100 * time.Millisecond; now < 3*time.Second; now += 100 * time.Millisecond {
		seq++
		receive(m, now, 0, seq, 10, 0)
		receive(m, now, 1, seq, 10, 0)
	}
	if v := at(3 * time.Second); v.Source != 0 || m.selector.changes != 0 {
		t.Fatalf("follows source %d after %d changes", v.Source, m.selector.changes)
	}
	for now := 3 * time.Second; now < 5*time.Second; now += 100 * time.Millisecond { // source 0 stops sending
		seq++
		receive(m, now, 1, seq, 10, 0)
	}
	if v := at(5 * time.Second); v.Source != 1 || v.Trust < 0.99 {
		t.Fatalf("follows source %d with trust %.2f after source 0 stopped", v.Source, v.Trust)
	}
	for now := 5 * time.Second; now < 9*time.Second; now += 100 * time.Millisecond { // 2 and 3 send a threshold; 3 knows one node
		seq++
		receive(m, now, 1, seq, 10, 0)
		receive(m, now, 2, seq, 6, 50)
		receive(m, now, 3, seq, 1, 5000)
	}
	if v := at(9 * time.Second); v.Source != 2 || v.Threshold != 50 {
		t.Errorf("follows source %d with threshold %.0f instead of the more cautious source 2", v.Source, v.Threshold)
	}
	if m.selector.changes != 2 {
		t.Errorf("%d changes of source", m.selector.changes)
	}
}

// For any sequence of digests from any sources, the followed digest is exactly one that the current
// source sent, and the source changes at most once in minFollowTime unless its digest gets old.
func TestDigestsAreNotMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(0, true)
		sentBy := map[Digest]int{}
		now := time.Duration(0)
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "dt")) * time.Millisecond
			src := rapid.IntRange(-1, MaxSources).Draw(t, "src")
			d := Digest{
				Epoch: uint64(100 + src), Seq: rapid.Uint64Range(1, 40).Draw(t, "seq"),
				Nodes:     rapid.IntRange(0, 20).Draw(t, "nodes"),
				Threshold: rapid.SampledFrom([]float64{0, 10, 50, 500}).Draw(t, "threshold"),
			}
			since := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond
			changes, previous, changedAt := m.selector.changes, m.selector.current, m.selector.changedAt
			if m.ReceiveDigestFrom(now, since, src, d) {
				if src < 0 || src >= MaxSources {
					t.Fatal("a digest of an invalid source was accepted")
				}
				sentBy[d] = src
			}
			m.Step(now, 100, 1)
			fresh := m.selector.sources[previous].fresh(now)
			if m.selector.changes > changes && fresh && previous == m.selector.current {
				t.Fatal("a change of source to the same source")
			}
			if m.selector.changes > changes && fresh && now-changedAt < minFollowTime {
				t.Fatalf("changed from a fresh source %v after the last change", now-changedAt)
			}
			if m.hasDigest {
				if src, ok := sentBy[m.digest]; !ok || src != m.selector.current {
					t.Fatalf("follows %+v, which source %d never sent", m.digest, m.selector.current)
				}
			}
		}
	})
}
