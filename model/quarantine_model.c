#include "quarantine_model.h"
#include <primroselead/hash.h>
#include <primroselead/quarantine.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 6
#define UPSTREAMS 8
/* Requests that end upstreams, and others. */
#define GUILTY 3
#define INNOCENT 12
#define REQUESTS (GUILTY + INNOCENT)
#define RUNS_MAX 256
#define MESSAGES_MAX 512
#define MESSAGE_RECORDS 8

#define STEP_MS 10
/* Time in which all VMs must know that a request has ended three upstreams, if
 * no fault came meanwhile, and the ends that are allowed after it. */
#define KNOWN_MS 4000
#define LATE_ENDS_MAX 3

#define RUN_MS 60
#define AWAY_MS 500
#define PROBE_MAX_MS 100
#define NEWS_INTERVAL_MS 100
#define SAMPLE_INTERVAL_MS 1000
#define FANOUT 4
#define MESSAGE_MAX_MS 150
#define MESSAGE_LOSS_PERCENT 20
#define START_MS 300
#define LOAD_MAX_MS 2000
#define FAULT_MAX_MS 3000
/* Faults come only in the first part of a run, in percent. */
#define FAULTY_PART_PERCENT 60

struct model_vm {
	struct quarantine table;
	int alive;
	int64_t back_ms;
	int64_t started_ms;
	/** Serves requests. */
	int ready;
	int side;
	int64_t next_news_ms;
	int64_t next_sample_ms;
};

/** A request at an upstream, or one whose end its VM is finding out about. */
struct model_run {
	int used;
	int vm;
	int64_t vm_started_ms;
	int request;
	int upstream;
	uint64_t upstream_id;
	int64_t end_ms;
	int is_alone;
	/** The upstream has ended; the VM learns it at "end_ms". */
	int is_broken;
};

struct model_message {
	int used;
	int from;
	int to;
	int64_t at_ms;
	int is_reply;
	struct quarantine_record record[MESSAGE_RECORDS];
	int n;
};

struct quarantine_world {
	struct quarantine_model_result *result;
	uint64_t random_state;
	uint64_t drawn;
	int64_t now_ms;
	struct model_vm vm[VMS];
	struct {
		uint64_t id;
		int64_t back_ms;
	} upstream[UPSTREAMS];
	uint64_t last_id;
	struct model_run run[RUNS_MAX];
	struct model_message message[MESSAGES_MAX];
	/** What the store keeps. */
	struct quarantine_record kept[REQUESTS];
	int is_kept[REQUESTS];
	int64_t store_back_ms;
	int64_t whole_again_ms;
	/** When the last fault ended. */
	int64_t disturbed_ms;
	/** By request: ends since the fleet last knew nothing, when the third
	 * came, and the late ones. */
	int ends[REQUESTS];
	int64_t third_ms[REQUESTS];
	int late[REQUESTS];
};

static uint32_t draw(struct quarantine_world *w, uint32_t n)
{
	w->random_state = prl_hash_combine(w->random_state, ++w->drawn);
	return (uint32_t)(w->random_state >> 16) % n;
}

static void fail(struct quarantine_world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void fail(struct quarantine_world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->result->failure[0])
		return;
	va_start(ap, fmt);
	vsnprintf(w->result->failure, sizeof(w->result->failure), fmt, ap);
	va_end(ap);
}

static struct prl_hash128 digest_of(int request)
{
	return (struct prl_hash128){7, (uint64_t)request + 1};
}

static int store_is_up(const struct quarantine_world *w)
{
	return w->now_ms >= w->store_back_ms;
}

static int in_touch(const struct quarantine_world *w, int a, int b)
{
	return w->now_ms >= w->whole_again_ms || w->vm[a].side == w->vm[b].side;
}

/* Messages */

static struct model_message *new_message(struct quarantine_world *w)
{
	for (int i = 0; i < MESSAGES_MAX; i++)
		if (!w->message[i].used)
			return &w->message[i];
	return NULL;
}

