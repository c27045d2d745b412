/* Requests that end the upstreams that run them, sent again and again while the
 * other callers go on, and what became of them. */
#include "soak.h"
#include <jansson.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Pause between two sendings, in ms. */
#define INTERVAL_MS 150

/* Runs that are allowed once all VMs must know of the third. */
#define LATE_RUNS_MAX 3

/* Ends that put a request into quarantine. */
#define ENDS_KNOWN 3

#define RUNS_MAX 512
#define PAGE_BYTES (1 << 20)

static const char path_prefix[] = "/safe/guilty-";

static GThread *thread;

/* A sending of a guilty request. */
struct sending {
	int request;
	int vm;
	int64_t begin_ms;
};

static GArray *sendings;

/* A run of one, by an upstream. */
struct guilty_run {
	int64_t begin_ms;
	int vm;
	int64_t sent_ms;
};

static int draw_vm(struct soak *s, GRand *random)
{
	for (int i = 0; i < 50; i++) {
		int vm = g_rand_int_range(random, 1, s->options.vms + 1);

		if (s->vm_state[vm] == SOAK_VM_UP)
			return vm;
	}
	return 0;
}

static void send_guilty(int request, int vm)
{
	struct sending sending = {request, vm, prl_now_ms()};
	char id[64];
	char url[100];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 2000",
				 "Crash-After-Ms: 30", NULL};
	struct http_request req = {.url = url,
				   .host = "h.example",
				   .headers = headers,
				   .timeout_ms = 3000};

	snprintf(id, sizeof(id), "X-Request-Id: " SOAK_GUILTY_ID "%u",
		 sendings->len);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s%d", HTTP_PORT(vm),
		 path_prefix, request);
	g_array_append_val(sendings, sending);
	harness_send_request(&req);
}

/* Ends that upstream n reports of itself. */
static int64_t count_ends(int n)
{
	return routes_upstream_stat(UPSTREAM_PORT(n), "ended");
}

/* An upstream that was away writes its entry as that of another start. */
static void write_entries(struct soak *s, int64_t seen[SOAK_UPSTREAMS + 1])
{
	for (int n = 1; n <= SOAK_UPSTREAMS_S; n++) {
		int64_t ends = count_ends(n);

		if (ends <= seen[n])
			continue;
		seen[n] = ends;
		g_rec_mutex_lock(&s->entries_lock);
		s->upstream_starts[n]++;
		if (s->upstream_state[n])
			soak_write_upstream(s, n);
		g_rec_mutex_unlock(&s->entries_lock);
	}
}

static void *run_guilty(void *ctx)
{
	struct soak *s = ctx;
	GRand *random = g_rand_new_with_seed((guint32)s->options.seed + 77);
	int64_t seen[SOAK_UPSTREAMS + 1] = {0};

	for (int i = 0; !s->stopped; i++) {
		int vm = draw_vm(s, random);

		if (vm)
			send_guilty(i % SOAK_GUILTY, vm);
		write_entries(s, seen);
		g_usleep(INTERVAL_MS * 1000);
	}
	g_rand_free(random);
	return NULL;
}

void soak_start_guilty(struct soak *s)
{
	sendings = g_array_new(FALSE, FALSE, sizeof(struct sending));
	thread = g_thread_new("guilty", run_guilty, s);
}

void soak_join_guilty(struct soak *s)
{
	(void)s;
	g_thread_join(thread);
}

static int by_begin(const void *a, const void *b)
{
	const struct guilty_run *x = a;
	const struct guilty_run *y = b;

	return x->begin_ms < y->begin_ms ? -1 : x->begin_ms > y->begin_ms;
}

