#include "claims.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Timeout of a claim forwarded to its shard's owner, after which this VM writes
 * the claim itself, and the retransmission interval, in milliseconds.
 */
#define FORWARD_TIMEOUT_MS 400
#define FORWARD_RETRANSMIT_MS 100

/* Capacity of the token bucket for writes of claims, in writes. */
#define WRITE_BURST 8

/* Units of the token bucket in one write. */
#define MILLI 1000

/* Origin of a claim. */
enum waiter_kind {
	/* A traffic thread of this VM. */
	WAITER_LOCAL,
	/* Another VM, by a call. */
	WAITER_REMOTE,
};

/* A claim whose shard has not answered yet. */
struct claim_waiter {
	enum waiter_kind kind;
	union {
		struct proxy_claim *local;
		struct wire_request remote;
	} u;
};

static struct shard *get_shard(struct control *c, int index)
{
	struct shard *s = c->claims.shards[index];
	struct claim_options o = {
		.retention_ms = c->settings->control.retention,
		.segment_records = CLAIM_SEGMENT_RECORDS_MAX,
	};

	if (s)
		return s;
	s = g_try_new0(struct shard, 1);
	if (!s)
		return NULL;
	s->control = c;
	s->index = index;
	if (claim_init(&s->claims, &o, NULL)) {
		g_free(s);
		return NULL;
	}
	c->claims.shards[index] = s;
	return s;
}

/*
 * Member index of the VM that owns a shard, by rendezvous hashing. Two VMs that
 * both take themselves for the owner are safe: conditional updates let only one
 * of them write.
 */
static int find_owner(const struct control *c, int index)
{
	int rank[1];

	if (!member_rank(
		    &c->members, NULL,
		    prl_hash_combine(prl_hash_string("claim"), (uint64_t)index),
		    rank, 1))
		return 0;
	return rank[0];
}

void claims_assign_owners(struct control *c)
{
	c->claims.owned_shards = 0;
	for (int i = 0; i < c->settings->control.shards; i++) {
		c->claims.shard_owner[i] = find_owner(c, i);
		c->claims.owned_shards += c->claims.shard_owner[i] == 0;
	}
	/*
	 * A VM without shards may have to write to another owner's shard, so it
	 * needs a share of the write rate, too.
	 */
	if (!c->claims.owned_shards)
		c->claims.owned_shards = 1;
}

static void answer_local(struct proxy_claim *claim,
			 const struct claim_answer *a)
{
	claim->result = *a;
	proxy_deliver_claim(claim);
}

static void answer_remote(struct control *c, const struct wire_request *r,
			  const struct claim_answer *a)
{
	struct wire_result result = {.proc = WIRE_CLAIM};
	struct wire_verdict *v = &result.u.verdict;

	v->verdict = (int)a->verdict;
	v->code = (int)a->code;
	v->token = a->record.token;
	v->status = (int)a->record.status;
	v->http_status = a->record.http_status;
	wire_reply(&c->wire, r, &result, NULL);
}

static void deliver(struct control *c, const struct claim_answer *a)
{
	int64_t id = (int64_t)a->waiter_id;
	struct claim_waiter *w = g_hash_table_lookup(c->claims.waiters, &id);

	if (!w)
		return;
	switch (w->kind) {
	case WAITER_LOCAL:
		answer_local(w->u.local, a);
		break;
	case WAITER_REMOTE:
		answer_remote(c, &w->u.remote, a);
		break;
	}
	g_hash_table_remove(c->claims.waiters, &id);
}

static void deliver_answers(struct shard *s)
{
	struct claim_answer a;

	while (claim_next_answer(&s->claims, &a))
		deliver(s->control, &a);
}

static uint64_t add_waiter(struct control *c, const struct claim_waiter *w)
{
	int64_t *id = g_new(int64_t, 1);

	*id = (int64_t)++c->claims.last_waiter_id;
	g_hash_table_insert(c->claims.waiters, id, g_memdup2(w, sizeof(*w)));
	return (uint64_t)*id;
}

static void start_next_call(struct shard *s);

static int slot_of_key(const char *key)
{
	const char *slash = strrchr(key, '/');

	return slash ? atoi(slash + 1) : -1;
}

static void load_segments(struct shard *s, const struct store_call *call)
{
	struct claim_segment *seg =
		g_new0(struct claim_segment, (gsize)call->nobject + 1);
	struct prl_error err;

	for (int i = 0; i < call->nobject; i++) {
		seg[i].slot = slot_of_key(call->object[i].key);
		seg[i].version = call->object[i].version;
		seg[i].text = call->object[i].value;
		seg[i].len = call->object[i].len;
	}
	if (claim_load_done(&s->claims, seg, call->nobject, &err))
		log_event(LOG_LEVEL_ERROR, "claims", "error", err.text, NULL);
	g_free(seg);
}

static void load_done(struct store_call *call)
{
	struct shard *s = call->ctx;

	s->calling = 0;
	if (call->err.code)
		claim_store_failed(&s->claims, PRL_E_STORE_DOWN);
	else
		load_segments(s, call);
	store_call_finish(call);
	deliver_answers(s);
	start_next_call(s);
}

