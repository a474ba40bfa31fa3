package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"robinmast/internal/store"
)

// storeCommand returns the commands that work on the directory of a store. The store's lock keeps
// them from opening a directory that a node has open.
func storeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "store",
		Short: "Load, dump, verify, describe and compact a store",
		Long: `store works on the directory that [results] dir names in robinmast.ini. The
node that uses it must be stopped: a directory that is open elsewhere is refused.

A line of load and dump is {"key":"…","value":"BASE64","ttl":"30s"}. An entry
without ttl never expires; a key that is not plain text is in "key64" instead,
in base64.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(
		&cobra.Command{
			Use: "load DIR", Args: cobra.ExactArgs(1),
			Short: "Store the entries on standard input; print each key once it is durable",
			RunE:  func(c *cobra.Command, args []string) error { return load(args[0], c.InOrStdin(), c.OutOrStdout()) },
		},
		&cobra.Command{
			Use: "dump DIR", Args: cobra.ExactArgs(1),
			Short: "Print all entries, sorted by key",
			RunE: func(c *cobra.Command, args []string) error {
				return dump(args[0], c.OutOrStdout(), c.ErrOrStderr())
			},
		},
		&cobra.Command{
			Use: "verify DIR", Args: cobra.ExactArgs(1),
			Short: "Check every byte; exit status 0 without faults, 1 with a line for each fault",
			Long: `verify reads every byte and changes nothing. It prints a line for each fault, also
