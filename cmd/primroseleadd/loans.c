#include "loans.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <string.h>

/* Timeout of a request for a loan, in ms. */
#define BORROW_TIMEOUT_MS 300

/* Tokens requested in one loan. */
#define LOAN_TOKENS 4

/* Most lenders asked in turn for one loan. */
#define LENDERS_MAX 3

/* Retransmission interval of messages about loans, in milliseconds. */
#define RETRANSMIT_MS 100

/* Timeout of the message that returns a loan, in milliseconds. */
#define RETURN_TIMEOUT_MS 2000

/* Most loans of one service that are returned in one tick. */
#define RETURNS_PER_TICK_MAX 32

/* A pending request for a loan. */
struct loan_request {
	struct control *control;
	char service[PRL_NAME_MAX];
	int pool;
	struct grant_loan_terms terms;
	int64_t expires_ms;
	int attempts;
};

static void send_request(struct loan_request *b);

static void send_return(struct control *c, const char *service,
			const char *region, const char *peer, uint64_t id)
{
	const struct member_peer *p = member_find(&c->members, peer);
	struct wire_args args = {.proc = WIRE_RETURN};
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + RETURN_TIMEOUT_MS,
		.retransmit_ms = RETRANSMIT_MS,
	};

	if (!p)
		return;
	args.u.give_back.service = (char *)service;
	args.u.give_back.region = (char *)region;
	args.u.give_back.id = id;
	wire_call(&c->wire, p->vm.rpc, &args, &o, NULL);
}

static void end_request(struct loan_request *b)
{
	struct service_grant *g = grants_find(b->control, b->service);

	if (g)
		g->borrow_id[b->pool] = 0;
	g_free(b);
}

static void try_next_lender(struct loan_request *b)
{
	if (b->attempts < LENDERS_MAX)
		send_request(b);
	else
		end_request(b);
}

static void loan_done(void *ctx, const struct wire_result *result)
{
	struct loan_request *b = ctx;
	struct control *c = b->control;
	struct service_grant *g = grants_find(c, b->service);
	struct grant_loan_terms t = b->terms;

	/*
	 * If the answer was lost, the lender may have made the loan, so it is
	 * returned at once.
	 */
	if (!result)
		send_return(c, b->service, t.pool_name, t.peer, t.id);
	if (!result || result->u.loan.tokens <= 0) {
		try_next_lender(b);
		return;
	}
	t.tokens = result->u.loan.tokens;
	t.base_capacity = result->u.loan.base;
	if (!g || prl_now_ms() >= b->expires_ms ||
	    !grant_borrow(&g->grants, &t, b->expires_ms))
		send_return(c, b->service, t.pool_name, t.peer, t.id);
	else
		metrics_add(&c->proxy.control_metrics, METRIC_TOKENS_BORROWED,
			    (uint64_t)t.tokens);
	end_request(b);
}

static const struct member_peer *find_lender(struct loan_request *b,
					     struct service_grant *g)
{
	const char *name = grant_choose_lender(&g->grants, b->terms.pool_name,
					       control_random() >> 1);
	const struct member_peer *p;

	p = name ? member_find(&b->control->members, name) : NULL;
	if (!p || p->vm.state == MEMBER_DEAD)
		return NULL;
	return p;
}

static void send_request(struct loan_request *b)
{
	struct control *c = b->control;
	struct service_grant *g = grants_find(c, b->service);
	const struct member_peer *p = g ? find_lender(b, g) : NULL;
	struct wire_args args = {.proc = WIRE_BORROW};
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + BORROW_TIMEOUT_MS,
		.retransmit_ms = RETRANSMIT_MS,
		.done = loan_done,
		.discard = g_free,
		.ctx = b,
	};

	if (!p) {
		end_request(b);
		return;
	}
	b->attempts++;
	/*
	 * Each lender gets its own loan id: lenders treat a repeated id as the
	 * same loan.
	 */
	b->terms.id = control_random() | 1;
	memcpy(b->terms.peer, p->vm.name, sizeof(b->terms.peer));
	b->expires_ms = prl_now_ms() + GRANT_LOAN_TERM_MS;
	g->borrow_id[b->pool] = b->terms.id;
	args.u.borrow.service = b->service;
	args.u.borrow.region = b->terms.pool_name;
	args.u.borrow.borrower = (char *)c->settings->vm.name;
	args.u.borrow.id = b->terms.id;
	args.u.borrow.tokens = b->terms.tokens;
	if (wire_call(&c->wire, p->vm.rpc, &args, &o, NULL))
		end_request(b);
}

