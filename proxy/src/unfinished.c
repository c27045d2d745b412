#include "unfinished.h"
#include "attempt.h"
#include "quota.h"
#include <primroselead/clock.h>
#include <string.h>
#include <sys/param.h>

/* Part of a service's slots, divided among the fleet's threads, that requests
 * may take whose body has not come. */
#define SLOTS_SHARE 2

/* Time in ms after which a caller is stalled that has sent or read less than
 * the next number of bytes. */
#define STALLED_MS 1000
#define PROGRESS_MIN_BYTES 1024

/* Time in ms between two looks after which this thread has stood still. */
#define STOOD_STILL_MS 400

/* Stalled requests that are ended at a time. */
#define ENDED_MAX 8

static int count_slots(const struct steer_service *s)
{
	int n = 0;

	for (int i = 0; i < s->nupstream; i++)
		n += s->upstream[i].slots > 0 ? s->upstream[i].slots : 1;
	return n;
}

static const struct steer_service *find_service(const struct proxy_request *r)
{
	int i;

	if (!r->routed)
		return r->service;
	i = steer_find_service(r->view, r->service_name,
			       strlen(r->service_name));
	return i == STEER_NONE ? NULL : r->view->service[i];
}

/* Whether one more request of this service may start before its body has come.
 */
static int has_place(const struct proxy_request *r)
{
	const struct proxy_thread *t = r->thread;
	const struct steer_service *s;
	int threads;

	if (!t->unfinished.nstarted)
		return 1;
	s = find_service(r);
	if (!s)
		return 1;
	threads = (r->view->nactive > 0 ? r->view->nactive : 1) *
		  t->proxy->nthread;
	return t->unfinished.nstarted < count_slots(s) / SLOTS_SHARE / threads;
}

int unfinished_is_held(const struct proxy_request *r)
{
	return r->unfinished.state == UNFINISHED_HELD ||
	       r->unfinished.state == UNFINISHED_FULL;
}

static void unqueue(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;
	struct proxy_request **p = &t->unfinished.first;

	while (*p && *p != r)
		p = &(*p)->unfinished.next;
	if (*p)
		*p = r->unfinished.next;
}

static void enqueue(struct proxy_request *r)
{
	struct proxy_request **p = &r->thread->unfinished.first;

	while (*p)
		p = &(*p)->unfinished.next;
	*p = r;
	r->unfinished.next = NULL;
}

static void start(struct proxy_request *r)
{
	if (r->routed)
		suspects_dispatch(r);
	else
		request_admit(r);
}

static void start_unfinished(struct proxy_request *r)
{
	r->unfinished.state = UNFINISHED_STARTED;
	r->thread->unfinished.nstarted++;
	start(r);
}

/* Tokens of requests that are held for long would let more of them run at once
 * than the quota allows. */
static void hold(struct proxy_request *r)
{
	enqueue(r);
	r->unfinished.state = UNFINISHED_HELD;
	quota_finish(r);
}

/* Returns 0 if the request was refused. */
static int admit_held(struct proxy_request *r)
{
	if (r->routed)
		request_use_newest_view(r);
	return quota_admit(r);
}

void unfinished_dispatch(struct proxy_request *r)
{
	r->unfinished.progress_ms = prl_now_ms();
	if (!r->has_body)
		start(r);
	else if (has_place(r))
		start_unfinished(r);
	else
		hold(r);
}

void unfinished_received(struct proxy_request *r, size_t n, int is_full)
{
	r->unfinished.bytes += n;
	if (is_full && r->unfinished.state == UNFINISHED_HELD)
		r->unfinished.state = UNFINISHED_FULL;
}

static void set_stalled(struct proxy_request *r, int is_stalled)
{
	r->thread->unfinished.nstalled += is_stalled - r->unfinished.is_stalled;
	r->unfinished.is_stalled = is_stalled;
}

void unfinished_release(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	set_stalled(r, 0);
	if (unfinished_is_held(r))
		unqueue(r);
	if (r->unfinished.state == UNFINISHED_STARTED) {
		t->unfinished.nstarted--;
		if (t->unfinished.first)
			t->sweep_timer.deadline_ms = prl_now_ms();
	}
	r->unfinished.state = UNFINISHED_NONE;
}

void unfinished_ended(struct proxy_request *r)
{
	int is_held = unfinished_is_held(r);

	unfinished_release(r);
	if (is_held && admit_held(r))
		start(r);
}

