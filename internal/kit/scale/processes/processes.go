// Package processes runs a small fleet in real processes on loopback: a writer and relays of the control plane, processes
// that each host hundreds of hollow nodes, and real daemons that serve requests. All processes are stopped at the end, also
// after an interrupt.
package processes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"craneglade/internal/controlnet"
	"craneglade/internal/controlplane/changefile"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/kit/scale/hierarchy"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
)

// Mechanism is the mechanism of the figures of this package.
const Mechanism = "control plane, real processes"

const (
	cluster           = "scale"
	key               = "000102030405060708090a0b0c0d0e0f" // not secret: used on loopback for one run
	realService       = "real"                             // served by the daemons
	maxBatchResources = 4000                               // per transaction
	maxBatchBytes     = 512 << 10
	silenceTimeout    = 3 * time.Second // the default of a node
	startTimeout      = 3 * time.Minute
	pollInterval      = 20 * time.Millisecond
	changeCount       = 60
	changeInterval    = 250 * time.Millisecond
	inForceLimit      = 7 * time.Second
	settleTime        = 3 * time.Second
	realEndpoints     = 2 // of the real service
)

// run is the state of a run.
type run struct {
	plan      *plan.Plan
	step      plan.Step
	program   string // path of this program's executable
	dir       string
	catalogue *hierarchy.Catalogue
	children  children
	failed    context.CancelCauseFunc
	writer    *control
	relays    []*control
	hosts     []*host
	daemons   []*daemon
	backends  []*backend
	changes   []appliedChange
	out       *result.Step
}

// appliedChange is a change of a service's own resource that the writer has applied.
type appliedChange struct {
	service    string
	generation int
	appliedAt  time.Time
	position   string
	nodes      map[string]bool // hollow nodes that have to apply it
}

// control is a process of the control plane.
type control struct {
	name, address, socket string
	child                 *child
}

// Measure runs the plan's processes. program is the path of the craneglade executable.
func Measure(ctx context.Context, p *plan.Plan, program string) (out *result.Step, err error) {
	dir, err := os.MkdirTemp("", "craneglade-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	step := Size(p)
	r := &run{plan: p, step: step, program: program, dir: dir, catalogue: hierarchy.NewCatalogue(p, step), failed: cancel,
		out: &result.Step{Part: "processes", Size: step}}
	defer func() { err = errors.Join(err, r.children.stopAll(), r.closeBackends()) }()
	if err := r.runProcesses(ctx); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
		return nil, err
	}
	return r.out, nil
}

// Size returns the largest step, scaled down to the number of the plan's hollow nodes.
func Size(p *plan.Plan) plan.Step {
	nodes := p.Processes.Hosts * p.Processes.NodesPerHost
	all := p.Largest()
	share := func(n int) int { return max(1, n*nodes/all.Nodes) }
	return plan.Step{Nodes: nodes, Endpoints: share(all.Endpoints), Services: share(all.Services), Routes: share(all.Routes), Tenants: share(all.Tenants)}
}

