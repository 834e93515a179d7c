// Package processes plays a part of the fleet in real processes on loopback: a writer and relays of the control plane, some
// processes that each host hundreds of hollow nodes, and real daemons with real requests among them. Everything that it
// starts is ended, also when it is interrupted.
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

// Mechanism is the name of the figures.
const Mechanism = "control plane, real processes"

const (
	cluster     = "scale"
	key         = "000102030405060708090a0b0c0d0e0f" // of processes on loopback that live for one run
	realService = "real"                             // that the daemons serve
	batch       = 4000                               // resources of one transaction
	batchBytes  = 512 << 10
	silence     = 3 * time.Second // the default of a node
	startIn     = 3 * time.Minute
	pollEvery   = 20 * time.Millisecond
	changes     = 60
	changeEvery = 250 * time.Millisecond
	inForceIn   = 7 * time.Second
	settle      = 3 * time.Second
	endpoints   = 2 // of the real service
)

// run is one run.
type run struct {
	plan      *plan.Plan
	step      plan.Step
	program   string // this program's own file
	folder    string
	catalogue *hierarchy.Catalogue
	children  children
	failed    context.CancelCauseFunc
	writer    *control
	relays    []*control
	hosts     []*host
	daemons   []*daemon
	backends  []*backend
	made      []madeChange
	out       *result.Step
}

// madeChange is a change of a service's own resource.
type madeChange struct {
	service    string
	generation int
	at         time.Time
	position   string
	nodes      map[string]bool // hollow ones that have to have it in force
}

// control is a process of the control plane.
type control struct {
	name, address, socket string
	child                 *child
}

// Measure plays the plan's processes. program is the file of craneglade itself.
func Measure(ctx context.Context, p *plan.Plan, program string) (out *result.Step, err error) {
	folder, err := os.MkdirTemp("", "craneglade-scale-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	step := Size(p)
	r := &run{plan: p, step: step, program: program, folder: folder, catalogue: hierarchy.NewCatalogue(p, step), failed: cancel,
		out: &result.Step{Part: "processes", Size: step}}
	defer func() { err = errors.Join(err, r.children.end(), r.closeBackends()) }()
	if err := r.play(ctx); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
		return nil, err
	}
	return r.out, nil
}

// Size is the part of the largest step that the plan's hollow nodes serve.
func Size(p *plan.Plan) plan.Step {
	nodes := p.Processes.Hosts * p.Processes.NodesPerHost
	all := p.Largest()
	part := func(n int) int { return max(1, n*nodes/all.Nodes) }
	return plan.Step{Nodes: nodes, Endpoints: part(all.Endpoints), Services: part(all.Services), Routes: part(all.Routes), Tenants: part(all.Tenants)}
}

func (r *run) play(ctx context.Context) error {
	if err := os.WriteFile(r.path("key"), []byte(key+"\n"), 0o600); err != nil {
		return err
	}
	if err := r.startControl(ctx); err != nil {
		return err
	}
	if err := r.startNodes(ctx); err != nil {
		return err
	}
	if err := wait(ctx, settle); err != nil {
		return err
	}
	return r.measure(ctx)
}

func (r *run) path(name string) string { return filepath.Join(r.folder, name) }

// wait lets time pass.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// eventually waits until something holds.
func eventually(ctx context.Context, what string, holds func() bool) error {
	for end := time.Now().Add(startIn); !holds(); {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, startIn)
		}
		if err := wait(ctx, pollEvery); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress is an address on loopback at which nobody listens now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// startControl starts the writer and the relays, with the whole log.
func (r *run) startControl(ctx context.Context) error {
	if err := os.Mkdir(r.path("state"), 0o700); err != nil {
		return err
	}
	var err error
	if r.writer, err = r.startProcess(ctx, "writer", "writer-0", fmt.Sprintf("state = %q\n", r.path("state")), nil); err != nil {
		return err
	}
	for i := range endpoints {
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
	return eventually(ctx, "relays with the whole log", func() bool {
		return !slices.ContainsFunc(r.relays, func(c *control) bool { return c.position() != position })
	})
}

// startProcess starts a process of the control plane and waits until it answers.
func (r *run) startProcess(ctx context.Context, role, name, special string, parents []*control) (*control, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	c := &control{name: name, address: address, socket: r.path(name + ".sock")}
	text := fmt.Sprintf("role = %q\nname = %q\nregion = %q\nlisten = %q\nsocket = %q\ncluster = %q\nkey_file = %q\n%s[limits]\nbytes = \"%dB\"\nsubscribers = 10000\n%s",
		role, name, r.catalogue.Region(), address, c.socket, cluster, r.path("key"), special, r.plan.Rates.RelayBytes, parentTables("parent", parents))
	if err := os.WriteFile(r.path(name+".toml"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	if c.child, err = r.children.start(name, command(r.program, "control", "--config", r.path(name+".toml")), r.failed); err != nil {
		return nil, err
	}
	return c, eventually(ctx, name+" answers", func() bool { _, err := c.status(); return err == nil })
}

// parentTables are the tables that name parents in a file of settings.
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

// position is where the process has the log.
func (c *control) position() string {
	s, err := c.status()
	if err != nil || len(s.Logs) == 0 {
		return ""
	}
	return s.Logs[0].Position
}

// batches divides resources into transactions. A service comes before what belongs to it.
func batches(all []resource.Resource) (out [][]resource.Resource) {
	bytes := 0
	for i := range all {
		size := (&resource.Change{Resource: all[i]}).Size()
		if len(out) == 0 || len(out[len(out)-1]) >= batch || bytes+size > batchBytes {
			out, bytes = append(out, nil), 0
		}
		out[len(out)-1] = append(out[len(out)-1], all[i])
		bytes += size
	}
	return out
}

// apply has the writer take resources as one transaction.
func (r *run) apply(resources []resource.Resource) (position string, err error) {
	text, err := changefile.Format(resources)
	if err != nil {
		return "", err
	}
	answer, err := controlnet.Call(r.writer.socket, controlnet.Request{Operation: controlnet.OperationApply, File: "changes.json", Text: string(text)})
	if err != nil {
		return "", fmt.Errorf("the writer refused: %w", err)
	}
	return answer.Position, nil
}

// realResources are the service of the daemons, with its endpoints.
func (r *run) realResources(generation int) []resource.Resource {
	all := []resource.Resource{{Key: resource.Key{Service: realService, Kind: resource.KindService, Name: realService},
		Service: &resource.Service{Region: r.catalogue.Region(), DrainGrace: time.Second + time.Duration(generation)*time.Millisecond, MaxAttempts: 2}}}
	for _, b := range r.backends {
		all = append(all, resource.Resource{Key: resource.Key{Service: realService, Kind: resource.KindEndpoint, Name: b.name},
			Endpoint: &resource.Endpoint{Address: b.address, Zone: "n", Class: "standard", State: resource.EndpointReady}})
	}
	return all
}
