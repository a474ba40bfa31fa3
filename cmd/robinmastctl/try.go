// This file owns the command try: one node with stand-ins around it, played
// through calm, overload and a crash. It must never touch anything but loopback
// and a folder of its own.

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"robinmast/internal/standin/platform"
)

// What is tried: a machine of four cores, two classes of work, patient callers.
const (
	tryCores   = 4
	tryCrowd   = 0.15 // see platform.Pool
	tryCallers = 8
	tryLimit   = 1500 * time.Millisecond
	tryCalm    = 0.5                    // load of the calm parts, share of what the cores can do
	trySlack   = 250 * time.Millisecond // after its limit an answer is still waited for
	tryTries   = 3                      // of a keyed request whose answer was lost
)

var tryClasses = []struct {
	name  string
	keyed bool
	share float64 // of the requests
	ms    float64 // mean work
}{{"step", false, 0.7, 20}, {"order", true, 0.3, 12}}

const trySettings = `{"tickMs":2,"groupSize":1,
 "lanes":[{"name":"step","aimMs":700,"deadlineMs":1500,"effect":"idempotent","worth":1},
  {"name":"order","aimMs":700,"deadlineMs":1500,"effect":"deduplicated","windowMs":60000,"worth":2}],
 "parties":[{"name":"acme","share":1,"quotaRps":10000}],
 "extra":{"cpus":%d,"ramKb":400000,"runFactor":4,"entryKb":0.2,"meters":["cpu_busy","runnable"],"passesDeadline":true,
  "tellsGone":true,"preemption":"drop","say":"weight","keepaliveMaxMs":30000,"upstreams":%d,"heededMs":1000,"below":"none"},
 "bounds":{"retryAfter":true,"maxRetryAfterMs":1000},
 "obligations":{"fallMultiple":8,"fallMs":1500,"stopSendingWithinMs":200,"answerSlackMs":60}}`

// tryOptions are the command's flags.
type tryOptions struct {
	seconds int
	load    float64
	seed    uint64
	json    bool
	node    string
}

