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

/* Go calls this on a small stack of its own, where only a bare system call is safe. */
static int stepped_clock_gettime(clockid_t clock, struct timespec *now)
{
	long status;
	__asm__ volatile("syscall" : "=a"(status) : "0"((long)SYS_clock_gettime), "D"((long)clock), "S"(now) : "rcx", "r11", "memory");
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

/* Overwrites the code at entry with a jump to target: movabs $target, %rax; jmp *%rax. The page is not writable, and may be
 * sealed against mprotect, so the write goes through this process's /proc/self/mem, which makes a private copy of the page. */
static void redirect(void *entry, void *target)
{
	unsigned char jump[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0};
	int memory = open("/proc/self/mem", O_RDWR | O_CLOEXEC);

	memcpy(jump + 2, &target, sizeof target);
	if (memory < 0 || pwrite(memory, jump, sizeof jump, (off_t)(uintptr_t)entry) != sizeof jump)
		fail("stepclock: /proc/self/mem");
	close(memory);
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
	void *entry = vdso == NULL ? NULL : dlsym(vdso, "__vdso_clock_gettime");
	if (entry == NULL)
		fail("stepclock: no vDSO clock_gettime");
	redirect(entry, (void *)stepped_clock_gettime);
}
