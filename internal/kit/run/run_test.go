package run

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"craneglade/internal/kit/deployment"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/stand"
	"craneglade/internal/kit/trace"
)

// TestHelperNode is the node process of the test below: it answers every request with 200, also /ready, until it is killed.
func TestHelperNode(t *testing.T) {
	if os.Getenv("KIT_RUN_NODE") == "" {
		t.Skip("runs only as a child process of another test")
	}
	http.ListenAndServe(os.Getenv("GW_LISTEN"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
}

// Two events that end a node at the same time and each restart it must start one process. A second process would find the
// port taken, and the rehearsal would wait forever for a process that it has lost track of.
func TestConcurrentRestartsStartOneProcess(t *testing.T) {
	p := plan.New(scenario.Default(), 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := &Rehearsal{opt: Options{Command: []string{os.Args[0], "-test.run=^TestHelperNode$"}, Env: []string{"KIT_RUN_NODE=1"}}, plan: p, dir: t.TempDir(),
		host: loopbackHost(), start: time.Now(), quit: ctx, rng: rand.New(rand.NewPCG(1, 1))}
	r.out = trace.NewWriter(io.Discard, deployment.Head(p, "test", "", nil))
	n := &node{Node: trace.Node{Name: "n1", Site: "tacoma"}, r: r}
	r.nodes = []*node{n}
	r.clients = stand.NewClients(p, []trace.Node{n.Node}, nil, r.clock(), r.out, time.Second)
	n.agent = stand.NewAgent(n.Name, false, r.clock(), r.out, nil)
	ln, err := r.listen("")
	if err != nil {
		t.Fatal(err)
	}
	n.agentServer = stand.ServeAgent(n.agent, ln)
	defer n.agentServer.Close()
	if err := n.start(ctx); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	ended := n.processEnded() // before the restart, which is another process that does not end
	for range 2 {
		wg.Go(func() { r.revive(ctx, n, ended) })
	}
	n.signal(9, trace.Kill, true)
	wg.Wait()
	if n.starts != 2 || len(r.errs) > 0 {
		t.Errorf("started %d times, errors %v", n.starts, r.errs)
	}
	n.signal(9, trace.Kill, true)
	stop()
	r.processes.Wait()
	r.wg.Wait()
}

// Node addresses are distinct, skip ports in use, and lie outside the ephemeral range, from which the kernel could give them
// to a backend.
func TestNodeAddr(t *testing.T) {
	r := &Rehearsal{host: loopbackHost(), lastPort: endNodePort - 3}
	taken, err := net.Listen("tcp", net.JoinHostPort(r.host, strconv.Itoa(minNodePort)))
	if err != nil {
		t.Skip("the first port is in use here:", err)
	}
	defer taken.Close()
	seen := map[string]bool{}
	for range 5 {
		addr, err := r.nodeAddr()
		if err != nil {
			t.Fatal(err)
		}
		_, text, _ := net.SplitHostPort(addr)
		port, _ := strconv.Atoi(text)
		if seen[addr] || addr == taken.Addr().String() || port < minNodePort || port >= endNodePort {
			t.Fatalf("given %s after %v, with %s taken", addr, seen, taken.Addr())
		}
		seen[addr] = true
	}
}
