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

// queryOptions are the flags of the commands that query a control service.
type queryOptions struct {
	service string
	json    bool
	watch   bool
}

// fleetCommands returns the commands that show the state of a control service. They change nothing
// there.
func fleetCommands() []*cobra.Command {
	newCommand := func(use, short, path string, print func(io.Writer, []byte) error) *cobra.Command {
		var o queryOptions
		c := &cobra.Command{
			Use: use, Short: short, Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
				defer stop()
				return o.run(ctx, path, c.OutOrStdout(), print)
			},
		}
		f := c.Flags()
		f.StringVar(&o.service, "service", "127.0.0.1:18001", "address for reports of the control service")
		f.BoolVar(&o.json, "json", false, "print the service's answer as JSON")
		f.BoolVar(&o.watch, "watch", false, "print again every second until stopped")
		return c
	}
	fleet := newCommand("fleet", "Show the control service's view of the nodes", "/fleet", printFleet)
	fleet.AddCommand(newCommand("events",
		"Show when many nodes were lost at once and how long recovery took", "/events", printEvents))
	fleet.AddCommand(newCommand("history",
		"Show the nodes' state changes over the last day, with their reasons", "/history", printHistory))
	return []*cobra.Command{
		fleet,
		newCommand("proxies", "Show the proxies that are connected to the control service", "/proxies", printProxies),
	}
}

// run fetches and prints a resource of the service once, or every second until ctx is done.
func (o *queryOptions) run(
	ctx context.Context, path string, out io.Writer, print func(io.Writer, []byte) error,
) error {
	for {
		body, err := fetch(ctx, "http://"+o.service+path)
		if err != nil {
			return err
		}
		if o.json {
			_, err = out.Write(body)
		} else {
			err = print(out, body)
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

// fetch returns the body of a successful GET request.
func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", url, response.Status)
	}
	return body, err
}

// fleetView is the answer to GET /fleet (docs/control.md).
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
		Nodes     int
		DrainRate float64 `json:"drain"`
		Demand    float64
		Threshold float64 `json:"cut"`
	}
}

// printFleet prints the answer to GET /fleet.
func printFleet(out io.Writer, body []byte) error {
	var view fleetView
	if err := json.Unmarshal(body, &view); err != nil {
		return fmt.Errorf("parse the control service's answer: %w", err)
	}
	fmt.Fprintf(out, "view %d, %d nodes", view.Version, len(view.Nodes))
	if view.Frozen {
		fmt.Fprint(out, ", FROZEN: too many nodes fell silent at once, none is removed")
	}
	if len(view.Lost) > 0 {
		fmt.Fprintf(out, ", zones lost: %s", strings.Join(view.Lost, ", "))
	}
	if view.Drop > 0 {
		fmt.Fprintf(out, ", proxies drop %.0f%%", 100*view.Drop)
	}
	fmt.Fprintln(out)
	if digest := view.Digest; digest.Nodes > 0 && digest.Threshold > 0 {
		fmt.Fprintf(out, "shedding threshold %.1f: %.0f first tries per second, drain rate %.0f, from %d nodes\n",
			digest.Threshold, digest.Demand, digest.DrainRate, digest.Nodes)
	} else if digest.Nodes > 0 {
		fmt.Fprintf(out, "no shedding threshold, capacity for all: %.0f first tries per second, from %d nodes\n",
			digest.Demand, digest.Nodes)
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tADDRESS\tSTATE\tFOR\tWEIGHT\tLIMIT\tPENALTY\tFOLLOWS\tWHY")
	for _, node := range view.Nodes {
		state := node.State
		if node.Unproven {
			state += " (unproven)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.0fs\t%d\t%.0f\t%.1f\t%s\t%s\n",
			node.Name, node.Zone, node.Addr, state, node.SinceS, node.Weight, node.Limit, node.Penalty,
			cmp.Or(node.Follows, "-"), node.Why)
	}
	return table.Flush()
}

// printHistory prints the answer to GET /history.
func printHistory(out io.Writer, body []byte) error {
	var changes []struct {
		At                  time.Time
		Name, From, To, Why string
	}
	if err := json.Unmarshal(body, &changes); err != nil {
		return fmt.Errorf("parse the control service's answer: %w", err)
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "AT\tNODE\tFROM\tTO\tWHY")
	for _, change := range changes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", change.At.Local().Format(time.DateTime), change.Name,
			cmp.Or(change.From, "-"), change.To, cmp.Or(change.Why, "-"))
	}
	return table.Flush()
}

// eventView is an event in the answer to GET /events (docs/recovery.md).
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

// printEvents prints the answer to GET /events.
func printEvents(out io.Writer, body []byte) error {
	var events []eventView
	if err := json.Unmarshal(body, &events); err != nil {
		return fmt.Errorf("parse the control service's answer: %w", err)
	}
	if len(events) == 0 {
		fmt.Fprintln(out, "no events: over a fifth of the nodes were never lost within five seconds")
		return nil
	}
	after := func(s float64) string {
		if s == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1fs", s)
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "EVENT\tBEGAN\tLOST\tZONES\tLEAST ROOM\tHALF\t0.95\tFULL\tTRIES\tSTATE")
	for _, event := range events {
		state := "under way"
		if event.Over {
			state = event.HowOver
		}
		fmt.Fprintf(table, "%d\t%s\t%d of %d\t%s\t%.2f\t%s\t%s\t%s\t%.2f\t%s\n",
			event.Number, event.Began.Local().Format(time.DateTime), event.Lost, event.Of,
			cmp.Or(strings.Join(event.Zones, ","), "-"), event.Least,
			after(event.HalfS), after(event.MostS), after(event.FullS), event.Tries, state)
	}
	return table.Flush()
}

// proxyView is a proxy in the answer to GET /proxies.
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

// printProxies prints the answer to GET /proxies.
func printProxies(out io.Writer, body []byte) error {
	var proxies []proxyView
	if err := json.Unmarshal(body, &proxies); err != nil {
		return fmt.Errorf("parse the control service's answer: %w", err)
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "PROXY\tZONE\tPEER\tFORM\tHEARD\tENDPOINTS ACKED\tBEHIND\tNACKS\tLAST NACK")
	for _, proxy := range proxies {
		nacks, last := 0, "-"
		for _, name := range []string{"CDS", "EDS", "LDS", "RDS"} {
			if t := proxy.Types[name]; t.Nacks > 0 {
				nacks += t.Nacks
				last = name + ": " + t.LastNack
			}
		}
		behind := "-"
		if len(proxy.Behind) > 0 {
			behind = strings.Join(proxy.Behind, ",")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.0fs ago\t%s\t%s\t%d\t%s\n",
			proxy.Node, proxy.Zone, proxy.Peer, proxy.Form, time.Since(proxy.Heard).Seconds(),
			proxy.Types["EDS"].Acked, behind, nacks, last)
	}
	return table.Flush()
}