func (r *run) runProcesses(ctx context.Context) error {
	if err := os.WriteFile(r.path("key"), []byte(key+"\n"), 0o600); err != nil {
		return err
	}
	if err := r.startControl(ctx); err != nil {
		return err
	}
	if err := r.startNodes(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	return r.measureChanges(ctx)
}

func (r *run) path(name string) string { return filepath.Join(r.dir, name) }

// sleep waits for a duration or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// waitUntil polls until holds returns true, up to startTimeout.
func waitUntil(ctx context.Context, what string, holds func() bool) error {
	for end := time.Now().Add(startTimeout); !holds(); {
		if time.Now().After(end) {
			return fmt.Errorf("waiting for %s: timed out after %v", what, startTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a loopback address that is free at present.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// startControl starts the writer and the relays, and applies the whole log.
func (r *run) startControl(ctx context.Context) error {
	if err := os.Mkdir(r.path("state"), 0o700); err != nil {
		return err
	}
	var err error
	if r.writer, err = r.startProcess(ctx, "writer", "writer-0", fmt.Sprintf("state = %q\n", r.path("state")), nil); err != nil {
		return err
	}
	for i := range realEndpoints {
		b, err := newBackend(fmt.Sprintf("real-%d", i))
		if err != nil {
			return err
		}
		r.backends = append(r.backends, b)
	}
	position := ""
	for _, part := range batches(append(r.realResources(0), r.catalogue.Log()...)) {
		if position, err = r.apply(part); err != nil {
			return err
		}
		if err := context.Cause(ctx); err != nil {
			return err
		}
	}
	for i := range r.plan.Processes.Relays {
		relay, err := r.startProcess(ctx, "relay", fmt.Sprintf("relay-%d", i), "", []*control{r.writer})
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
	}
	return waitUntil(ctx, "relays to apply the whole log", func() bool {
		return !slices.ContainsFunc(r.relays, func(c *control) bool { return c.position() != position })
	})
}

// startProcess starts a process of the control plane and waits until it reports its status.
func (r *run) startProcess(ctx context.Context, role, name, extra string, parents []*control) (*control, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	c := &control{name: name, address: address, socket: r.path(name + ".sock")}
	text := fmt.Sprintf("role = %q\nname = %q\nregion = %q\nlisten = %q\nsocket = %q\ncluster = %q\nkey_file = %q\n%s[limits]\nbytes = \"%dB\"\nsubscribers = 10000\n%s",
		role, name, r.catalogue.Region(), address, c.socket, cluster, r.path("key"), extra, r.plan.Rates.RelayBytesPerSecond, parentTables("parent", parents))
	if err := os.WriteFile(r.path(name+".toml"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	if c.child, err = r.children.start(name, command(r.program, "control", "--config", r.path(name+".toml")), r.failed); err != nil {
		return nil, err
	}
	return c, waitUntil(ctx, name+" to report its status", func() bool { _, err := c.status(); return err == nil })
}

// parentTables returns the TOML tables that name parents.
func parentTables(table string, parents []*control) (text string) {
	for _, p := range parents {
		text += fmt.Sprintf("[[%s]]\nname = %q\naddress = %q\n", table, p.name, p.address)
	}
	return text
}

func (c *control) status() (*controlnet.DaemonStatus, error) {
	r, err := controlnet.Call(c.socket, controlnet.Request{Operation: controlnet.OperationStatus})
	if err != nil {
		return nil, err
	}
	return r.Status, nil
}

// position returns the position of the process in the log, or "" if it is unknown.
func (c *control) position() string {
	s, err := c.status()
	if err != nil || len(s.Logs) == 0 {
		return ""
	}
	return s.Logs[0].Position
}

// batches divides resources into transactions, in their order. A service comes before the resources that belong to it.
func batches(all []resource.Resource) (out [][]resource.Resource) {
	bytes := 0
	for i := range all {
		size := (&resource.Change{Resource: all[i]}).Size()
		if len(out) == 0 || len(out[len(out)-1]) >= maxBatchResources || bytes+size > maxBatchBytes {
			out, bytes = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], all[i])
		bytes += size
	}
	return out
}

// apply submits resources to the writer as one transaction.
func (r *run) apply(resources []resource.Resource) (position string, err error) {
	text, err := changefile.Format(resources)
	if err != nil {
		return "", err
	}
	response, err := controlnet.Call(r.writer.socket, controlnet.Request{Operation: controlnet.OperationApply, File: "changes.json", Text: string(text)})
	if err != nil {
		return "", fmt.Errorf("writer rejected the change: %w", err)
	}
	return response.Position, nil
}

// realResources returns the daemons' service in the given generation, with its endpoints.
func (r *run) realResources(generation int) []resource.Resource {
	all := []resource.Resource{{Key: resource.Key{Service: realService, Kind: resource.KindService, Name: realService},
		Service: &resource.Service{Region: r.catalogue.Region(), DrainGrace: time.Second + time.Duration(generation)*time.Millisecond, MaxAttempts: 2}}}
	for _, b := range r.backends {
		all = append(all, resource.Resource{Key: resource.Key{Service: realService, Kind: resource.KindEndpoint, Name: b.name},
			Endpoint: &resource.Endpoint{Address: b.address, Zone: "n", Class: "standard", State: resource.EndpointReady}})
	}
	return all
}
