/*
 * Steps the wall clock of a process, for tests: this library is preloaded into the process and adds an offset to
 * CLOCK_REALTIME. The other clocks are unchanged, as on a machine whose wall clock is set.
 *
 * The Go runtime reads clocks by the vDSO's clock_gettime and not by the C library's, so the entry of that function is
 * overwritten, in this process's own copy of the page, with a jump to the function below.
 *
 * STEPCLOCK_FILE names a file of 8 bytes: the offset in nanoseconds, which the test changes while the process runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS 1000000000L

static volatile int64_t *offset;

/* What differs between processors: the vDSO's name of clock_gettime, a bare system call with two arguments, and the code of a
 * jump to an address. */
#if defined(__x86_64__)

#define VDSO_CLOCK_GETTIME "__vdso_clock_gettime"

static long bare_syscall(long call, long first, void *second)
{
	long status;
	__asm__ volatile("syscall" : "=a"(status) : "0"(call), "D"(first), "S"(second) : "rcx", "r11", "memory");
	return status;
}

/* movabs $target, %rax; jmp *%rax */
struct jump {
	unsigned char load[2];
	void *target;
	unsigned char branch[2];
} __attribute__((packed));

#define JUMP(address) {{0x48, 0xb8}, address, {0xff, 0xe0}}

#elif defined(__aarch64__)

#define VDSO_CLOCK_GETTIME "__kernel_clock_gettime"

static long bare_syscall(long call, long first, void *second)
{
	register long number __asm__("x8") = call;
	register long status __asm__("x0") = first;
	register void *argument __asm__("x1") = second;
	__asm__ volatile("svc #0" : "+r"(status) : "r"(number), "r"(argument) : "memory");
	return status;
}

/* bti c; ldr x16, target; br x16; nop. The first one is needed where the page is guarded: indirect calls may only arrive at it. */
struct jump {
	uint32_t code[4];
	void *target;
} __attribute__((packed));

#define JUMP(address) {{0xd503245f, 0x58000070, 0xd61f0200, 0xd503201f}, address}

#else
#error "stepclock: no jump and no system call for this processor"
#endif

/* Go calls this on a small stack of its own, where only a bare system call is safe. */
static int stepped_clock_gettime(clockid_t clock, struct timespec *now)
{
	long status = bare_syscall(SYS_clock_gettime, clock, now);
	if (status != 0 || clock != CLOCK_REALTIME)
		return (int)status;
	int64_t nanoseconds = now->tv_sec * NANOSECONDS + now->tv_nsec + *offset;
	now->tv_sec = nanoseconds / NANOSECONDS;
	now->tv_nsec = nanoseconds % NANOSECONDS;
	return 0;
}

static void fail(const char *what)
{
	perror(what);
	_exit(120);
}

/* Overwrites the code at entry with a jump to target. The page is not writable, and may be sealed against mprotect, so the write
 * goes through this process's /proc/self/mem, which makes a private copy of the page. */
static void redirect(void *entry, void *target)
{
	struct jump jump = JUMP(target);
	int memory = open("/proc/self/mem", O_RDWR | O_CLOEXEC);

	if (memory < 0 || pwrite(memory, &jump, sizeof jump, (off_t)(uintptr_t)entry) != sizeof jump)
		fail("stepclock: /proc/self/mem");
	close(memory);
	__builtin___clear_cache((char *)entry, (char *)entry + sizeof jump);
}

__attribute__((constructor)) static void install(void)
{
	const char *path = getenv("STEPCLOCK_FILE");
	int file = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
	if (file < 0)
		fail("stepclock: STEPCLOCK_FILE");
	offset = mmap(NULL, sizeof *offset, PROT_READ, MAP_SHARED, file, 0);
	if (offset == MAP_FAILED)
		fail("stepclock: mmap");
	close(file);

	void *vdso = dlopen("linux-vdso.so.1", RTLD_LAZY | RTLD_NOLOAD);
	void *entry = vdso == NULL ? NULL : dlsym(vdso, VDSO_CLOCK_GETTIME);
	if (entry == NULL)
		fail("stepclock: no vDSO clock_gettime");
	redirect(entry, (void *)stepped_clock_gettime);
}