in segments that were set aside: FILE: offset N: M bytes: reason. The torn end
of a write that was never acknowledged is not a fault; it is printed on standard
error.`,
			RunE: func(c *cobra.Command, args []string) error {
				return verify(args[0], c.OutOrStdout(), c.ErrOrStderr())
			},
		},
		&cobra.Command{
			Use: "info DIR", Args: cobra.ExactArgs(1),
			Short: "Print the store's figures as JSON",
			RunE:  func(c *cobra.Command, args []string) error { return info(args[0], c.OutOrStdout()) },
		},
		&cobra.Command{
			Use: "compact DIR", Args: cobra.ExactArgs(1),
			Short: "Rewrite segments with garbage, set damaged ones aside, write a checkpoint",
			RunE: func(c *cobra.Command, args []string) error {
				return compact(c.Context(), args[0], c.OutOrStdout())
			},
		},
	)
	return c
}

// entryLine is a line of load and dump.
type entryLine struct {
	Key   *string `json:"key,omitempty"`
	Key64 *[]byte `json:"key64,omitempty"`
	Value *[]byte `json:"value"`
	TTL   string  `json:"ttl,omitempty"`
}

// isText reports whether a key can be printed as text on a line of its own.
func isText(key string) bool {
	return utf8.ValidString(key) && !strings.ContainsFunc(key, unicode.IsControl)
}

// printableKey returns a key as load prints it: base64 if it is not text.
func printableKey(key string) string {
	if isText(key) {
		return key
	}
	return base64.StdEncoding.EncodeToString([]byte(key))
}

// parseLine parses a line of load. expiry is in Unix milliseconds, 0 = never.
func parseLine(text []byte, now time.Time) (key string, value []byte, expiry int64, err error) {
	var entry entryLine
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&entry); err != nil {
		return "", nil, 0, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return "", nil, 0, errors.New("more than one value")
	}
	switch {
	case entry.Key != nil && entry.Key64 != nil:
		return "", nil, 0, errors.New("both key and key64")
	case entry.Key != nil:
		key = *entry.Key
	case entry.Key64 != nil:
		key = string(*entry.Key64)
	default:
		return "", nil, 0, errors.New("no key")
	}
	if entry.Value == nil {
		return "", nil, 0, errors.New("no value")
	}
	if entry.TTL != "" {
		ttl, err := time.ParseDuration(entry.TTL)
		if err != nil || ttl <= 0 {
			return "", nil, 0, fmt.Errorf("ttl %q is not a positive duration such as 30s", entry.TTL)
		}
		expiry = now.Add(ttl).UnixMilli()
	}
	return key, *entry.Value, expiry, nil
}

// loadWindow limits the lines that wait for the disk.
const loadWindow = 256

// load stores the entries on in and prints the key of each one that is durable. It stops at the
// first invalid line and returns an error with its number; the entries printed before stay stored.
func load(dir string, in io.Reader, out io.Writer) (err error) {
	s, _, err := store.Open(dir, store.Options{})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	lines := bufio.NewReaderSize(in, 1<<20)
	slots := make(chan struct{}, loadWindow)
	var mu sync.Mutex
	var failed error
	var pending sync.WaitGroup
	for n := 1; ; n++ {
		text, readErr := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			key, value, expiry, parseErr := parseLine(text, time.Now())
			if parseErr != nil {
				err = fmt.Errorf("line %d: %w", n, parseErr)
				break
			}
			var batch store.Batch
			batch.Put(key, value, expiry)
			slots <- struct{}{}
			pending.Add(1)
			s.ApplyAsync(&batch, store.Durable, func(err error) {
				defer pending.Done()
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					_, err = fmt.Fprintln(out, printableKey(key))
				}
				if err != nil && failed == nil {
					failed = fmt.Errorf("line %d: %w", n, err)
				}
				<-slots
			})
		}
		mu.Lock()
		stop := failed != nil
		mu.Unlock()
		if readErr != nil || stop {
			if readErr != nil && readErr != io.EOF {
				err = fmt.Errorf("line %d: %w", n, readErr)
			}
			break
		}
	}
	pending.Wait()
	return errors.Join(err, failed)
}

// openReadOnly opens an existing store for reading.
func openReadOnly(dir string) (*store.Store, error) {
	if info, err := os.Stat(dir); err != nil {
		return nil, err
	} else if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a directory", dir)
	}
	s, _, err := store.Open(dir, store.Options{ReadOnly: true})
	return s, err
}

// dump prints all entries as lines. Entries that are unreadable are reported on errs and lead to
// errFaults.
func dump(dir string, out, errs io.Writer) error {
	s, err := openReadOnly(dir)
	if err != nil {
		return err
	}
	now := time.Now().UnixMilli()
	w := bufio.NewWriter(out)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	damaged := false
	err = s.Scan("", func(key string, err error) {
		damaged = true
		fmt.Fprintf(errs, "robinmastctl: key %q: %v\n", key, err)
	}, func(e store.Entry) error {
		if e.Value == nil {
			e.Value = []byte{}
		}
		entry := entryLine{Value: &e.Value}
		if isText(e.Key) {
			entry.Key = &e.Key
		} else {
			keyBytes := []byte(e.Key)
			entry.Key64 = &keyBytes
		}
		if e.Expiry > 0 {
			entry.TTL = (time.Duration(max(e.Expiry-now, 1)) * time.Millisecond).String()
		}
		return encoder.Encode(entry)
	})
	if err = errors.Join(err, w.Flush(), s.Close()); err == nil && damaged {
		err = errFaults
	}
	return err
}

// verify checks the store in dir and prints its faults, which lead to errFaults.
func verify(dir string, out, errs io.Writer) error {
	report, err := store.Verify(dir, store.Options{})
	if err != nil {
		return err
	}
	for _, fault := range report.Torn {
		fmt.Fprintf(errs, "robinmastctl: torn end, never acknowledged: %v\n", fault)
	}
	for _, fault := range report.Faults {
		fmt.Fprintln(out, fault)
	}
	if len(report.Faults) > 0 {
		return errFaults
	}
	return nil
}

// info prints the figures of the store in dir.
func info(dir string, out io.Writer) error {
	s, err := openReadOnly(dir)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Join(encoder.Encode(s.Info()), s.Close())
}

// compact compacts the store in dir and prints its sizes before and after.
func compact(ctx context.Context, dir string, out io.Writer) error {
	if ctx == nil {
		ctx = context.Background()
	}
	if _, err := os.Stat(dir); err != nil {
		return err
	}
	s, _, err := store.Open(dir, store.Options{})
	if err != nil {
		return err
	}
	before := s.Info()
	err = s.Compact(ctx)
	after := s.Info()
	if err == nil {
		fmt.Fprintf(out, "%d bytes in %d segments before, %d in %d after, %d live; %d segments set aside\n",
			before.DiskBytes, before.Segments, after.DiskBytes, after.Segments, after.LiveBytes, after.SetAside)
	}
	return errors.Join(err, s.Close())
}
