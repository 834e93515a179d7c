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

// TestHelperNode is a node's process for the test below: it answers that it is ready until it is told to end.
func TestHelperNode(t *testing.T) {
	if os.Getenv("KIT_RUN_NODE") == "" {
		t.Skip("it is a process of another test")
	}
	http.ListenAndServe(os.Getenv("GW_LISTEN"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
}

// Two events that end a node at one time, and each start it again, start one process: a second one would find the port
// taken, and the rehearsal would wait for ever for the one that nobody knows any more.
func TestTwoRevivalsStartOneProcess(t *testing.T) {
	p := plan.New(scenario.Default(), 1)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r := &Rehearsal{opt: Options{Command: []string{os.Args[0], "-test.run=^TestHelperNode$"}, Env: []string{"KIT_RUN_NODE=1"}}, plan: p, dir: t.TempDir(),
		host: someHost(), start: time.Now(), quit: ctx, rng: rand.New(rand.NewPCG(1, 1))}
	r.out = trace.NewWriter(io.Discard, deployment.Head(p, "test", "", nil))
	n := &node{Node: trace.Node{Name: "n1", Site: "tacoma"}, r: r}
	r.nodes = []*node{n}
	r.clients = stand.NewClients(p, []trace.Node{n.Node}, nil, r.clock(), r.out, time.Second)
	n.agent = stand.NewAgent(n.Name, false, r.clock(), r.out, nil)
	ln, err := r.listen("")
	if err != nil {
		t.Fatal(err)
	}
	n.agentAt = stand.ServeAgent(n.agent, ln)
	defer n.agentAt.Close()
	if err := n.start(ctx); err != nil {
		t.Fatal(err)
	}
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() { r.revive(ctx, n) })
	}
	n.signal(9, trace.Kill, true)
	both.Wait()
	if n.starts != 2 || len(r.errs) > 0 {
		t.Errorf("started %d times, errors %v", n.starts, r.errs)
	}
	n.signal(9, trace.Kill, true)
	stop()
	r.procs.Wait()
	r.wg.Wait()
}

// Addresses of nodes differ, pass over what is taken, and are none that the kernel would give to a box meanwhile.
func TestNodeAddr(t *testing.T) {
	r := &Rehearsal{host: someHost(), lastPort: nodePortTo - 3}
	taken, err := net.Listen("tcp", net.JoinHostPort(r.host, strconv.Itoa(nodePortFrom)))
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
		if seen[addr] || addr == taken.Addr().String() || port < nodePortFrom || port >= nodePortTo {
			t.Fatalf("given %s after %v, with %s taken", addr, seen, taken.Addr())
		}
		seen[addr] = true
	}
}
