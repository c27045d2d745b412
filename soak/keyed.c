/* Callers of two workspaces: a key that is taken away and given back, one that
 * nobody holds, and requests beyond a quota. */
#include "soak.h"
#include <primroselead/clock.h>
#include <stdio.h>
#include <string.h>

#define CALLERS 4

/* Pause of a caller between two requests, in ms. */
#define INTERVAL_MS 80

/* Times for which the key is given, and taken away, in ms. */
#define GIVEN_MS 3000
#define TAKEN_MS 9000

/* The bound of requests that run in a window. */
#define QUOTA_WINDOW_MS 5000
#define QUOTA_OVERAGE_PERCENT 10
#define QUOTA_SLACK 20

enum key_kind {
	KEY_KEPT,
	KEY_AT_TIMES,
	KEY_OF_NOBODY,
	KEY_QUOTA,
};

static const char *const keys[] = {
	[KEY_KEPT] = SOAK_KEY_KEPT,
	[KEY_AT_TIMES] = SOAK_KEY_GIVEN_AT_TIMES,
	[KEY_OF_NOBODY] = "soak-key-of-nobody-2rf",
	[KEY_QUOTA] = SOAK_KEY_QUOTA,
};

/* Kinds as they are drawn: half of the requests are of the quota. */
static const enum key_kind drawn[] = {KEY_KEPT,	     KEY_AT_TIMES, KEY_AT_TIMES,
				      KEY_OF_NOBODY, KEY_QUOTA,	   KEY_QUOTA,
				      KEY_QUOTA,     KEY_QUOTA};

/* A request as its caller saw it, and as an upstream ran it. */
struct keyed {
	char id[24];
	enum key_kind kind;
	int vm;
	int64_t begin_ms;
	int64_t end_ms;
	int status;
	int times;
	int64_t last_ms;
};

/* A change of the key: from the first write to the last one. */
struct change {
	int is_given;
	int64_t begin_ms;
	int64_t end_ms;
};

struct caller {
	struct soak *soak;
	int number;
	GRand *random;
	GThread *thread;
};

static struct caller callers[CALLERS];
static GThread *operator_thread;
static GArray *requests;
static GArray *changes;
static GMutex lock;

static void change_key(struct soak *s)
{
	struct change c = {.begin_ms = prl_now_ms()};

	soak_change_key(s);
	c.is_given = s->is_key_given;
	c.end_ms = prl_now_ms();
	g_array_append_val(changes, c);
}

static void *run_operator(void *ctx)
{
	struct soak *s = ctx;
	int64_t next_ms = prl_now_ms() + GIVEN_MS;

	while (!s->stopped) {
		g_usleep(20000);
		if (prl_now_ms() < next_ms)
			continue;
		change_key(s);
		next_ms =
			prl_now_ms() + (s->is_key_given ? GIVEN_MS : TAKEN_MS);
	}
	return NULL;
}

static void send_keyed(struct caller *c, int vm, int serial)
{
	struct keyed q = {
		.vm = vm,
		.kind = drawn[g_rand_int_range(c->random, 0,
					       G_N_ELEMENTS(drawn))],
	};
	char id[64];
	char key[64];
	char url[80];
	const char *headers[] = {id, key, "X-Deadline-Remaining-Ms: 2000",
				 NULL};
	struct http_request req = {.url = url,
				   .host = "h.example",
				   .headers = headers,
				   .timeout_ms = 3000};

	snprintf(q.id, sizeof(q.id), "k%d-%d", c->number, serial);
	snprintf(id, sizeof(id), "X-Request-Id: %s", q.id);
	snprintf(key, sizeof(key), "Api-Key: %s", keys[q.kind]);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/keyed/echo",
		 HTTP_PORT(vm));
	q.begin_ms = prl_now_ms();
	q.status = harness_send_request(&req).status;
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
			send_keyed(c, vm, serial);
		g_usleep(INTERVAL_MS * 1000);
	}
	return NULL;
}

void soak_start_keyed(struct soak *s)
{
	requests = g_array_new(FALSE, FALSE, sizeof(struct keyed));
	changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	for (int i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		c->soak = s;
		c->number = i;
		c->random = g_rand_new_with_seed(
			(guint32)(s->options.seed * 1000 + 500 + (uint64_t)i));
		c->thread = g_thread_new("keyed", run_caller, c);
	}
	operator_thread = g_thread_new("operator", run_operator, s);
}

void soak_join_keyed(void)
{
	for (int i = 0; i < CALLERS; i++) {
		g_thread_join(callers[i].thread);
		g_rand_free(callers[i].random);
	}
	g_thread_join(operator_thread);
}

static void report_keyed(const struct soak *s, enum soak_promise promise,
			 const struct keyed *q)
{
	soak_report(s, promise, "%s at VM %d, status %d, ran %d times", q->id,
		    q->vm, q->status, q->times);
}

/* Whether no fault that delays a version, or that ends requests, met the VM
 * from the bound before a request to its end. A store that returned from a copy
 * is read by any VM. */
