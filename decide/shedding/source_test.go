package shedding

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func tell(m *Shedder, now time.Duration, src int, seq uint64, nodes int, cut float64) {
	m.ReceiveDigestFrom(now, now, src, Digest{Epoch: uint64(10 + src), Seq: seq, Nodes: nodes, Threshold: cut})
	m.Step(now, 100, 1)
}

// Of several services one is followed: it is kept while it is fresh, another takes its
// place when it falls silent, and the more cautious is believed where two disagree, if
// it hears enough of the fleet.
func TestWhoseDigestIsFollowed(t *testing.T) {
	m := New(0, true)
	seq := uint64(0)
	at := func(now time.Duration) View { return m.View(now) }
	for now := 100 * time.Millisecond; now < 3*time.Second; now += 100 * time.Millisecond {
		seq++
		tell(m, now, 0, seq, 10, 0)
		tell(m, now, 1, seq, 10, 0)
	}
	if v := at(3 * time.Second); v.Source != 0 || m.choice.Moves != 0 {
		t.Fatalf("follows %d after %d moves", v.Source, m.choice.Moves)
	}
	for now := 3 * time.Second; now < 5*time.Second; now += 100 * time.Millisecond { // 0 falls silent
		seq++
		tell(m, now, 1, seq, 10, 0)
	}
	if v := at(5 * time.Second); v.Source != 1 || v.Trust < 0.99 {
		t.Fatalf("follows %d with trust %.2f while the other is silent", v.Source, v.Trust)
	}
	for now := 5 * time.Second; now < 9*time.Second; now += 100 * time.Millisecond { // 2 sees danger, 3 too but hears one node
		seq++
		tell(m, now, 1, seq, 10, 0)
		tell(m, now, 2, seq, 6, 50)
		tell(m, now, 3, seq, 1, 5000)
	}
	if v := at(9 * time.Second); v.Source != 2 || v.Threshold != 50 {
		t.Errorf("follows %d with cut %.0f where one that hears enough sees danger", v.Source, v.Threshold)
	}
	if m.choice.Moves != 2 {
		t.Errorf("%d moves", m.choice.Moves)
	}
}

// Whatever is told by whom in whatever order: what is followed is what one of them said,
// not older than what that one said before, and moves are as rare as stated unless the
// followed one falls silent.
func TestNeverAMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(0, true)
		said := map[Digest]int{}
		now := time.Duration(0)
		for range 150 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "dt")) * time.Millisecond
			src := rapid.IntRange(-1, MaxSources).Draw(t, "src")
			d := Digest{Epoch: uint64(100 + src), Seq: rapid.Uint64Range(1, 40).Draw(t, "seq"), Nodes: rapid.IntRange(0, 20).Draw(t, "nodes"),
				Threshold: rapid.SampledFrom([]float64{0, 10, 50, 500}).Draw(t, "cut")}
			since := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond
			moves, was, moved := m.choice.Moves, m.choice.at, m.choice.moved
			if m.ReceiveDigestFrom(now, since, src, d) {
				if src < 0 || src >= MaxSources {
					t.Fatal("a source that is none was believed")
				}
				said[d] = src
			}
			m.Step(now, 100, 1)
			fresh := m.choice.all[was].fresh(now)
			if m.choice.Moves > moves && fresh && was == m.choice.at {
				t.Fatal("a move to itself")
			}
			if m.choice.Moves > moves && fresh && now-moved < stickFor {
				t.Fatalf("moved from a fresh one %v after the last move", now-moved)
			}
			if m.hasDigest {
				if src, ok := said[m.digest]; !ok || src != m.choice.at {
					t.Fatalf("follows %+v, which service %d never said", m.digest, m.choice.at)
				}
			}
		}
	})
}