func tryCommand() *cobra.Command {
	var o tryOptions
	c := &cobra.Command{
		Use:   "try",
		Short: "See one node work: calm traffic, then overload, then a crash",
		Long: `try starts bin/robinmast on loopback between stand-ins for its worker pool, its
membership service and its dispatchers. It plays calm traffic, then more than
the cores can do, then kills the node outright and starts it again under calm
traffic. Each second is a line; the accounting at the end says what became of
every request. Status 0 if it adds up and no keyed request ran twice.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return try(ctx, o, c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.IntVar(&o.seconds, "seconds", 12, "how long in all, 6 to 600")
	f.Float64Var(&o.load, "load", 1.3, "load of the overload, 1 = what the cores can do; 0.1 to 10")
	f.Uint64Var(&o.seed, "seed", 1, "of arrivals and work")
	f.BoolVar(&o.json, "json", false, "print each second and the accounting as a JSON object")
	f.StringVar(&o.node, "node", "", "the node's program; the one beside this tool if left out")
	return c
}

// tally is what became of requests.
type tally struct {
	Sent    int `json:"sent"`    // first tries
	Again   int `json:"again"`   // further tries of keyed requests whose answer was lost
	Served  int `json:"served"`  // answered with the result in time
	Refused int `json:"refused"` // answered with when to return
	Failed  int `json:"failed"`  // answered without a promise
	Late    int `json:"late"`    // answered or not, their time was over
	Cut     int `json:"cut"`     // their connection ended with the node
	Unsent  int `json:"unsent"`  // no connection could be had
}

func (t tally) ends() int { return t.Served + t.Refused + t.Failed + t.Late + t.Cut + t.Unsent }

func (t tally) minus(o tally) tally {
	return tally{t.Sent - o.Sent, t.Again - o.Again, t.Served - o.Served, t.Refused - o.Refused,
		t.Failed - o.Failed, t.Late - o.Late, t.Cut - o.Cut, t.Unsent - o.Unsent}
}

// second is one line of the table.
type second struct {
	At      int     `json:"at"`
	Phase   string  `json:"phase"`
	Tally   tally   `json:"tally"`
	NodeCPU float64 `json:"node_cpu"` // cores
	Busy    float64 `json:"busy"`     // share of the worker pool's cores
	Held    int     `json:"held"`
	Running int     `json:"running"`
}

// accounting is the end of the table.
type accounting struct {
	Seed       uint64 `json:"seed"`
	Tally      tally  `json:"tally"`
	Open       int    `json:"open"`       // requests without an end
	Twice      int    `json:"twice"`      // keyed requests that ran more than once
	Changed    int    `json:"changed"`    // keyed requests answered with two results
	Remembered int    `json:"remembered"` // further tries answered without another run
	AddsUp     bool   `json:"adds_up"`
}

// trial is one play.
type trial struct {
	tryOptions
	dir  string
	addr string
	pool *platform.Pool
	rate float64 // requests a second that fill the cores

	mu     sync.Mutex
	tally  tally
	open   int
	txn    uint64
	rnd    *rand.Rand
	runs   map[string]int // of keyed requests
	result map[string]string
	acc    accounting
	conns  []*platform.Client

	process *exec.Cmd
	log     *os.File
}

func try(ctx context.Context, o tryOptions, out io.Writer) (err error) {
	if o.seconds < 6 || o.seconds > 600 || o.load < 0.1 || o.load > 10 {
		return errors.New("seconds must be 6 to 600 and load 0.1 to 10")
	}
	if o.node == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.node = filepath.Join(filepath.Dir(self), "robinmast")
	}
	if _, err := os.Stat(o.node); err != nil {
		return fmt.Errorf("the node's program: %w (build it, or name it with --node)", err)
	}
	t := &trial{tryOptions: o, rnd: rand.New(rand.NewPCG(o.seed, 1)), runs: map[string]int{}, result: map[string]string{}, conns: make([]*platform.Client, tryCallers)}
	mean := 0.0
	for _, c := range tryClasses {
		mean += c.share * c.ms
	}
	t.rate = tryCores * 1000 / mean
	if t.dir, err = os.MkdirTemp("", "robinmast-try-"); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(t.dir)) }()
	work := rand.New(rand.NewPCG(o.seed, 2))
	t.pool, err = platform.StartPool(tryCores, tryCrowd, func(r platform.Run) (float64, string, []byte) { return t.work(work, r) })
	if err != nil {
		return err
	}
	defer t.pool.Close()
	members, err := platform.StartMembers()
	if err != nil {
		return err
	}
	defer members.Close()
	if err := t.configure(members.Addr()); err != nil {
		return err
	}
	if err := t.start(ctx); err != nil {
		return err
	}
	defer t.kill()
	return t.play(ctx, out)
}

// work says what a run takes, and counts those of keyed requests.
func (t *trial) work(rnd *rand.Rand, r platform.Run) (float64, string, []byte) {
	ms, err := strconv.ParseFloat(strings.SplitN(string(r.Body), " ", 2)[0], 64)
	if err != nil {
		return 0, "error", nil
	}
	if _, unique, ok := strings.Cut(string(r.Body), " "); ok {
		t.mu.Lock()
		t.runs[unique]++
		t.mu.Unlock()
	}
	return ms, "complete", fmt.Appendf(nil, "done by %s %08x", r.ID, rnd.Uint32())
}

// configure writes the node's two files.
func (t *trial) configure(members string) error {
	hold, err := net.Listen("tcp", "127.0.0.1:0") // a free port, which the node takes over
	if err != nil {
		return err
	}
	t.addr = hold.Addr().String()
	if err := hold.Close(); err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{
		"name": "try", "listen": t.addr, "pool": t.pool.Addr(), "members": members, "seed": fmt.Sprintf("%016x", t.seed),
		"stop_ms": 2000, "limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 384},
		"settings": json.RawMessage(fmt.Sprintf(trySettings, tryCores, tryCallers)),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(t.dir, "config.json"), text, 0o600); err != nil {
		return err
	}
	ini := "[results]\nenabled = true\ndir = " + filepath.Join(t.dir, "results") + "\n"
	return os.WriteFile(filepath.Join(t.dir, "robinmast.ini"), []byte(ini), 0o600)
}

// start starts the node and waits until it listens.
func (t *trial) start(ctx context.Context) error {
	var err error
	if t.log, err = os.OpenFile(filepath.Join(t.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	t.process = exec.Command(t.node, "run", "--config", filepath.Join(t.dir, "robinmast.ini"))
	t.process.Env = append(os.Environ(), "EDGE_CONFIG="+filepath.Join(t.dir, "config.json"))
	t.process.Stderr = t.log
	if err := t.process.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", t.addr, time.Second); err == nil {
			return c.Close()
		}
	}
	text, _ := os.ReadFile(t.log.Name()) // only to tell more
	t.kill()
	return fmt.Errorf("the node did not start: %s", strings.TrimSpace(string(text)))
}

func (t *trial) kill() {
	if t.process == nil {
		return
	}
	_ = t.process.Process.Kill()
	_ = t.process.Wait() // it was killed
	_ = t.log.Close()
	t.process = nil
}

// play sends requests at random times, as many as the part asks for, and prints
// the table.
func (t *trial) play(ctx context.Context, out io.Writer) error {
	calm, over := t.seconds*35/100, t.seconds*70/100
	if !t.json {
		fmt.Fprintf(out, "one node, %d cores of work, %.0f requests a second fill them; seed %d\n\n", tryCores, t.rate, t.seed)
		fmt.Fprintf(out, "%4s  %-9s %6s %6s %7s %7s %6s %5s %5s  %5s %5s %5s %7s\n",
			"s", "part", "sent", "again", "served", "refused", "failed", "late", "cut", "cpu", "busy", "held", "running")
	}
	var wait sync.WaitGroup
	began := time.Now()
	next, at, crashed := began, 0, false
	last, cpu := tally{}, t.cpu()
	for ctx.Err() == nil && at < t.seconds {
		phase, load := "calm", tryCalm
		switch {
		case at >= over:
			phase = "crash"
			if !crashed {
				crashed = true
				t.kill()
				if err := t.start(ctx); err != nil {
					return err
				}
				cpu = t.cpu()
			}
		case at >= calm:
			phase, load = "overload", t.load
		}
		for time.Now().After(next) {
			next = next.Add(time.Duration(t.rnd.ExpFloat64() / (t.rate * load) * float64(time.Second)))
			q := t.request()
			wait.Go(func() { t.ask(q) })
		}
		if now := int(time.Since(began) / time.Second); now > at {
			is := t.cpu()
			s := second{At: at + 1, Phase: phase, NodeCPU: max((is - cpu).Seconds(), 0)}
			running, _, busy := t.pool.Load()
			t.mu.Lock()
			s.Tally, last = t.tally.minus(last), t.tally
			s.Busy, s.Running, s.Held = busy, running, max(t.open-running, 0)
			t.mu.Unlock()
			at, cpu = now, is
			t.line(out, s)
		}
		time.Sleep(min(max(time.Until(next), 0), 20*time.Millisecond))
	}
	wait.Wait()
	return t.account(out)
}

// line prints a second.
func (t *trial) line(out io.Writer, s second) {
	if t.json {
		_ = json.NewEncoder(out).Encode(s) // a reader that went away misses lines, not the play
		return
	}
	a := s.Tally
	fmt.Fprintf(out, "%4d  %-9s %6d %6d %7d %7d %6d %5d %5d  %4.0f%% %4.0f%% %5d %7d\n",
		s.At, s.Phase, a.Sent, a.Again, a.Served, a.Refused, a.Failed, a.Late, a.Cut+a.Unsent, 100*s.NodeCPU, 100*s.Busy, s.Held, s.Running)
}

// account prints what became of everything, and fails if it does not add up.
func (t *trial) account(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.acc
	a.Seed, a.Tally, a.Open = t.seed, t.tally, t.open
	for _, n := range t.runs {
		if n > 1 {
			a.Twice++
		}
	}
	a.AddsUp = a.Tally.Sent+a.Tally.Again == a.Tally.ends()+a.Open && a.Open == 0 && a.Twice == 0 && a.Changed == 0
	if t.json {
		if err := json.NewEncoder(out).Encode(a); err != nil {
			return err
		}
	} else {
		s := a.Tally
		fmt.Fprintf(out, "\n%d sent + %d sent again = %d served + %d refused + %d failed + %d late + %d cut off + %d unsent",
			s.Sent, s.Again, s.Served, s.Refused, s.Failed, s.Late, s.Cut, s.Unsent)
		if a.Open > 0 {
			fmt.Fprintf(out, " + %d without an end", a.Open)
		}
		fmt.Fprintf(out, "\n%d keyed requests ran twice, %d were answered with two results; %d sent again were answered without another run\n",
			a.Twice, a.Changed, a.Remembered)
		if a.AddsUp {
			fmt.Fprintln(out, "It adds up.")
		} else {
			fmt.Fprintln(out, "It does not add up.")
		}
	}
	if !a.AddsUp {
		return errFound
	}
	return nil
}

// cpu is the processor time of the node.
func (t *trial) cpu() time.Duration {
	if t.process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", t.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / 100 // clock ticks, 100 a second on Linux
}

// request makes the next request.
func (t *trial) request() platform.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.txn++
	q := platform.Request{Txn: fmt.Sprintf("%016x", t.txn), Tenant: "acme", Limit: tryLimit}
	pick := t.rnd.Float64()
	for _, c := range tryClasses {
		if pick -= c.share; pick > 0 {
			continue
		}
		ms := c.ms * (0.5 + t.rnd.ExpFloat64()/2)
		q.Class, q.HintMs = c.name, ms
		q.Body = strconv.AppendFloat(nil, ms, 'f', 3, 64)
		if c.keyed {
			q.Unique = "k" + q.Txn
			q.Body = append(append(q.Body, ' '), q.Unique...)
		}
		break
	}
	t.tally.Sent++
	t.open++
	return q
}

// ask sends a request; a keyed one whose answer was lost is sent again.
func (t *trial) ask(q platform.Request) {
	for n := 1; ; n++ {
		began := time.Now()
		a, err := t.call(q)
		lost := err != nil
		t.mu.Lock()
		was := t.runs[q.Unique]
		switch {
		case errors.Is(err, platform.ErrConnectionClosed):
			t.tally.Cut++
		case err != nil:
			t.tally.Unsent++
		case time.Since(began) > q.Limit+trySlack:
			t.tally.Late++
		case a.Word == "ACK":
			t.tally.Served++
			if q.Unique != "" {
				if r, ok := t.result[q.Unique]; ok && r != string(a.Body) {
					t.acc.Changed++
				}
				t.result[q.Unique] = string(a.Body)
				if q.Retry && was == 1 {
					t.acc.Remembered++
				}
			}
		case a.Word == "NAK":
			t.tally.Refused++
		default:
			t.tally.Failed++
		}
		again := lost && q.Unique != "" && n < tryTries
		if again {
			t.tally.Again++
			t.txn++
			q.Txn, q.Retry = fmt.Sprintf("%016x", t.txn), true
		} else {
			t.open--
		}
		t.mu.Unlock()
		if !again {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// call sends a request on the connection of one of the callers.
func (t *trial) call(q platform.Request) (platform.Answer, error) {
	n := int(q.Txn[len(q.Txn)-1]) % tryCallers
	t.mu.Lock()
	c := t.conns[n]
	if c == nil || !c.Usable() {
		var err error
		if c, err = platform.Dial(t.addr, n); err != nil {
			t.mu.Unlock()
			return platform.Answer{}, err
		}
		t.conns[n] = c
	}
	t.mu.Unlock()
	return c.Call(q)
}
