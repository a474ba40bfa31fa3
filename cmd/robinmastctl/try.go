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

// The trial: a worker pool of four cores, two classes of work, callers with a long timeout.
const (
	tryCores       = 4
	tryContention  = 0.15 // slow-down by contention, see platform.Pool
	tryConnections = 8
	tryTimeout     = 1500 * time.Millisecond
	tryCalmLoad    = 0.5                    // load of the calm phases, share of the capacity of the cores
	tryAnswerSlack = 250 * time.Millisecond // an answer that comes this late after the timeout still counts
	tryMaxTries    = 3                      // of a keyed request whose answer was lost, the first included
)

// tryClasses are the classes of work.
var tryClasses = []struct {
	name  string
	keyed bool
	share float64 // of the requests
	ms    float64 // mean work
}{{"step", false, 0.7, 20}, {"order", true, 0.3, 12}}

// trySettings are the node's settings; the verbs are the cores and the connections.
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

// tryCommand returns the command try, which uses loopback and a temporary directory only.
func tryCommand() *cobra.Command {
	var o tryOptions
	c := &cobra.Command{
		Use:   "try",
		Short: "Run one node through calm traffic, overload and a crash",
		Long: `try starts the node on loopback, with simulated dispatchers, a simulated worker
pool and a simulated membership service. It sends calm traffic, then more than
the cores can do, then kills the node and starts it again under calm traffic. It
prints a line for each second and at the end the outcomes of all requests.
Exit status 0 if these add up and no keyed request ran twice, else 1.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return try(ctx, o, c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.IntVar(&o.seconds, "seconds", 12, "total duration, 6 to 600")
	f.Float64Var(&o.load, "load", 1.3, "load during the overload, 1 = the capacity of the cores; 0.1 to 10")
	f.Uint64Var(&o.seed, "seed", 1, "random seed of arrivals and work")
	f.BoolVar(&o.json, "json", false, "print each second and the final accounting as JSON objects")
	f.StringVar(&o.node, "node", "", "the node's program (default: robinmast in the directory of this tool)")
	return c
}

// trial is one run of the command try.
type trial struct {
	tryOptions
	dir  string
	addr string
	pool *platform.Pool
	rate float64 // requests per second that saturate the cores

	mu         sync.Mutex
	outcomes   outcomes
	open       int // requests without an outcome
	txn        uint64
	random     *rand.Rand
	runs       map[string]int // of keyed requests
	results    map[string]string
	accounting accounting
	conns      []*platform.Client

	process *exec.Cmd
	log     *os.File
}

// try runs a trial and prints it.
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
		return fmt.Errorf("find the node's program: %w (build it, or name it with --node)", err)
	}
	t := &trial{
		tryOptions: o, random: rand.New(rand.NewPCG(o.seed, 1)), runs: map[string]int{},
		results: map[string]string{}, conns: make([]*platform.Client, tryConnections),
	}
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
	t.pool, err = platform.StartPool(tryCores, tryContention,
		func(r platform.Run) (float64, string, []byte) { return t.doWork(work, r) })
	if err != nil {
		return err
	}
	defer t.pool.Close()
	members, err := platform.StartMembers()
	if err != nil {
		return err
	}
	defer members.Close()
	if err := t.writeConfig(members.Addr()); err != nil {
		return err
	}
	if err := t.startNode(ctx); err != nil {
		return err
	}
	defer t.killNode()
	return t.run(ctx, out)
}

// doWork returns the work of a run in milliseconds, its outcome and its result. It counts the runs
// of keyed requests.
func (t *trial) doWork(rnd *rand.Rand, r platform.Run) (float64, string, []byte) {
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