static void send_records(struct quarantine_world *w, int from, int to,
			 const struct quarantine_record *record, int n,
			 int is_reply)
{
	struct model_message *m = new_message(w);

	if (!m || !n || from == to || draw(w, 100) < MESSAGE_LOSS_PERCENT)
		return;
	*m = (struct model_message){
		.used = 1,
		.from = from,
		.to = to,
		.at_ms = w->now_ms + 1 + draw(w, MESSAGE_MAX_MS),
		.is_reply = is_reply,
		.n = n,
	};
	memcpy(m->record, record, (size_t)n * sizeof(*record));
}

static void deliver(struct quarantine_world *w, struct model_message *m)
{
	struct model_vm *v = &w->vm[m->to];
	struct quarantine_record better[MESSAGE_RECORDS];
	int n = 0;

	m->used = 0;
	if (!v->alive || !in_touch(w, m->from, m->to))
		return;
	for (int i = 0; i < m->n; i++)
		if (quarantine_merge(&v->table, &m->record[i], w->now_ms) ==
		    QUARANTINE_OUTDATED)
			better[n++] =
				quarantine_find(&v->table, &m->record[i].digest)
					->record;
	if (!m->is_reply)
		send_records(w, m->to, m->from, better, n, 1);
}

static void tell(struct quarantine_world *w, int i)
{
	struct model_vm *v = &w->vm[i];
	struct quarantine_record out[MESSAGE_RECORDS];
	int n;

	if (w->now_ms >= v->next_news_ms) {
		v->next_news_ms = w->now_ms + NEWS_INTERVAL_MS;
		n = quarantine_take_news(&v->table, out, MESSAGE_RECORDS);
		for (int k = 0; k < FANOUT; k++)
			send_records(w, i, (int)draw(w, VMS), out, n, 0);
	}
	if (w->now_ms >= v->next_sample_ms) {
		v->next_sample_ms = w->now_ms + SAMPLE_INTERVAL_MS;
		n = quarantine_sample(&v->table, out, MESSAGE_RECORDS);
		send_records(w, i, (int)draw(w, VMS), out, n, 0);
	}
}

/* The store */

static void keep(struct quarantine_world *w, int i)
{
	struct quarantine *q = &w->vm[i].table;

	for (int k = 0; k < q->nentry && store_is_up(w); k++) {
		struct quarantine_entry *e = &q->entry[k];
		int request = (int)e->record.digest.low - 1;

		if (quarantine_is_active(e) && !e->record.kept_era) {
			e->record.kept_era = 1;
			e->must_tell = 1;
			w->kept[request] = e->record;
			w->is_kept[request] = 1;
		}
		if (e->must_remove && !e->record.ncrash)
			w->is_kept[request] = 0;
		e->must_remove = 0;
	}
}

static void load(struct quarantine_world *w, struct model_vm *v)
{
	if (!store_is_up(w) && w->now_ms < v->started_ms + LOAD_MAX_MS)
		return;
	v->ready = 1;
	for (int i = 0; i < REQUESTS && store_is_up(w); i++)
		if (w->is_kept[i])
			quarantine_merge(&v->table, &w->kept[i], w->now_ms);
}

/* Requests */

static int is_guilty(int request)
{
	return request < GUILTY;
}

/* Whether any VM or the store still knows of all three ends. */
static int is_known(struct quarantine_world *w, int request)
{
	struct prl_hash128 digest = digest_of(request);

	if (w->is_kept[request])
		return 1;
	for (int i = 0; i < VMS; i++) {
		const struct quarantine_entry *e =
			quarantine_find(&w->vm[i].table, &digest);

		if (w->vm[i].alive && e && quarantine_is_active(e))
			return 1;
	}
	return 0;
}

/* What the whole fleet has forgotten with its processes, while the store was
 * away, begins anew. */
static void forget_lost(struct quarantine_world *w)
{
	for (int i = 0; i < GUILTY; i++) {
		if (w->ends[i] < QUARANTINE_CRASHES || is_known(w, i))
			continue;
		w->ends[i] = 0;
		w->late[i] = 0;
	}
}

