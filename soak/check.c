#include "soak.h"
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Part of the requests that must be served at the end, in percent. */
#define RECOVERED_PERCENT 95

/* Fewest requests on which a share is judged. */
#define SHARE_MIN 20

/* Time before a request within which other faults make a failure ambiguous, in
 * ms. */
#define AFTERMATH_MS 3000

/* Margin in ms by which clocks and records may differ. */
#define MARGIN_MS 200

/* A run that an upstream reported. */
struct run {
	int times;
	/** Upstream of the last one, and its time by prl_now_ms. */
	int upstream;
	int64_t last_ms;
};

static void add_run(GHashTable *runs, const char *id, const struct run *from)
{
	struct run *run = g_hash_table_lookup(runs, id);

	if (!run) {
		run = g_new0(struct run, 1);
		g_hash_table_insert(runs, g_strdup(id), run);
	}
	run->times += from->times;
	if (from->last_ms > run->last_ms) {
		run->last_ms = from->last_ms;
		run->upstream = from->upstream;
	}
}

static GHashTable *read_runs(void)
{
	GHashTable *runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const size_t size = 16 << 20;
	char *text = malloc(size);
	int64_t offset_ms = prl_wall_ms() - prl_now_ms();

	for (int n = 1; text && n <= SOAK_UPSTREAMS; n++) {
		char url[80];
		char id[40];
		long long wall_ms;
		struct run run = {.upstream = n};
		const char *at = text;

		snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/runs",
			 UPSTREAM_PORT(n));
		harness_get(url, text, size);
		while (sscanf(at, "%39s %d %lld", id, &run.times, &wall_ms) ==
		       3) {
			run.last_ms = wall_ms - offset_ms;
			add_run(runs, id, &run);
			at = strchr(at, '\n') + 1;
		}
	}
	free(text);
	return runs;
}

static int find_run(void *runs, const char *id, int64_t *last_ms)
{
	const struct run *run = g_hash_table_lookup(runs, id);

	*last_ms = run ? run->last_ms : 0;
	return run ? run->times : 0;
}

static int times(GHashTable *runs, const struct soak_request *q)
{
	const struct run *run = g_hash_table_lookup(runs, q->id);

	return run ? run->times : 0;
}

static void report_request(const struct soak *s, enum soak_promise promise,
			   const struct soak_request *q)
{
	soak_report(s, promise,
		    "%s %s at VM %d (pid %d), status %d after %lld ms", q->id,
		    q->path, q->vm, (int)q->pid, q->status,
		    (long long)(q->end_ms - q->begin_ms));
}

/* Whether a fault of a kind overlaps a span of time. "subject" 0 means any. */
static int overlaps(const struct soak *s, const char *kind, int subject,
		    int64_t begin_ms, int64_t end_ms)
{
	for (guint i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f =
			&g_array_index(s->faults, struct soak_fault, i);

		if (!strcmp(f->kind, kind) &&
		    (!subject || f->subject == subject) &&
		    f->begin_ms < end_ms && begin_ms < f->end_ms)
			return 1;
	}
	return 0;
}

/* A request that an upstream ran, whose VM was stopping as planned, and whose
 * connection ended without an answer. */
static int is_cut_by_stop(const struct soak *s, GHashTable *runs,
			  const struct soak_request *q)
{
	int64_t from = q->begin_ms - AFTERMATH_MS;

	return !q->status && q->plain && times(runs, q) &&
	       !overlaps(s, "kill", q->vm, from, q->end_ms) &&
	       !overlaps(s, "pause", q->vm, from, q->end_ms);
}

/* What a complete answer promises. */
static void check_answer(const struct soak *s, const struct soak_request *q)
{
	for (int i = SOAK_OWN_ANSWER; i <= SOAK_WHOLE_ANSWER; i++)
		soak_count_check(i);
	if (q->broken)
		report_request(s, q->broken, q);
}