static void write_done(struct store_call *call)
{
	struct shard *s = call->ctx;

	s->calling = 0;
	switch (call->err.code) {
	case PRL_OK:
		claim_write_done(&s->claims, call->revision, prl_wall_ms());
		break;
	case PRL_E_CONFLICT:
		claim_write_conflict(&s->claims);
		break;
	case PRL_E_UNSETTLED:
		claim_write_unsettled(&s->claims);
		break;
	default:
		claim_store_failed(&s->claims, PRL_E_STORE_DOWN);
		break;
	}
	store_call_finish(call);
	deliver_answers(s);
	start_next_call(s);
}

static void start_call(struct shard *s, enum store_op op,
		       const struct claim_write *w)
{
	struct control *c = s->control;
	struct store_call *call = &s->call;

	memset(call, 0, sizeof(*call));
	call->op = op;
	call->deadline_ms = prl_now_ms() + c->settings->store.timeout;
	call->ctx = s;
	if (op == STORE_LIST) {
		snprintf(call->key, sizeof(call->key), STORE_PREFIX_CLAIM "%d/",
			 s->index);
		call->done = load_done;
	} else {
		snprintf(call->key, sizeof(call->key),
			 STORE_PREFIX_CLAIM "%d/%d", s->index, w->slot);
		call->version = w->expected_version;
		call->value = w->text;
		call->len = w->len;
		call->done = write_done;
	}
	if (store_call_start(&c->store, call, NULL)) {
		claim_store_failed(&s->claims, PRL_E_STORE_DOWN);
		deliver_answers(s);
		return;
	}
	s->calling = 1;
}

static void arm_timer(struct control *c, int64_t when)
{
	if (when < c->claims.timer.deadline_ms)
		c->claims.timer.deadline_ms = when;
}

/*
 * Refills the token bucket that holds this VM to its share of the store's write
 * rate. Returns 1 if it holds a write, else arms the timer and returns 0. While
 * the bucket is empty, claims accumulate and are written as one batch.
 */
static int has_write_credit(struct control *c)
{
	int64_t now = prl_now_ms();
	/* In thousandths of a write per second. */
	int64_t rate_milli = c->settings->store.writes * MILLI *
			     c->claims.owned_shards /
			     c->settings->control.shards;
	int64_t missing;

	c->claims.write_credit_milli +=
		(now - c->claims.write_refilled_ms) * rate_milli / MILLI;
	c->claims.write_refilled_ms = now;
	if (c->claims.write_credit_milli > (int64_t)WRITE_BURST * MILLI)
		c->claims.write_credit_milli = (int64_t)WRITE_BURST * MILLI;
	missing = MILLI - c->claims.write_credit_milli;
	if (missing <= 0)
		return 1;
	arm_timer(c, now + 1 + missing * MILLI / (rate_milli ? rate_milli : 1));
	return 0;
}

/*
 * Starts the shard's next store call, unless one is pending, nothing is queued
 * or the token bucket is empty.
 */
static void start_next_call(struct shard *s)
{
	struct claim_write w;

	if (s->calling || !claim_has_pending(&s->claims) ||
	    !has_write_credit(s->control))
		return;
	switch (claim_next_action(&s->claims, prl_wall_ms(), &w)) {
	case CLAIM_LOAD:
		start_call(s, STORE_LIST, NULL);
		break;
	case CLAIM_WRITE:
		s->control->claims.write_credit_milli -= MILLI;
		start_call(s, STORE_PUT, &w);
		break;
	case CLAIM_IDLE:
		/*
		 * Outcomes wait up to CLAIM_OUTCOME_DELAY_MS to share a write
		 * with claims; the timer writes them if none comes.
		 */
		arm_timer(s->control, prl_now_ms() + CLAIM_OUTCOME_DELAY_MS);
		break;
	}
	deliver_answers(s);
}

/* Round-robin order, so that a busy shard does not starve the others. */
static void on_claim_timer(struct loop_timer *t, int64_t now)
{
	struct control *c = t->ctx;
	int n = (int)c->settings->control.shards;

	(void)now;
	for (int k = 0; k < n; k++) {
		int i = (c->claims.next_shard + k) % n;

		if (c->claims.shards[i])
			start_next_call(c->claims.shards[i]);
	}
	c->claims.next_shard = (c->claims.next_shard + 1) % n;
}

static void refuse(struct control *c, const struct claim_record *r,
		   uint64_t waiter)
{
	struct claim_answer a = {.verdict = CLAIM_REFUSED,
				 .record = *r,
				 .code = PRL_E_LIMIT,
				 .waiter_id = waiter};

	deliver(c, &a);
}

static void submit(struct control *c, int index, const struct claim_record *r,
		   uint64_t waiter)
{
	struct shard *s = get_shard(c, index);

	if (!s || claim_submit(&s->claims, r, waiter)) {
		refuse(c, r, waiter);
		return;
	}
	start_next_call(s);
}