/* Adds an upstream's runs of one guilty request. */
static int add_runs(const char *text, int request, struct guilty_run *run,
		    int n)
{
	int64_t offset_ms = prl_wall_ms() - prl_now_ms();
	char id[40];
	int times;
	long long wall_ms;

	for (const char *at = text;
	     sscanf(at, "%39s %d %lld", id, &times, &wall_ms) == 3;
	     at = strchr(at, '\n') + 1) {
		guint i = (guint)atoi(id + strlen(SOAK_GUILTY_ID));
		const struct sending *from;

		if (strncmp(id, SOAK_GUILTY_ID, strlen(SOAK_GUILTY_ID)) != 0 ||
		    i >= sendings->len || n == RUNS_MAX)
			continue;
		from = &g_array_index(sendings, struct sending, i);
		if (from->request != request)
			continue;
		run[n++] = (struct guilty_run){wall_ms - offset_ms, from->vm,
					       from->begin_ms};
	}
	return n;
}

static int read_runs(int request, struct guilty_run *run)
{
	char *text = malloc(PAGE_BYTES);
	int n = 0;

	for (int i = 1; text && i <= SOAK_UPSTREAMS; i++) {
		char url[80];

		snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/runs",
			 UPSTREAM_PORT(i));
		harness_get(url, text, PAGE_BYTES);
		n = add_runs(text, request, run, n);
	}
	free(text);
	qsort(run, (size_t)n, sizeof(*run), by_begin);
	return n;
}

/* Whether nothing befell the VM within the bound before a time. */
static int is_in_touch(const struct soak *s, int vm, int64_t at_ms)
{
	static const char *const of_group[] = {"links", "store", "return"};

	for (guint i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f =
			&g_array_index(s->faults, struct soak_fault, i);
		int concerns = f->subject == vm;

		for (size_t k = 0; k < G_N_ELEMENTS(of_group); k++)
			if (!strcmp(f->kind, of_group[k]))
				concerns = f->subject - 1 == soak_group(vm);
		if (concerns && f->begin_ms < at_ms &&
		    at_ms - SOAK_BOUND_MS < f->end_ms)
			return 0;
	}
	return 1;
}

static void check_request(const struct soak *s, int request)
{
	static struct guilty_run run[RUNS_MAX];
	int n = read_runs(request, run);
	int late = 0;

	for (int i = ENDS_KNOWN; i < n; i++)
		late += run[i].sent_ms >
				run[ENDS_KNOWN - 1].begin_ms + SOAK_BOUND_MS &&
			is_in_touch(s, run[i].vm, run[i].sent_ms);
	soak_count_check(SOAK_QUARANTINE);
	printf("guilty request %d: %d ends, %d late ones\n", request, n, late);
	if (late > LATE_RUNS_MAX)
		soak_report(s, SOAK_QUARANTINE, "request %d: %d of %d", request,
			    late, n);
}

/* Counts the other requests that a VM has in quarantine, of those that
 * upstreams answer: one that never is can't be told from a guilty one if it
 * meets its ends. */
static int count_innocent(const char *page)
{
	json_t *root = json_loads(page, 0, NULL);
	json_t *list = json_object_get(root, "quarantine");
	size_t i;
	json_t *entry;
	int n = 0;

	json_array_foreach(list, i, entry)
	{
		const char *about =
			json_string_value(json_object_get(entry, "about"));

		n += json_is_true(json_object_get(entry, "active")) && about &&
		     (strstr(about, "/echo") || strstr(about, "/bytes-"));
	}
	json_decref(root);
	return n;
}

static void check_innocent(const struct soak *s, int vm, char *page)
{
	char url[80];
	int n;

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/status",
		 METRICS_PORT(vm));
	harness_get(url, page, PAGE_BYTES);
	harness_sleep_ms(300);
	harness_get(url, page, PAGE_BYTES);
	n = count_innocent(page);
	soak_count_check(SOAK_INNOCENT);
	if (n)
		soak_report(s, SOAK_INNOCENT, "%d at VM %d", n, vm);
}

void soak_check_guilty(const struct soak *s)
{
	char *page = malloc(PAGE_BYTES);

	for (int i = 0; i < SOAK_GUILTY; i++)
		check_request(s, i);
	for (int vm = 1; page && vm <= s->options.vms; vm++)
		check_innocent(s, vm, page);
	free(page);
}
