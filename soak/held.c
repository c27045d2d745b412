/* Callers that stop short of the end of their body, and stay. No two requests
 * are equal: those that upstreams end under are told apart. */
#include "soak.h"
#include <errno.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define CALLERS 4

/* Time for which a caller stays if its connection is not ended, in ms, and
 * that in which the VM must take some of the body. */
#define STAY_MS 5000
#define SEND_MS 1000

/* Time between two looks at whether the run has ended, in ms. */
#define POLL_MS 100

/* Pause between two connections of a caller, in ms. */
#define INTERVAL_MS 200

/* Bodies that a VM keeps whole before it sends them on, and that it does not.
 */
#define SHORT_BYTES 20000
#define LONG_BYTES 1000000

/* Of this many parts of the body, one is not sent. */
#define WITHHELD_ONE_IN 4

struct held {
	char id[24];
	int vm;
	int64_t begin_ms;
	int64_t end_ms;
	int status;
};

struct caller {
	struct soak *soak;
	int number;
	GRand *random;
	GThread *thread;
};

static struct caller callers[CALLERS];
static GArray *requests;
static GMutex lock;

static void set_timeout(int fd, int option, int ms)
{
	struct timeval t = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000L};

	setsockopt(fd, SOL_SOCKET, option, &t, sizeof(t));
}

static void send_part(int fd, const char *id, int body_bytes)
{
	static const char zeros[4096];
	int left = body_bytes - body_bytes / WITHHELD_ONE_IN;
	char head[200];
	int n = snprintf(head, sizeof(head),
			 "POST /up/%s/echo HTTP/1.1\r\nHost: h.example\r\n"
			 "X-Request-Id: %s\r\nContent-Length: %d\r\n\r\n",
			 id, id, body_bytes);

	if (send(fd, head, (size_t)n, MSG_NOSIGNAL) != n)
		return;
	while (left > 0) {
		size_t part = MIN((size_t)left, sizeof(zeros));
		ssize_t taken = send(fd, zeros, part, MSG_NOSIGNAL);

		if (taken <= 0)
			return;
		left -= (int)taken;
	}
}

/* Waits for an answer. Returns its status, or 0. */
static int read_status(const struct soak *s, int fd)
{
	int64_t until_ms = prl_now_ms() + STAY_MS;
	char text[512] = "";
	int status = 0;
	ssize_t n;

	do
		n = recv(fd, text, sizeof(text) - 1, 0);
	while (n < 0 && errno == EAGAIN && !s->stopped &&
	       prl_now_ms() < until_ms);
	if (n > 0)
		sscanf(text, "HTTP/1.1 %d", &status);
	return status;
}

static void hold(struct caller *c, int vm, int serial)
{
	struct held q = {.vm = vm, .begin_ms = prl_now_ms()};
	int fd = harness_connect(HTTP_PORT(vm));

	if (fd < 0)
		return;
	snprintf(q.id, sizeof(q.id), "h%d-%d", c->number, serial);
	set_timeout(fd, SO_SNDTIMEO, SEND_MS);
	set_timeout(fd, SO_RCVTIMEO, POLL_MS);
	send_part(fd, q.id, c->number % 2 ? LONG_BYTES : SHORT_BYTES);
	q.status = read_status(c->soak, fd);
	close(fd);
	q.end_ms = prl_now_ms();
	g_mutex_lock(&lock);
	g_array_append_val(requests, q);
	g_mutex_unlock(&lock);
}

static void *run_caller(void *ctx)
{
	struct caller *c = ctx;
	struct soak *s = c->soak;

	for (int serial = 1; !s->stopped; serial++) {
		int vm = g_rand_int_range(c->random, 1, s->options.vms + 1);

		if (s->vm_state[vm] == SOAK_VM_UP)
			hold(c, vm, serial);
		g_usleep(INTERVAL_MS * 1000);
	}
	return NULL;
}

void soak_start_held(struct soak *s)
{
	requests = g_array_new(FALSE, FALSE, sizeof(struct held));
	for (int i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		c->soak = s;
		c->number = i;
		c->random = g_rand_new_with_seed(
			(guint32)(s->options.seed * 1000 + 600 + (uint64_t)i));
		c->thread = g_thread_new("held", run_caller, c);
	}
}

void soak_join_held(void)
{
	for (int i = 0; i < CALLERS; i++) {
		g_thread_join(callers[i].thread);
		g_rand_free(callers[i].random);
	}
}

static void report_held(const struct soak *s, enum soak_promise promise,
			const struct held *q, int times)
{
	soak_report(s, promise, "%s at VM %d, status %d after %lld ms, ran %d",
		    q->id, q->vm, q->status,
		    (long long)(q->end_ms - q->begin_ms), times);
}

static void check_held(const struct soak *s, const struct held *q, int times)
{
	soak_count_check(SOAK_UNFINISHED);
	if (q->status == 200)
		report_held(s, SOAK_UNFINISHED, q, times);
	soak_count_check(SOAK_ONCE);
	if (times > 1)
		report_held(s, SOAK_ONCE, q, times);
	if (q->status != 408 && q->status != 429 && q->status != 503)
		return;
	soak_count_check(SOAK_NOT_RUN);
	if (times)
		report_held(s, SOAK_NOT_RUN, q, times);
}

void soak_check_held(const struct soak *s, soak_find_run *find, void *runs)
{
	int64_t last_ms;
	int ran = 0;
	int answered = 0;

	for (guint i = 0; i < requests->len; i++) {
		const struct held *q = &g_array_index(requests, struct held, i);
		int times = find(runs, q->id, &last_ms);

		ran += times > 0;
		answered += q->status != 0;
		check_held(s, q, times);
	}
	printf("unfinished requests %u: %d begun by an upstream, %d answered\n",
	       requests->len, ran, answered);
}
