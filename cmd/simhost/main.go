// Command simhost hosts decision modules for the simulator: it reads batches
// of events from standard input and writes one reply for each to standard
// output. It maps the wire to the module's interface and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"robinmast/internal/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simhost: %v\n", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends between two frames.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	f := newFleet()
	var buf []byte
	for {
		batch, grown, err := simwire.ReadBatch(r, buf)
		buf = grown
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := f.answer(batch)
		if err != nil {
			return err
		}
		if _, err := reply.WriteTo(out); err != nil {
			return err
		}
	}
}
