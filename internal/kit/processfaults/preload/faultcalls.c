/*
 * Makes chosen system calls of a process fail a given number of times, for tests. This library is preloaded into the process
 * and installs a seccomp(2) filter with user notification. A thread of the library is notified of each such call, and lets
 * it fail, as the table in FAULTCALLS_FILE says, or proceed. Wrapping functions of the C library would not do: the Go runtime
 * makes system calls without them.
 *
 * The file holds ENTRIES of struct fault. The test writes it while the process runs; this library counts times down.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <pthread.h>
#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <unistd.h>

#define ENTRIES 8

struct fault {
	int32_t call;  /* system call number */
	int32_t error; /* errno to fail with */
	int64_t times; /* calls that are still to fail */
};

static struct fault *faults;
static int listener = -1;
static pthread_mutex_t installed = PTHREAD_MUTEX_INITIALIZER;

static const int watched[] = {SYS_socket, SYS_connect, SYS_accept4, SYS_recvfrom, SYS_epoll_pwait};
#define WATCHED (sizeof watched / sizeof watched[0])

static void fail(const char *what)
{
	perror(what);
	_exit(120);
}

/* Returns the errno with which a call is to fail now, or 0, and counts the failure. */
static int next_error(int call)
{
	for (int i = 0; i < ENTRIES; i++) {
		int64_t left = __atomic_load_n(&faults[i].times, __ATOMIC_SEQ_CST);
		while (faults[i].call == call && left > 0) {
			if (__atomic_compare_exchange_n(&faults[i].times, &left, left - 1, 0, __ATOMIC_SEQ_CST, __ATOMIC_SEQ_CST))
				return faults[i].error;
		}
	}
	return 0;
}

/* Answers the filter's notifications until the process ends. */
static void *answer(void *unused)
{
	(void)unused;
	pthread_mutex_lock(&installed);
	for (;;) {
		struct seccomp_notif question;
		struct seccomp_notif_resp reply;

		memset(&question, 0, sizeof question);
		if (ioctl(listener, SECCOMP_IOCTL_NOTIF_RECV, &question) != 0) {
			if (errno == EINTR || errno == ENOENT)
				continue;
			return NULL;
		}
		memset(&reply, 0, sizeof reply);
		reply.id = question.id;
		reply.error = -next_error(question.data.nr);
		if (reply.error == 0)
			reply.flags = SECCOMP_USER_NOTIF_FLAG_CONTINUE;
		ioctl(listener, SECCOMP_IOCTL_NOTIF_SEND, &reply); /* fails if the caller no longer waits */
	}
}

/* Installs the filter for this thread and the threads that it starts. Returns the descriptor that notifications come from. */
static int install_filter(void)
{
	struct sock_filter program[2 * WATCHED + 2];
	struct sock_fprog filter = {.len = 0, .filter = program};

	program[filter.len++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
	for (size_t i = 0; i < WATCHED; i++) {
		program[filter.len++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, watched[i], 0, 1);
		program[filter.len++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_USER_NOTIF);
	}
	program[filter.len++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0)
		fail("faultcalls: no new privileges");
	return syscall(SYS_seccomp, SECCOMP_SET_MODE_FILTER, SECCOMP_FILTER_FLAG_NEW_LISTENER, &filter);
}

__attribute__((constructor)) static void install(void)
{
	const char *path = getenv("FAULTCALLS_FILE");
	int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
	sigset_t all, before;
	pthread_t thread;

	if (file < 0)
		fail("faultcalls: FAULTCALLS_FILE");
	faults = mmap(NULL, ENTRIES * sizeof *faults, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
	if (faults == MAP_FAILED)
		fail("faultcalls: mmap");
	close(file);

	/* The thread starts before the filter is installed, so that its own calls are not filtered, and blocks all signals. */
	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &before);
	pthread_mutex_lock(&installed);
	if (pthread_create(&thread, NULL, answer, NULL) != 0)
		fail("faultcalls: thread");
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	listener = install_filter();
	if (listener < 0)
		fail("faultcalls: filter");
	pthread_mutex_unlock(&installed);
}