static int is_calm(const struct soak *s, const struct keyed *q)
{
	for (guint i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f =
			&g_array_index(s->faults, struct soak_fault, i);
		int is_any =
			!strcmp(f->kind, "store") || !strcmp(f->kind, "return");
		int is_own =
			f->subject == q->vm &&
			(!strcmp(f->kind, "term") || !strcmp(f->kind, "kill") ||
			 !strcmp(f->kind, "pause") || !strcmp(f->kind, "hup"));

		if ((is_any || is_own) && f->begin_ms < q->end_ms &&
		    q->begin_ms - SOAK_BOUND_MS < f->end_ms)
			return 0;
	}
	return 1;
}

/* Whether the key is given to all VMs (1), taken away (0), or changing (-1). */
static int key_state(const struct keyed *q)
{
	int is_given = 1;

	for (guint i = 0; i < changes->len; i++) {
		const struct change *c =
			&g_array_index(changes, struct change, i);

		if (q->begin_ms >= c->end_ms + SOAK_BOUND_MS) {
			is_given = c->is_given;
			continue;
		}
		if (q->end_ms >= c->begin_ms)
			return -1;
	}
	return is_given;
}

/* The key of nobody opens nothing at any time. */
static void check_nobody(const struct soak *s, const struct keyed *q)
{
	int is_refused = q->status == 401 ||
			 (!is_calm(s, q) && (!q->status || q->status == 503));

	soak_count_check(SOAK_NO_KEY);
	if (q->times || !is_refused)
		report_keyed(s, SOAK_NO_KEY, q);
}

static void check_at_times(const struct soak *s, const struct keyed *q)
{
	int state = key_state(q);

	if (state < 0 || !is_calm(s, q))
		return;
	if (state) {
		soak_count_check(SOAK_KEY_GIVEN);
		if (q->status == 401)
			report_keyed(s, SOAK_KEY_GIVEN, q);
		return;
	}
	soak_count_check(SOAK_KEY_TAKEN);
	if (q->times || q->status != 401)
		report_keyed(s, SOAK_KEY_TAKEN, q);
}

static void check_keyed(const struct soak *s, const struct keyed *q)
{
	if (q->status == 401 || q->status == 429 || q->status == 503) {
		soak_count_check(SOAK_NOT_RUN);
		if (q->times)
			report_keyed(s, SOAK_NOT_RUN, q);
	}
	switch (q->kind) {
	case KEY_OF_NOBODY:
		check_nobody(s, q);
		break;
	case KEY_AT_TIMES:
		check_at_times(s, q);
		break;
	case KEY_KEPT:
	case KEY_QUOTA:
		soak_count_check(SOAK_KEY_GIVEN);
		if (q->status == 401)
			report_keyed(s, SOAK_KEY_GIVEN, q);
		break;
	}
}

/* Requests of the quota that were sent and ran within the window from a time.
 */
static int count_in_window(int64_t from_ms)
{
	int n = 0;

	for (guint i = 0; i < requests->len; i++) {
		const struct keyed *q =
			&g_array_index(requests, struct keyed, i);

		n += q->kind == KEY_QUOTA && q->times &&
		     q->begin_ms >= from_ms &&
		     q->last_ms <= from_ms + QUOTA_WINDOW_MS;
	}
	return n;
}

static void check_quota(const struct soak *s)
{
	const int most =
		(SOAK_QUOTA_PER_S * QUOTA_WINDOW_MS / 1000 + SOAK_QUOTA_BURST) *
			(100 + QUOTA_OVERAGE_PERCENT) / 100 +
		QUOTA_SLACK;
	int sent = 0;
	int ran = 0;
	int worst = 0;

	for (guint i = 0; i < requests->len; i++) {
		const struct keyed *q =
			&g_array_index(requests, struct keyed, i);
		int n;

		if (q->kind != KEY_QUOTA)
			continue;
		sent++;
		ran += q->times > 0;
		n = count_in_window(q->begin_ms);
		worst = MAX(worst, n);
	}
	soak_count_check(SOAK_QUOTA);
	printf("quota: %d of %d ran, %d at most in %d ms, bound %d\n", ran,
	       sent, worst, QUOTA_WINDOW_MS, most);
	if (worst > most)
		soak_report(s, SOAK_QUOTA, "%d in %d ms", worst,
			    QUOTA_WINDOW_MS);
}

void soak_check_keyed(const struct soak *s, soak_find_run *find, void *runs)
{
	int by_status[600] = {0};

	for (guint i = 0; i < requests->len; i++) {
		struct keyed *q = &g_array_index(requests, struct keyed, i);

		q->times = find(runs, q->id, &q->last_ms);
		by_status[q->status]++;
		check_keyed(s, q);
	}
	check_quota(s);
	printf("requests with keys %u, changes of a key %u:", requests->len,
	       changes->len);
	for (int i = 0; i < 600; i++)
		if (by_status[i])
			printf(" %d: %d", i, by_status[i]);
	printf("\n");
}