static void count_end(struct quarantine_world *w, int request)
{
	int64_t must_know_ms = w->third_ms[request] > w->disturbed_ms
				       ? w->third_ms[request]
				       : w->disturbed_ms;

	w->result->ends++;
	if (w->ends[request] >= QUARANTINE_CRASHES &&
	    w->now_ms - RUN_MS > must_know_ms + KNOWN_MS) {
		w->late[request]++;
		w->result->late_ends++;
	}
	if (w->late[request] > LATE_ENDS_MAX)
		fail(w,
		     "at %lld ms: request %d has ended %d upstreams after all "
		     "must know",
		     (long long)w->now_ms, request, w->late[request]);
	if (++w->ends[request] == QUARANTINE_CRASHES)
		w->third_ms[request] = w->now_ms;
}

static void end_upstream(struct quarantine_world *w, int upstream)
{
	for (int i = 0; i < RUNS_MAX; i++) {
		struct model_run *r = &w->run[i];

		if (!r->used || r->is_broken || r->upstream != upstream)
			continue;
		r->is_broken = 1;
		r->end_ms = w->now_ms + 1 + draw(w, PROBE_MAX_MS);
	}
	w->upstream[upstream].back_ms = w->now_ms + AWAY_MS;
}

static void release(struct model_vm *v, struct model_run *r)
{
	struct prl_hash128 digest = digest_of(r->request);

	if (r->is_alone)
		quarantine_leave(&v->table, &digest);
	r->used = 0;
}

/* A run ends: with a response, with its upstream, or as its VM learns that. */
static void end_run(struct quarantine_world *w, struct model_run *r)
{
	struct model_vm *v = &w->vm[r->vm];
	struct prl_hash128 digest = digest_of(r->request);
	int is_of_vm = v->alive && v->started_ms == r->vm_started_ms;

	if (!r->is_broken && is_guilty(r->request)) {
		count_end(w, r->request);
		end_upstream(w, r->upstream);
		return;
	}
	if (!is_of_vm) {
		r->used = 0;
		return;
	}
	if (r->is_broken) {
		quarantine_crashed(&v->table, &digest, digest.low,
				   r->upstream_id, NULL, w->now_ms);
	} else {
		w->result->innocent_answered++;
		quarantine_clear(&v->table, &digest, w->now_ms);
	}
	release(v, r);
}

static struct model_run *new_run(struct quarantine_world *w)
{
	for (int i = 0; i < RUNS_MAX; i++)
		if (!w->run[i].used)
			return &w->run[i];
	return NULL;
}

static void start_run(struct quarantine_world *w, int vm, int request,
		      int is_alone)
{
	struct model_run *r = new_run(w);
	int u = (int)draw(w, UPSTREAMS);
	struct prl_hash128 digest = digest_of(request);

	if (!r || w->now_ms < w->upstream[u].back_ms) {
		if (is_alone)
			quarantine_leave(&w->vm[vm].table, &digest);
		return;
	}
	*r = (struct model_run){
		.used = 1,
		.vm = vm,
		.vm_started_ms = w->vm[vm].started_ms,
		.request = request,
		.upstream = u,
		.upstream_id = w->upstream[u].id,
		.end_ms = w->now_ms + RUN_MS,
		.is_alone = is_alone,
	};
}

static void send_request(struct quarantine_world *w, int request)
{
	int vm = (int)draw(w, VMS);
	struct model_vm *v = &w->vm[vm];
	struct prl_hash128 digest = digest_of(request);
	enum quarantine_verdict verdict;

	if (!v->alive || !v->ready)
		return;
	verdict = quarantine_enter(&v->table, &digest, w->now_ms);
	w->result->innocent += !is_guilty(request);
	if (verdict == QUARANTINE_REJECT || verdict == QUARANTINE_BUSY) {
		w->result->innocent_rejected += !is_guilty(request);
		return;
	}
	start_run(w, vm, request, verdict == QUARANTINE_ALONE);
}