/* A VM that was paused reads what came meanwhile; callers that waited too long
 * have closed their connections, which shows only behind an upload. Silent
 * links hold back what was sent before. */
static void check_caller_gone(const struct soak *s, GHashTable *runs,
			      const struct soak_request *q)
{
	const struct run *run = g_hash_table_lookup(runs, q->id);
	int64_t last = run ? run->last_ms : q->end_ms;

	if (q->status || !strncmp(q->path, "/up/", 4) ||
	    !overlaps(s, "pause", q->vm, q->begin_ms, q->end_ms) ||
	    overlaps(s, "links", 0, q->begin_ms, last))
		return;
	soak_count_check(SOAK_GONE);
	if (last > q->end_ms + MARGIN_MS)
		report_request(s, SOAK_GONE, q);
}

static void check_request(const struct soak *s, GHashTable *runs,
			  const struct soak_request *q)
{
	if (q->status)
		check_answer(s, q);
	if (q->once) {
		soak_count_check(SOAK_ONCE);
		if (times(runs, q) > 1)
			report_request(s, SOAK_ONCE, q);
	}
	if (q->not_run) {
		soak_count_check(SOAK_NOT_RUN);
		if (times(runs, q))
			report_request(s, SOAK_NOT_RUN, q);
	}
	check_caller_gone(s, runs, q);
	if (overlaps(s, "term", q->vm, q->begin_ms, q->end_ms)) {
		soak_count_check(SOAK_PLANNED_STOP);
		if (is_cut_by_stop(s, runs, q))
			report_request(s, SOAK_PLANNED_STOP, q);
	}
}

/* What a request checks that its VM sends to no upstream that left, by what
 * befell that VM since. */
static enum soak_promise left_promise(const struct soak *s,
				      const struct soak_fault *f,
				      const struct soak_request *q)
{
	int64_t from = f->begin_ms - AFTERMATH_MS;

	if (overlaps(s, "pause", q->vm, from, q->begin_ms))
		return SOAK_LEASE;
	if (overlaps(s, "term", q->vm, from, q->begin_ms) ||
	    overlaps(s, "kill", q->vm, from, q->begin_ms) ||
	    overlaps(s, "return", 0, from, q->begin_ms))
		return SOAK_LEFT_RESTART;
	return SOAK_LEFT;
}

/* The last end of faults of a kind that overlap a time. */
static int64_t last_end(const struct soak *s, const char *kind,
			int64_t begin_ms, int64_t end_ms)
{
	int64_t last = 0;

	for (guint i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f =
			&g_array_index(s->faults, struct soak_fault, i);

		if (!strcmp(f->kind, kind) && f->begin_ms < end_ms &&
		    begin_ms < f->end_ms && last < f->end_ms)
			last = f->end_ms;
	}
	return last;
}

/* When all VMs must have acted on the change: a store may have been ill as the
 * upstream left, or have had its older entry again as a VM began to read it. */
static int64_t left_from_ms(const struct soak *s, const struct soak_fault *f,
			    const struct soak_request *q)
{
	int64_t begin = f->begin_ms - AFTERMATH_MS;
	int64_t from = MAX(f->begin_ms, last_end(s, "store", begin,
						 f->begin_ms + SOAK_BOUND_MS));

	if (overlaps(s, "pause", 0, begin, q->begin_ms) ||
	    overlaps(s, "term", 0, begin, q->begin_ms) ||
	    overlaps(s, "kill", 0, begin, q->begin_ms))
		from = MAX(from, last_end(s, "return", begin, q->begin_ms));
	return from + SOAK_BOUND_MS;
}

/* Requests that callers sent after the bound and an upstream ran that had left.
 * Earlier ones may have waited in a silent link. */