static void submit_local(struct control *c, int index,
			 struct proxy_claim *claim)
{
	struct claim_waiter w = {.kind = WAITER_LOCAL, .u.local = claim};

	if (claim->handle) {
		submit(c, index, &claim->record, add_waiter(c, &w));
		return;
	}
	submit(c, index, &claim->record, 0);
	g_free(claim);
}

/* A claim that was forwarded to the owner of its shard. */
struct forwarded_claim {
	struct control *control;
	struct proxy_claim *claim;
	int index;
};

static void read_verdict(const struct wire_verdict *v,
			 const struct claim_record *claim,
			 struct claim_answer *out)
{
	out->verdict = (enum claim_verdict)v->verdict;
	out->code = (enum prl_code)v->code;
	out->record = *claim;
	out->record.token = v->token;
	out->record.status = (enum claim_status)v->status;
	out->record.http_status = v->http_status;
}

static void forward_done(void *ctx, const struct wire_result *result)
{
	struct forwarded_claim *f = ctx;
	struct proxy_claim *claim = f->claim;
	struct claim_answer answer = {.verdict = CLAIM_REFUSED};

	if (result)
		read_verdict(&result->u.verdict, &claim->record, &answer);
	/* The owner may have written the claim although no answer says so. A
	 * second claim with the same token is then granted, not refused. */
	if (result && !claim->handle)
		g_free(claim);
	else if (result && claim_answer_is_valid(&answer, &claim->record))
		answer_local(claim, &answer);
	else
		submit_local(f->control, f->index, claim);
	g_free(f);
}

static void forward_discard(void *ctx)
{
	struct forwarded_claim *f = ctx;

	g_free(f->claim);
	g_free(f);
}

static void forward_to_owner(struct control *c, int index, int peer,
			     struct proxy_claim *claim)
{
	struct wire_args args = {.proc = WIRE_CLAIM};
	struct forwarded_claim *f = g_new0(struct forwarded_claim, 1);
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + FORWARD_TIMEOUT_MS,
		.retransmit_ms = FORWARD_RETRANSMIT_MS,
		.done = forward_done,
		.discard = forward_discard,
		.ctx = f,
	};

	f->control = c;
	f->claim = claim;
	f->index = index;
	args.u.claim.shard = (u_int)index;
	args.u.claim.key_high = claim->record.key.high;
	args.u.claim.key_low = claim->record.key.low;
	args.u.claim.token = claim->record.token;
	args.u.claim.status = (int)claim->record.status;
	args.u.claim.code = claim->record.http_status;
	if (wire_call(&c->wire, c->members.peer[peer].vm.rpc, &args, &o,
		      NULL)) {
		g_free(f);
		submit_local(c, index, claim);
	}
}

void claims_handle_local(void *ctx, void *item)
{
	struct control *c = ctx;
	struct proxy_claim *claim = item;
	int index = claim_shard_index(claim->record.key,
				      (int)c->settings->control.shards);
	int peer = c->claims.shard_owner[index];

	/* Member indexes may have changed since the owners were computed. */
	if (peer && peer < c->members.npeer)
		forward_to_owner(c, index, peer, claim);
	else
		submit_local(c, index, claim);
}

void claims_handle_remote(struct control *c, const struct wire_request *r,
			  const struct wire_claim *w)
{
	struct claim_waiter waiter = {.kind = WAITER_REMOTE, .u.remote = *r};
	struct claim_record record = {
		.key = {.high = w->key_high, .low = w->key_low},
		.token = w->token,
		.status = (enum claim_status)w->status,
		.http_status = w->code,
	};

	if (w->shard >= (u_int)c->settings->control.shards ||
	    w->status < CLAIM_OPEN || w->status > CLAIM_RELEASED || !w->token)
		return;
	submit(c, (int)w->shard, &record, add_waiter(c, &waiter));
}

enum prl_code claims_init(struct control *c, struct prl_error *err)
{
	c->claims.shards = calloc((size_t)c->settings->control.shards,
				  sizeof(struct shard *));
	c->claims.write_credit_milli = WRITE_BURST * MILLI;
	c->claims.shard_owner = calloc((size_t)c->settings->control.shards,
				       sizeof(*c->claims.shard_owner));
	if (!c->claims.shards || !c->claims.shard_owner)
		return prl_error_set(err, PRL_E_MEMORY,
				     "table of claim shards: out of memory");
	c->claims.waiters = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	c->claims.timer.on_expiry = on_claim_timer;
	c->claims.timer.ctx = c;
	loop_timer_add(&c->loop, &c->claims.timer);
	return PRL_OK;
}

void claims_finish(struct control *c)
{
	for (int i = 0; i < c->settings->control.shards; i++) {
		struct shard *s = c->claims.shards[i];

		if (!s)
			continue;
		if (s->calling)
			store_call_cancel(&s->call);
		claim_finish(&s->claims);
		g_free(s);
	}
	free(c->claims.shards);
	free(c->claims.shard_owner);
	g_hash_table_destroy(c->claims.waiters);
}
