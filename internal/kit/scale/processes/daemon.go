package processes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/node"
)

// platformConfig is a daemon's configuration in the platform's format.
const platformConfig = `{"seed":"8c1f30d27a5be964","discovery":"127.0.0.1:1","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},` +
	`"known":{"version":1,"full":true,"servers":[]},"settings":{"balancers":1,"zone":"n","discovery":"push","grades":[{"name":"a","aim_s":20,` +
	`"deadline_s":60,"gain":1,"effect":"free","group":"all"}],"invariants":{"drain_grace_s":1.0},"policy_limits":{"max_attempts":2,"connect_timeout_s":5}}}`

const requestInterval = 20 * time.Millisecond // between two requests to one daemon

// backend serves the requests of daemons.
type backend struct {
	name, address string
	server        *http.Server
}

func newBackend(name string) (*backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{name: name, address: ln.Addr().String()}
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	})}
	go b.server.Serve(ln) // until closeBackends
	return b, nil
}

func (r *run) closeBackends() error {
	var errs []error
	for _, b := range r.backends {
		errs = append(errs, b.server.Close())
	}
	return errors.Join(errs...)
}

// daemon is a real node that serves requests.
type daemon struct {
	name, address, socket string
	requested, failed     atomic.Int64
	firstFailure          atomic.Value // of type error
}

// command returns a command that runs this program with other arguments.
func command(program string, args ...string) *exec.Cmd { return exec.Command(program, args...) }

// startDaemon starts a real node.
func (r *run) startDaemon(name string) (*daemon, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, address: address, socket: r.path(name + ".sock")}
	config := fmt.Sprintf("[fleet]\nsocket = %q\n[control]\nservices = [%q]\nregion = %q\ncluster = %q\nkey_file = %q\n%s",
		d.socket, realService, r.catalogue.Region(), cluster, r.path("key"), parentTables("control.parent", r.relays))
	err = errors.Join(os.WriteFile(r.path(name+".toml"), []byte(config), 0o600), os.WriteFile(r.path(name+".json"), []byte(platformConfig), 0o600))
	if err != nil {
		return nil, err
	}
	cmd := command(r.program, "serve", "--config", r.path(name+".toml"))
	cmd.Env = append(os.Environ(), "GW_NAME="+name, "GW_LISTEN="+address, "GW_DISCOVERY=127.0.0.1:1", "GW_CONFIG="+r.path(name+".json"))
	_, err = r.children.start(name, cmd, r.failed)
	return d, err
}

// status returns the daemon's control status.
func (d *daemon) status() (*node.ControlStatus, error) {
	return node.ReadControlStatus(d.socket)
}

// position returns the position of the configuration that the daemon has in force, or "" if it is unknown.
func (d *daemon) position() string {
	s, err := d.status()
	if err != nil {
		return ""
	}
	return s.Position().String()
}

var requestCount atomic.Int64

// sendRequest sends one request and checks its answer.
func (d *daemon) sendRequest(ctx context.Context, client *http.Client) error {
	id := fmt.Sprint("r", requestCount.Add(1))
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+d.address+"/api", nil)
	if err != nil {
		return err
	}
	for name, value := range map[string]string{"X-Request-Id": id, "X-Class": "a", "X-Deadline": "50000m"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(body) != "made for "+id {
		return fmt.Errorf("%s answered %d %q, %v", d.name, resp.StatusCode, body, err)
	}
	return nil
}

// startClients sends requests to all daemons until the returned function is called.
func (r *run) startClients(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for _, d := range r.daemons {
		all.Go(func() { d.sendRequests(ctx) })
	}
	return func() {
		cancel()
		all.Wait()
	}
}

func (d *daemon) sendRequests(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for sleep(ctx, requestInterval) == nil {
		err := d.sendRequest(ctx, client)
		if ctx.Err() != nil {
			return // cancelled here, not a failure of the daemon
		}
		d.requested.Add(1)
		if err != nil && d.failed.Add(1) == 1 {
			d.firstFailure.Store(err)
		}
	}
}