static void check_left(const struct soak *s, GHashTable *runs,
		       const struct soak_fault *f)
{
	int64_t to = f->end_ms - MARGIN_MS;

	for (guint i = 0; i < s->requests->len; i++) {
		const struct soak_request *q =
			&g_array_index(s->requests, struct soak_request, i);
		const struct run *run = g_hash_table_lookup(runs, q->id);
		enum soak_promise promise;

		if (!run || q->begin_ms < f->begin_ms || run->last_ms > to ||
		    q->begin_ms < left_from_ms(s, f, q))
			continue;
		promise = left_promise(s, f, q);
		soak_count_check(promise);
		if (run->upstream == f->subject)
			report_request(s, promise, q);
	}
}

struct share {
	int sent;
	int served;
};

/* Counts the plain requests of a span to the VMs of a group that had no fault
 * of their own. */
static struct share count_served(const struct soak *s, int group,
				 int64_t begin_ms, int64_t end_ms)
{
	struct share share = {0};

	for (guint i = 0; i < s->requests->len; i++) {
		const struct soak_request *q =
			&g_array_index(s->requests, struct soak_request, i);
		int64_t from = q->begin_ms - AFTERMATH_MS;

		if (!q->plain || soak_group(q->vm) != group ||
		    q->begin_ms < begin_ms || q->end_ms > end_ms ||
		    overlaps(s, "term", q->vm, from, q->end_ms) ||
		    overlaps(s, "kill", q->vm, from, q->end_ms) ||
		    overlaps(s, "pause", q->vm, from, q->end_ms))
			continue;
		share.sent++;
		share.served += q->status == 200;
	}
	return share;
}

/* Callers of VMs without links are served nearly as often as the others. */
static void check_links(const struct soak *s, const struct soak_fault *f)
{
	int64_t from = f->begin_ms + SOAK_BOUND_MS;
	struct share cut = count_served(s, f->subject - 1, from, f->end_ms);
	struct share rest = count_served(s, 2 - f->subject, from, f->end_ms);

	if (cut.sent < SHARE_MIN || rest.sent < SHARE_MIN)
		return;
	/* The VMs of both groups learned the addresses of the links that are
	 * cut. */
	if (2LL * rest.served < rest.sent)
		return;
	soak_count_check(SOAK_LINKS);
	printf("links cut: %d of %d served, by the others %d of %d\n",
	       cut.served, cut.sent, rest.served, rest.sent);
	if (3LL * cut.served * rest.sent >= 2LL * rest.served * cut.sent)
		return;
	soak_report(s, SOAK_LINKS, "%d of %d in group %d", cut.served, cut.sent,
		    f->subject - 1);
}

/* After the last fault nearly all requests are served. */
static void check_recovery(const struct soak *s)
{
	int64_t end_ms = s->stopped_ms;
	int64_t from = end_ms - (SOAK_QUIET_MS - SOAK_BOUND_MS);
	struct share all = {0};

	for (int group = 0; group < SOAK_GROUPS; group++) {
		struct share share = count_served(s, group, from, end_ms);

		all.sent += share.sent;
		all.served += share.served;
	}
	soak_count_check(SOAK_RECOVERY);
	printf("at the end: %d of %d served\n", all.served, all.sent);
	if (all.sent &&
	    all.served * 100LL >= (long long)RECOVERED_PERCENT * all.sent)
		return;
	soak_report(s, SOAK_RECOVERY, "%d of %d", all.served, all.sent);
}

void soak_check(struct soak *s)
{
	GHashTable *runs = read_runs();

	check_recovery(s);
	soak_check_guilty(s);
	soak_check_keyed(s, find_run, runs);
	soak_check_held(s, find_run, runs);
	for (guint i = 0; i < s->requests->len; i++)
		check_request(
			s, runs,
			&g_array_index(s->requests, struct soak_request, i));
	for (guint i = 0; i < s->faults->len; i++) {
		const struct soak_fault *f =
			&g_array_index(s->faults, struct soak_fault, i);

		if (!strcmp(f->kind, "drain") || !strcmp(f->kind, "leave"))
			check_left(s, runs, f);
		if (!strcmp(f->kind, "links"))
			check_links(s, f);
	}
	g_hash_table_destroy(runs);
}
