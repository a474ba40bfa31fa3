package peers

import (
	"io"
	"net"
	"net/http"
	"time"
)

// StartMembers starts a membership service that accepts every report.
func StartMembers() (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 1<<10))
			w.WriteHeader(http.StatusNoContent)
		})}
	go func() { _ = server.Serve(ln) }() // returns on Close
	return ln.Addr().String(), func() { _ = server.Close() }, nil
}