static void fail_held(struct proxy_request *r, const char *cause)
{
	unfinished_release(r);
	metrics_add(&r->thread->metrics, METRIC_REQUESTS_SHED, 1);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

/* Whether the caller has to go on: to send its body, or to read the rest of an
 * answer for which an upstream waits. */
static int is_callers_turn(const struct proxy_request *r)
{
	if (!r->conn || r->suspended)
		return 0;
	return r->unfinished.state != UNFINISHED_NONE ||
	       (r->responded && r->transfer_active);
}

/* Whether this thread has not run for a while: what came meanwhile has not been
 * read. */
static int has_stood_still(const struct proxy_thread *t, int64_t now)
{
	return now > t->unfinished.swept_ms + STOOD_STILL_MS;
}

/* The kernel takes more of an answer than the caller has read. */
static void count_acknowledged(struct proxy_request *r)
{
	int64_t n = serve_taken_bytes(r->conn);

	if (n >= 0)
		r->unfinished.bytes = (uint64_t)n;
}

static void measure(struct proxy_request *r, int64_t now)
{
	struct request_unfinished *u = &r->unfinished;
	int is_turn = is_callers_turn(r);

	if (is_turn && r->responded)
		count_acknowledged(r);
	if (!is_turn || has_stood_still(r->thread, now) ||
	    u->bytes - u->bytes_before >= PROGRESS_MIN_BYTES) {
		u->progress_ms = now;
		u->bytes_before = u->bytes;
	}
	set_stalled(r, now >= u->progress_ms + STALLED_MS);
}

void unfinished_tick(struct proxy_request *r, int64_t now)
{
	measure(r, now);
	if (unfinished_is_held(r) && now >= r->deadline_ms)
		fail_held(r, "the deadline passed before the body had come");
}

/* Ends a stalled request: one that is held gets an answer, the connection of
 * another one is closed. */
static void end_stalled(struct proxy_request *r)
{
	set_stalled(r, 0);
	metrics_add(&r->thread->metrics, METRIC_CALLERS_STALLED, 1);
	if (unfinished_is_held(r))
		fail_held(r, "the body came too slowly");
	else
		serve_close(r->conn);
}

static int is_in_the_way(const struct proxy_request *r, const char *service)
{
	if (!r || !r->unfinished.is_stalled)
		return 0;
	return !service || (r->transfer_active && !unfinished_is_held(r) &&
			    !strcmp(r->service_name, service));
}

void unfinished_end_stalled(struct proxy_thread *t, const char *service)
{
	int left = ENDED_MAX;

	for (int i = 0; t->unfinished.nstalled && i < t->max_requests; i++) {
		if (!is_in_the_way(t->request[i], service))
			continue;
		end_stalled(t->request[i]);
		if (!--left)
			return;
	}
}

/* Answers that are not read hold memory that others need: ends as many as hold
 * what there is too much of. */
static void end_unread(struct proxy_thread *t)
{
	const struct body_budget *budget = &t->answer_budget;
	size_t surplus =
		budget->used > budget->max ? budget->used - budget->max : 0;

	if (!budget->max)
		return;
	for (int i = 0;
	     surplus && t->unfinished.nstalled && i < t->max_requests; i++) {
		struct proxy_request *r = t->request[i];

		if (!r || !r->unfinished.is_stalled || !r->responded)
			continue;
		surplus -= MIN(surplus, r->response_body.allocated);
		end_stalled(r);
	}
}

/* Requests whose buffers are full go first; stalled ones wait. */
static struct proxy_request *choose_next(const struct proxy_thread *t)
{
	struct proxy_request *next = NULL;

	for (struct proxy_request *r = t->unfinished.first; r;
	     r = r->unfinished.next) {
		if (r->unfinished.state == UNFINISHED_FULL)
			return r;
		if (!next && !r->unfinished.is_stalled)
			next = r;
	}
	return next;
}

void unfinished_sweep(struct proxy_thread *t)
{
	struct proxy_request *r = choose_next(t);

	t->unfinished.swept_ms = prl_now_ms();
	end_unread(t);
	for (; r && has_place(r); r = choose_next(t)) {
		unqueue(r);
		r->unfinished.state = UNFINISHED_NONE;
		if (admit_held(r))
			start_unfinished(r);
	}
	if (r && r->unfinished.state == UNFINISHED_FULL)
		unfinished_end_stalled(t, NULL);
}
