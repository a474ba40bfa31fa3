// This file owns the command try: one node with stand-ins around it, played
// through calm, overload and a crash. It must never touch anything but loopback
// and a folder of its own.

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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
