package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"

	"craneglade/internal/bodies"
	"craneglade/internal/settings"
	"craneglade/internal/tomlfile"
)

// inChild tells a test's own child process that it is that.
const inChild = "CRANEGLADE_TEST_REFUSED"

// refused are the system calls that a platform may refuse, and with what: what copies between descriptors inside the
// kernel, asynchronous I/O, and starting other programs.
var refused = map[uint32]syscall.Errno{
	unix.SYS_SPLICE: unix.EINVAL, unix.SYS_SENDFILE: unix.ENOSYS, unix.SYS_COPY_FILE_RANGE: unix.ENOSYS,
	unix.SYS_IO_URING_SETUP: unix.ENOSYS, unix.SYS_IO_URING_ENTER: unix.ENOSYS,
	unix.SYS_FORK: unix.ENOSYS, unix.SYS_VFORK: unix.ENOSYS, unix.SYS_CLONE3: unix.ENOSYS, unix.SYS_EXECVE: unix.ENOSYS,
}

// refuse has all threads of this process, for good, get an error from those calls: a filter as seccomp(2) has it, which
// needs no rights once the process has given up gaining any.
func refuse(calls map[uint32]syscall.Errno) error {
	load := unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS} // the call's number comes first in seccomp_data
	program := []unix.SockFilter{load}
	for call, errno := range calls {
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: call},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ERRNO | uint32(errno)})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW})
	runtime.LockOSThread() // for both calls; the second one's flag brings the other threads to where this one stands
	defer runtime.UnlockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, unix.SECCOMP_FILTER_FLAG_TSYNC,
		uintptr(unsafe.Pointer(&filter))); errno != 0 {
		return fmt.Errorf("filter: %w", errno)
	}
	return nil
}

// A node whose platform refuses these calls serves as ever: bodies of every tier and streamed answers, which Go's io.Copy
// would hand to splice and sendfile by itself. Run in a process of its own, as the filter stays.
func TestServesWhereSystemCallsAreRefused(t *testing.T) {
	if os.Getenv(inChild) == "" {
		t.Parallel()
		cmd := exec.Command(os.Args[0], "-test.run=^TestServesWhereSystemCallsAreRefused$", "-test.v")
		cmd.Env = append(os.Environ(), inChild+"=1")
		out, err := cmd.CombinedOutput()
		if err != nil || !strings.Contains(string(out), "served all") {
			t.Errorf("%v\n%s", err, out)
		}
		return
	}
	if err := refuse(refused); err != nil {
		t.Fatal(err)
	}
	if _, err := unix.Splice(0, nil, 1, nil, 1, 0); !errors.Is(err, unix.EINVAL) {
		t.Fatalf("splice: %v, want it refused", err)
	}
	if err := exec.Command("/bin/true").Run(); !errors.Is(err, unix.ENOSYS) {
		t.Fatalf("another program: %v, want it refused", err)
	}
	long := strings.Repeat("pane ", 100<<10)
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if r.Method == http.MethodGet {
			return reply(c, 200, "", long)
		}
		return echo(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) {
		c.Own = &settings.File{Bodies: settings.Bodies{Memory: roomForBodies, MaxAnswer: 1 << 20,
			Disk:    settings.Disk{Folder: t.TempDir(), Total: 500 << 10, Workers: 2, Deadline: tomlfile.Duration(patience)},
			Classes: []settings.Class{{Name: "save", MaxSize: 1 << 20, MaxInMemory: 100 << 10, AllowDisk: true, AllowStream: true}}}}
	}, b.entry("s-1"))
	c := r.dial(t)
	for i, size := range []int{50 << 10, 200 << 10, 900 << 10} { // in memory, on disk, streamed
		q := big(fmt.Sprint("r", i), size)
		if resp, body := c.ask(q); resp.StatusCode != 200 || body != q.echoed() {
			t.Fatalf("%d bytes: %d %.60q", size, resp.StatusCode, body)
		}
	}
	if got := r.tiers(); got != [3]int64{1, 1, 1} {
		t.Errorf("tiers %v, want a body in each", got)
	}
	if resp, body := r.dial(t).ask(view("long")); resp.StatusCode != 200 || body != long {
		t.Errorf("a streamed answer: %d, %d bytes", resp.StatusCode, len(body))
	}
	wait(t, "the room of all bodies", func() bool { return r.bodies.Used(bodies.Memory)+r.bodies.Used(bodies.Disk) == 0 })
	if !t.Failed() {
		t.Log("served all")
	}
}
