// Command robinmastctl is the operators' tool: it shows the state of a control service, works on
// the directory of a node's store, and runs trials of nodes on loopback. It is a program of its own,
// which the node does not contain, and each command changes only what its arguments name.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit statuses of the tool.
const (
	statusOK     = 0
	statusFaults = 1 // the command ran and found faults
	statusError  = 2 // invalid arguments, or the command failed
)

// errFaults leads to statusFaults. The faults have been printed already.
var errFaults = errors.New("faults were found")

func main() { os.Exit(execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// execute runs the command line and returns the exit status.
func execute(args []string, in io.Reader, out, errs io.Writer) int {
	root := &cobra.Command{
		Use:   "robinmastctl",
		Short: "Inspect and test robinmast's nodes, stores and control services",
		Long: `robinmastctl is the operators' tool.

Exit statuses: 0 success and no faults, 1 success but faults were found (one
line for each), 2 failure.`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	root.AddCommand(storeCommand(), tryCommand(), rehearseCommand())
	root.AddCommand(fleetCommands()...)
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	switch {
	case err == nil:
		return statusOK
	case errors.Is(err, errFaults):
		return statusFaults
	}
	fmt.Fprintf(errs, "robinmastctl: %v\n", err)
	return statusError
}
