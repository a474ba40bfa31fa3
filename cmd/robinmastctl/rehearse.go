package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"robinmast/internal/standin/fleet"
)

// rehearseOptions are the command's flags.
type rehearseOptions struct {
	json           bool
	plot, logs     string
	shedding       string
	seed           uint64
	nodes, seconds int
	programs       string
}

// rehearseCommand returns the command rehearse, which runs a scenario with internal/standin/fleet.
// It uses loopback, temporary directories and the files that its flags name only.
func rehearseCommand() *cobra.Command {
	var o rehearseOptions
	c := &cobra.Command{
		Use:   "rehearse FILE",
		Short: "Run a scenario: a fleet of real nodes on loopback, with faults injected",
		Long: `rehearse starts the fleet that a scenario file describes: real nodes and control
services, a simulated worker pool for each node, simulated callers, and a fault
proxy on every link. It prints a line for each second and then the outcomes as
the callers observed them. rehearsals/ contains scenarios;
docs/operators/overload.md describes their format and the table.

Exit status 0 if no rule was broken, 1 if one was.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return o.run(ctx, args[0], c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.BoolVar(&o.json, "json", false, "print the report as one JSON object instead of the table")
	f.StringVar(&o.plot, "plot", "",
		"plot utility, tries and refusals per second to this file (.svg, .png or .pdf)")
	f.StringVar(&o.logs, "logs", "", "copy the programs' logs into this directory")
	f.StringVar(&o.shedding, "together", "", "off, alone or told; overrides the scenario")
	f.Uint64Var(&o.seed, "seed", 0, "random seed; overrides the scenario")
	f.IntVar(&o.nodes, "nodes", 0, "number of nodes; overrides the scenario")
	f.IntVar(&o.seconds, "seconds", 0, "duration; overrides the scenario, whose faults keep their times")
	f.StringVar(&o.programs, "programs", "",
		"directory of robinmast and robinmast-control (default: that of this tool)")
	return c
}

// run runs the scenario in the file path and returns errFaults if it broke a rule.
func (o *rehearseOptions) run(ctx context.Context, path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	s, err := fleet.Parse(path, text)
	if err != nil {
		return err
	}
	// set applies a flag that was given and checks the scenario again.
	set := func(key string, given bool, apply func()) error {
		if !given {
			return nil
		}
		apply()
		if err := s.Check(); err != nil {
			return fmt.Errorf("--%s: %w", key, err)
		}
		return nil
	}
	for _, err := range []error{
		set("seed", o.seed > 0, func() { s.Fleet.Seed = o.seed }),
		set("nodes", o.nodes != 0, func() { s.Fleet.Nodes = o.nodes }),
		set("seconds", o.seconds != 0, func() { s.Fleet.Seconds = o.seconds }),
		set("together", o.shedding != "", func() {
			s.Fleet.Shedding = o.shedding
			if o.shedding == "told" {
				s.Fleet.Control = max(s.Fleet.Control, 1)
			}
		}),
	} {
		if err != nil {
			return err
		}
	}
	if o.programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.programs = filepath.Dir(self)
	}
	opt := fleet.Options{
		Node: filepath.Join(o.programs, "robinmast"), Control: filepath.Join(o.programs, "robinmast-control"),
		LogDir: o.logs,
	}
	for _, program := range []string{opt.Node, opt.Control} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("find the programs: %w (build them, or name their directory with --programs)", err)
		}
	}
	if !o.json {
		fmt.Fprintf(out, "%s: %d nodes, %d control services, together %s; seed %d\n\n",
			path, s.Fleet.Nodes, s.Fleet.Control, s.Fleet.Shedding, s.Fleet.Seed)
		fleet.TableHeader(out)
		opt.OnSecond = func(s fleet.Second) { s.Line(out) }
	}
	r, err := fleet.Run(ctx, s, opt)
	if err != nil {
		return err
	}
	if o.plot != "" {
		if err := r.Plot(o.plot); err != nil {
			return err
		}
	}
	if o.json {
		err = r.JSON(out)
	} else {
		r.Table(out)
	}
	if err == nil && len(r.Violations()) > 0 {
		return errFaults
	}
	return err
}