/* Faults */

static void kill_vm(struct quarantine_world *w, int i)
{
	w->vm[i].alive = 0;
	w->vm[i].back_ms = w->now_ms + START_MS;
}

static void disturb_until(struct quarantine_world *w, int64_t until_ms)
{
	w->result->faults++;
	if (until_ms > w->disturbed_ms)
		w->disturbed_ms = until_ms;
}

static void inject_fault(struct quarantine_world *w)
{
	int64_t until_ms = w->now_ms + 100 + draw(w, FAULT_MAX_MS);

	switch (draw(w, 4)) {
	case 0:
		kill_vm(w, (int)draw(w, VMS));
		until_ms = w->now_ms + START_MS + LOAD_MAX_MS;
		break;
	case 1:
		for (int i = 0; i < VMS; i++)
			kill_vm(w, i);
		until_ms = w->now_ms + START_MS + LOAD_MAX_MS;
		break;
	case 2:
		for (int i = 0; i < VMS; i++)
			w->vm[i].side = (int)draw(w, 2);
		w->whole_again_ms = until_ms;
		break;
	default:
		w->store_back_ms = until_ms;
		break;
	}
	disturb_until(w, until_ms);
}

static void start_vm(struct quarantine_world *w, struct model_vm *v)
{
	memset(v, 0, sizeof(*v));
	v->alive = 1;
	v->started_ms = w->now_ms;
}

static void step_vm(struct quarantine_world *w, int i)
{
	struct model_vm *v = &w->vm[i];

	if (!v->alive && w->now_ms >= v->back_ms)
		start_vm(w, v);
	if (!v->alive)
		return;
	if (!v->ready)
		load(w, v);
	tell(w, i);
	keep(w, i);
}

static void step_upstreams(struct quarantine_world *w)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		if (!w->upstream[i].back_ms ||
		    w->now_ms < w->upstream[i].back_ms)
			continue;
		w->upstream[i].id = ++w->last_id;
		w->upstream[i].back_ms = 0;
	}
}

static void step(struct quarantine_world *w)
{
	w->now_ms += STEP_MS;
	step_upstreams(w);
	for (int i = 0; i < RUNS_MAX; i++)
		if (w->run[i].used && w->now_ms >= w->run[i].end_ms)
			end_run(w, &w->run[i]);
	for (int i = 0; i < MESSAGES_MAX; i++)
		if (w->message[i].used && w->now_ms >= w->message[i].at_ms)
			deliver(w, &w->message[i]);
	for (int i = 0; i < VMS; i++)
		step_vm(w, i);
	for (int i = 0; i < REQUESTS; i++)
		if (!draw(w, 15))
			send_request(w, i);
	forget_lost(w);
}

static void count_convicted(struct quarantine_world *w)
{
	for (int i = 0; i < VMS; i++)
		for (int k = GUILTY; k < REQUESTS; k++) {
			struct prl_hash128 digest = digest_of(k);

			w->result->innocent_convicted +=
				quarantine_enter(&w->vm[i].table, &digest,
						 w->now_ms) ==
				QUARANTINE_REJECT;
		}
}

int quarantine_model_run(uint64_t seed, int64_t duration_ms,
			 struct quarantine_model_result *out)
{
	struct quarantine_world *w = calloc(1, sizeof(*w));

	if (!w)
		return -1;
	memset(out, 0, sizeof(*out));
	w->result = out;
	w->random_state = seed;
	w->now_ms = 1000000;
	for (int i = 0; i < VMS; i++)
		start_vm(w, &w->vm[i]);
	for (int i = 0; i < UPSTREAMS; i++)
		w->upstream[i].id = ++w->last_id;
	for (int64_t ms = 0; ms < duration_ms && !out->failure[0];
	     ms += STEP_MS) {
		if (ms * 100 < duration_ms * FAULTY_PART_PERCENT &&
		    !draw(w, 150))
			inject_fault(w);
		step(w);
	}
	count_convicted(w);
	free(w);
	return out->failure[0] ? -1 : 0;
}
