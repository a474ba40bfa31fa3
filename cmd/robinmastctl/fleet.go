// This file owns the commands that ask a control service how things stand. It
// must never change anything there.

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// asked are the flags of both commands.
type asked struct {
	service string
	json    bool
	watch   bool
}

func fleetCommands() []*cobra.Command {
	make := func(use, short, path string, print func(io.Writer, []byte) error) *cobra.Command {
		var o asked
		c := &cobra.Command{
			Use: use, Short: short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
				defer stop()
				return o.ask(ctx, path, c.OutOrStdout(), print)
			},
		}
		f := c.Flags()
		f.StringVar(&o.service, "service", "127.0.0.1:18001", "where the control service takes reports")
		f.BoolVar(&o.json, "json", false, "print what the service says, as JSON")
		f.BoolVar(&o.watch, "watch", false, "print again each second until stopped")
		return c
	}
	fleet := make("fleet", "Show the control service's view of the nodes", "/fleet", printFleet)
	fleet.AddCommand(make("events", "Show when most nodes were lost, and how long it took to come back", "/events", printEvents))
	fleet.AddCommand(make("history", "Show each node's changes of state over the last day, with their evidence", "/history", printHistory))
	return []*cobra.Command{
		fleet,
		make("proxies", "Show the proxies that listen to the control service", "/proxies", printProxies),
	}
}

// ask prints once, or each second.
func (o *asked) ask(ctx context.Context, path string, out io.Writer, print func(io.Writer, []byte) error) error {
	for {
		text, err := fetch(ctx, "http://"+o.service+path)
		if err != nil {
			return err
		}
		if o.json {
			_, err = out.Write(text)
		} else {
			err = print(out, text)
		}
		if err != nil || !o.watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err == nil && r.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", url, r.Status)
	}
	return text, err
}

// fleetView is GET /fleet of docs/control.md.
type fleetView struct {
	Version uint64   `json:"version"`
	Drop    float64  `json:"drop"`
	Frozen  bool     `json:"frozen"`
	Lost    []string `json:"lost_zones"`
	Nodes   []struct {
		Name, Addr, Zone, State, Why string
		SinceS                       float64 `json:"since_s"`
		Weight                       int
		Limit, Penalty               float64
		Unproven                     bool
		Follows                      string
	}
	Digest struct {
		Nodes              int
		Drain, Demand, Cut float64
	}
}

func printFleet(out io.Writer, text []byte) error {
	var v fleetView
	if err := json.Unmarshal(text, &v); err != nil {
		return fmt.Errorf("the service's answer: %w", err)
	}
	fmt.Fprintf(out, "view %d, %d nodes", v.Version, len(v.Nodes))
	if v.Frozen {
		fmt.Fprint(out, ", FROZEN: the service doubts its own ears")
	}
	if len(v.Lost) > 0 {
		fmt.Fprintf(out, ", zones lost: %s", strings.Join(v.Lost, ", "))
	}
	if v.Drop > 0 {
		fmt.Fprintf(out, ", proxies drop %.0f%%", 100*v.Drop)
	}
	fmt.Fprintln(out)
	if d := v.Digest; d.Nodes > 0 && d.Cut > 0 {
		fmt.Fprintf(out, "the fleet is full below %.1f worth a second of work: %.0f first tries a second, %.0f drain, told by %d nodes\n", d.Cut, d.Demand, d.Drain, d.Nodes)
	} else if d.Nodes > 0 {
		fmt.Fprintf(out, "the fleet has room for all: %.0f first tries a second, told by %d nodes\n", d.Demand, d.Nodes)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tADDRESS\tSTATE\tFOR\tWEIGHT\tLIMIT\tPENALTY\tFOLLOWS\tWHY")
	for _, n := range v.Nodes {
		state := n.State
		if n.Unproven {
			state += " (unproven)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0fs\t%d\t%.0f\t%.1f\t%s\t%s\n", n.Name, n.Zone, n.Addr, state, n.SinceS, n.Weight, n.Limit, n.Penalty, cmp.Or(n.Follows, "-"), n.Why)
	}
	return w.Flush()
}

func printHistory(out io.Writer, text []byte) error {
	var all []struct {
		At                  time.Time
		Name, From, To, Why string
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("the service's answer: %w", err)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tNODE\tFROM\tTO\tWHY")
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", c.At.Local().Format(time.DateTime), c.Name, cmp.Or(c.From, "-"), c.To, cmp.Or(c.Why, "-"))
	}
	return w.Flush()
}

// eventView is one of GET /events of docs/recovery.md.
type eventView struct {
	Number, Lost, Of int
	Began            time.Time
	Zones            []string
	Least            float64 `json:"least_room"`
	HalfS            float64 `json:"half_after_s"`
	MostS            float64 `json:"most_after_s"`
	FullS            float64 `json:"full_after_s"`
	Tries            float64 `json:"tries_a_first_try"`
	Over             bool
	HowOver          string `json:"how_over"`
}

func printEvents(out io.Writer, text []byte) error {
	var all []eventView
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("the service's answer: %w", err)
	}
	if len(all) == 0 {
		fmt.Fprintln(out, "no event: at no time were over a fifth of the nodes lost within five seconds")
		return nil
	}
	after := func(s float64) string {
		if s == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1fs", s)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "EVENT\tBEGAN\tLOST\tZONES\tLEAST ROOM\tHALF\t0.95\tFULL\tTRIES\tSTATE")
	for _, e := range all {
		state := "under way"
		if e.Over {
			state = e.HowOver
		}
		fmt.Fprintf(w, "%d\t%s\t%d of %d\t%s\t%.2f\t%s\t%s\t%s\t%.2f\t%s\n", e.Number, e.Began.Local().Format(time.DateTime), e.Lost, e.Of,
			cmp.Or(strings.Join(e.Zones, ","), "-"), e.Least, after(e.HalfS), after(e.MostS), after(e.FullS), e.Tries, state)
	}
	return w.Flush()
}

// proxyView is one of GET /proxies.
type proxyView struct {
	Node, Zone, Peer, Form string
	Heard                  time.Time
	Types                  map[string]struct {
		Sent, Acked, LastNack string
		Waiting               bool
		Nacks                 int
	}
	Behind []string
}

func printProxies(out io.Writer, text []byte) error {
	var all []proxyView
	if err := json.Unmarshal(text, &all); err != nil {
		return fmt.Errorf("the service's answer: %w", err)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "PROXY\tZONE\tPEER\tFORM\tHEARD\tENDPOINTS ACKED\tBEHIND\tNACKS\tLAST NACK")
	for _, p := range all {
		nacks, last := 0, "-"
		for _, name := range []string{"CDS", "EDS", "LDS", "RDS"} {
			if t := p.Types[name]; t.Nacks > 0 {
				nacks += t.Nacks
				last = name + ": " + t.LastNack
			}
		}
		behind := "-"
		if len(p.Behind) > 0 {
			behind = strings.Join(p.Behind, ",")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0fs ago\t%s\t%s\t%d\t%s\n", p.Node, p.Zone, p.Peer, p.Form, time.Since(p.Heard).Seconds(), p.Types["EDS"].Acked, behind, nacks, last)
	}
	return w.Flush()
}
