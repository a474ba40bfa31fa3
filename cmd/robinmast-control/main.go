// Command robinmast-control is the control service: it receives the reports of the nodes and
// publishes which of them take work to proxies over xDS. The package has its command line, its
// listeners and its shutdown; internal/control has the service.
package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/lmittmann/tint"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"robinmast/internal/control"
	"robinmast/internal/store"
)

// options are the command's flags.
type options struct {
	xdsAddr, reportsAddr, dataDir string
	plainText                     bool
	cert, key, ca                 string
	nodeSAN                       string
	proxySANs                     []string
}

func main() {
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stderr))
}

// execute runs the command line and returns the exit status: 0 after a normal stop, 1 if the
// service failed, 2 for invalid arguments.
func execute(ctx context.Context, args []string, errs io.Writer) int {
	var o options
	status := 2
	command := &cobra.Command{
		Use:   "robinmast-control",
		Short: "Publish which nodes are healthy, warming, draining or gone, through xDS",
		Long: `robinmast-control receives the reports of nodes (PUT /nodes/NAME, and PUT
/members/NAME in the membership service's format), keeps a view of the fleet,
and publishes it to proxies that subscribe to the aggregated discovery service
of xDS, in the state-of-the-world or the delta variant.

GET /fleet and GET /proxies on the address for reports return the current state;
robinmastctl fleet and robinmastctl proxies print it.`,
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if err := o.check(); err != nil {
				return err
			}
			status = 1
			handler := tint.NewTextHandler(errs, &tint.Options{TimeFormat: time.RFC3339, NoColor: true})
			return serve(ctx, o, slog.New(handler))
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.xdsAddr, "xds", "127.0.0.1:18000", "address for proxies")
	flags.StringVar(&o.reportsAddr, "reports", "127.0.0.1:18001", "address for reports and operators")
	flags.StringVar(&o.dataDir, "dir", "",
		"directory in which the view is saved across restarts; empty = it is not saved")
	flags.StringVar(&o.cert, "cert", "",
		"certificate file; enables TLS 1.3 with client certificates on both addresses")
	flags.StringVar(&o.key, "key", "", "key file of the certificate")
	flags.StringVar(&o.ca, "ca", "", "file with the CA of the nodes' and proxies' certificates")
	flags.StringVar(&o.nodeSAN, "node-san", "{name}.node",
		"DNS name that the certificate of a client must have to report for the node {name}")
	flags.StringSliceVar(&o.proxySANs, "proxy-san", []string{"*.proxy"},
		"DNS names, or *.DOMAIN, one of which a proxy's certificate must have")
	flags.BoolVar(&o.plainText, "plain-text", false,
		"allow unencrypted connections on addresses other than loopback")
	command.SetArgs(args)
	if err := command.Execute(); err != nil {
		fmt.Fprintf(errs, "robinmast-control: %v\n", err)
		return status
	}
	return 0
}

// check validates the options. Plain text on an address other than loopback must be allowed
// explicitly.
func (o *options) check() error {
	if tlsSet := o.cert != "" || o.key != "" || o.ca != ""; tlsSet && (o.cert == "" || o.key == "" || o.ca == "") {
		return errors.New("--cert, --key and --ca must be given together")
	}
	if _, err := control.MayReport(o.nodeSAN); err != nil {
		return fmt.Errorf("--node-san: %w", err)
	}
	for flag, addr := range map[string]string{"xds": o.xdsAddr, "reports": o.reportsAddr} {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return fmt.Errorf("--%s: %w", flag, err)
		}
		if ip := net.ParseIP(host); o.cert == "" && !o.plainText && (ip == nil || !ip.IsLoopback()) {
			return fmt.Errorf("--%s: %s is not loopback: give --cert, --key and --ca, or --plain-text", flag, addr)
		}
	}
	return nil
}

// serve runs the service until ctx is done or a listener fails.
func serve(ctx context.Context, o options, log *slog.Logger) (err error) {
	cfg := control.Config{Log: log}
	var certs *control.Certs
	if o.cert != "" {
		if certs, err = control.LoadCerts(o.cert, o.key, o.ca, log); err != nil {
			return err
		}
		if cfg.MayReport, err = control.MayReport(o.nodeSAN); err != nil {
			return err
		}
	}
	if o.dataDir != "" {
		viewStore, recovered, err := store.Open(o.dataDir, store.Options{})
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, viewStore.Close()) }()
		for _, damage := range recovered.Damaged {
			log.Error("store: damage; all other records are served, the file is set aside", "fault", damage.String())
		}
		cfg.Store = viewStore
	}
	xdsListener, err := net.Listen("tcp", o.xdsAddr)
	if err != nil {
		return err
	}
	reportsListener, err := net.Listen("tcp", o.reportsAddr)
	if err != nil {
		return errors.Join(err, xdsListener.Close())
	}
	service := control.New(cfg)
	var security []grpc.ServerOption
	if certs != nil {
		service.Streams.MaySubscribe = control.MaySubscribe(o.proxySANs)
		security = append(security, grpc.Creds(credentials.NewTLS(certs.ServerConfig("h2"))))
		reportsListener = tls.NewListener(reportsListener, certs.ServerConfig("http/1.1"))
	}
	grpcServer := grpc.NewServer(append(security,
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: 5 * time.Second, PermitWithoutStream: true,
		}),
		grpc.MaxConcurrentStreams(64), grpc.MaxRecvMsgSize(256<<10),
		grpc.WriteBufferSize(16<<10), grpc.ReadBufferSize(8<<10),
	)...)
	loadv3.RegisterLoadReportingServiceServer(grpcServer, &control.LoadReporting{Service: service})
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(grpcServer, service.Streams)
	httpServer := &http.Server{
		Handler: service.Handler(), ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 2)
	var running sync.WaitGroup
	loopCtx, stopLoop := context.WithCancel(context.Background())
	running.Go(func() { service.Run(loopCtx) })
	if certs != nil {
		running.Go(func() { certs.Watch(loopCtx) })
	}
	running.Go(func() {
		if err := grpcServer.Serve(xdsListener); err != nil {
			failed <- fmt.Errorf("xds: %w", err)
		}
	})
	running.Go(func() {
		if err := httpServer.Serve(reportsListener); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("reports: %w", err)
		}
	})
	log.Info("control service started", "xds", xdsListener.Addr().String(),
		"reports", reportsListener.Addr().String(), "dir", o.dataDir, "tls", certs != nil)
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	stopLoop()
	grpcServer.Stop() // proxies keep their resources and reconnect
	err = errors.Join(err, httpServer.Close())
	running.Wait()
	log.Info("control service stopped", "reports", service.Reports.Load(), "ignored", service.Ignored.Load(),
		"refused", service.Refused.Load(), "dropped", service.Dropped.Load(),
		"sent", service.Streams.Sent.Load(), "nacks", service.Streams.Nacks.Load())
	return err
}