static void borrow_for_pool(struct service_grant *g, int pool)
{
	struct loan_request *b;

	if (g->borrow_id[pool] || g->control->leaving_since_ms ||
	    g->control->unconfirmed)
		return;
	b = g_new0(struct loan_request, 1);
	b->control = g->control;
	b->pool = pool;
	memcpy(b->service, g->service, sizeof(b->service));
	memcpy(b->terms.pool_name, g->grants.pool[pool].name,
	       sizeof(b->terms.pool_name));
	b->terms.tokens = LOAN_TOKENS;
	send_request(b);
}

/* Whether a service runs in a region whose semaphore has this index. */
static int has_semaphore(const struct control *c, const struct steer_service *s,
			 int index)
{
	for (int r = 0; r < c->builder.nregion; r++)
		if (s->region[r].capacity > 0 &&
		    s->region[r].semaphore_index == index)
			return 1;
	return 0;
}

void loans_handle_shortage(void *ctx, void *item)
{
	struct control *c = ctx;
	int index = GPOINTER_TO_INT(item) - 1;
	GHashTableIter it;
	void *value;

	atomic_store(&c->proxy.semaphore[index].more_requested, 0);
	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_grant *g;

		if (!has_semaphore(c, value, index))
			continue;
		g = grants_get(c, value);
		for (int i = 0; i < g->grants.npool; i++)
			if (g->grants.pool[i].semaphore ==
			    &c->proxy.semaphore[index])
				borrow_for_pool(g, i);
	}
}

void loans_tick(struct control *c, int64_t now)
{
	struct grant_loan_return back[RETURNS_PER_TICK_MAX];
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->grants.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_grant *g = value;
		int n = grant_update_loans(&g->grants, now, back,
					   RETURNS_PER_TICK_MAX);

		for (int i = 0; i < n; i++)
			send_return(c, g->service, back[i].pool_name,
				    back[i].peer, back[i].id);
	}
}

void loans_handle_borrow(struct control *c, const struct wire_request *r,
			 const struct wire_borrow *b)
{
	const struct steer_service *s =
		config_find_service(&c->builder, b->service);
	const struct member_peer *peer = member_find(&c->members, b->borrower);
	struct service_grant *g = grants_find(c, b->service);
	struct wire_result result = {.proc = WIRE_BORROW};
	struct grant_loan_terms t = {.id = b->id, .tokens = b->tokens};
	/* Time for which the borrower may admit requests on the loan. */
	int64_t borrower_use_ms =
		GRANT_LOAN_TERM_MS + c->settings->control.lease;

	snprintf(t.pool_name, sizeof(t.pool_name), "%s", b->region);
	snprintf(t.peer, sizeof(t.peer), "%s", b->borrower);
	t.is_remote = !peer || strcmp(peer->vm.region, b->region) != 0;
	if (g && s && !c->unconfirmed && !c->vm_list.this_is_destroyed)
		grant_lend(&g->grants, &t,
			   prl_now_ms() + borrower_use_ms + s->deadline_ms);
	else
		t.tokens = 0;
	result.u.loan.tokens = t.tokens;
	result.u.loan.base = t.base_capacity;
	wire_reply(&c->wire, r, &result, NULL);
}

void loans_handle_return(struct control *c, const struct wire_request *r,
			 const struct wire_return *b)
{
	struct service_grant *g = grants_find(c, b->service);
	struct wire_result result = {.proc = WIRE_RETURN};

	if (g)
		grant_loan_returned(&g->grants, b->region, b->id);
	wire_reply(&c->wire, r, &result, NULL);
}
