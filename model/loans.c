#include "world.h"
#include <stdio.h>
#include <string.h>

/* Time between two loan requests of one VM, in milliseconds. */
#define LOAN_REQUEST_INTERVAL_MS 50

static const char *const region_names[REGIONS] = {"norte", "centro", "sur"};

static struct fake_message *
new_message(struct world *w, enum loan_message_type kind, int from, int to)
{
	for (int i = 0; i < MESSAGES_MAX; i++) {
		struct fake_message *n = &w->message[i];

		if (n->type != LOAN_MESSAGE_FREE)
			continue;
		memset(n, 0, sizeof(*n));
		n->type = kind;
		n->from = from;
		n->to = to;
		n->from_incarnation = w->vm[from].incarnation;
		n->to_incarnation = w->vm[to].incarnation;
		return n;
	}
	return NULL;
}

static void send_return(struct world *w, int from, int to,
			const struct grant_loan_terms *t)
{
	struct fake_message *n = new_message(w, LOAN_RETURN, from, to);

	if (n)
		n->terms = *t;
}

static void request_loan(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	const char *region = region_names[v->exhausted_region];
	const char *peer =
		grant_choose_lender(&v->grant, region, choose(w, 64));
	struct fake_message *n;

	v->exhausted_region = -1;
	v->next_loan_request_ms = w->now_ms + LOAN_REQUEST_INTERVAL_MS;
	if (!peer)
		return;
	n = new_message(w, LOAN_REQUEST, i, peer[2] - '0');
	if (!n)
		return;
	n->requested_at_ms = w->now_ms;
	n->terms.id = ++w->next_token;
	n->terms.tokens = 1 + (int)choose(w, 4);
	strcpy(n->terms.pool_name, region);
	v->loan_request_id = n->terms.id;
}

void loans_tick(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	struct grant_loan_return back[8];
	int n = grant_update_loans(&v->grant, w->now_ms, back, 8);

	for (int k = 0; k < n; k++) {
		struct grant_loan_terms t = {.id = back[k].id};

		strcpy(t.pool_name, back[k].pool_name);
		send_return(w, i, back[k].peer[2] - '0', &t);
	}
	if (v->exhausted_region >= 0 && w->now_ms >= v->next_loan_request_ms &&
	    !v->leaving)
		request_loan(w, i);
}

static void handle_request(struct world *w, const struct fake_message *n)
{
	struct fake_message *answer =
		new_message(w, LOAN_RESPONSE, n->to, n->from);
	struct grant_loan_terms t = n->terms;

	snprintf(t.peer, sizeof(t.peer), "vm%d", n->from);
	/* Without a free slot the response is lost, as on a network; the lender
	 * takes the loan back after RECLAIM_DELAY_MS. */
	grant_lend(&w->vm[n->to].grant, &t, w->now_ms + RECLAIM_DELAY_MS);
	if (!answer)
		return;
	answer->terms = t;
	answer->requested_at_ms = n->requested_at_ms;
}

static void handle_response(struct world *w, const struct fake_message *n)
{
	struct fake_vm *v = &w->vm[n->to];
	struct grant_loan_terms t = n->terms;
	int64_t until = n->requested_at_ms + GRANT_LOAN_TERM_MS;

	/* A loan request ends with its first response. One after the timeout is
	 * still taken here, to give the loan back. */
	if (v->loan_request_id != t.id)
		return;
	v->loan_request_id = 0;
	if (!t.tokens)
		return;
	snprintf(t.peer, sizeof(t.peer), "vm%d", n->from);
	if (w->now_ms < n->requested_at_ms + CALL_TIMEOUT_MS &&
	    grant_borrow(&v->grant, &t, until))
		return;
	send_return(w, n->to, n->from, &t);
}

static void deliver(struct world *w, const struct fake_message *n)
{
	switch (n->type) {
	case LOAN_REQUEST:
		handle_request(w, n);
		break;
	case LOAN_RESPONSE:
		handle_response(w, n);
		break;
	case LOAN_RETURN:
		grant_loan_returned(&w->vm[n->to].grant, n->terms.pool_name,
				    n->terms.id);
		break;
	case LOAN_MESSAGE_FREE:
		break;
	}
}

/* A response is for the process that sent the request only; requests and
 * returns are for any process of the VM. A duplicate stays in its slot to be
 * delivered again. Responses are never duplicated, as the borrower's request
 * ends with the first one. */
void loans_deliver(struct world *w, int i, int lost, int duplicate)
{
	struct fake_message n = w->message[i];
	const struct fake_vm *to = &w->vm[n.to];

	if (n.type == LOAN_MESSAGE_FREE || to->paused)
		return;
	if (!duplicate || n.type == LOAN_RESPONSE)
		w->message[i].type = LOAN_MESSAGE_FREE;
	if (lost || !to->alive || to->partitioned || w->vm[n.from].partitioned)
		return;
	if (n.type == LOAN_RESPONSE && to->incarnation != n.to_incarnation)
		return;
	deliver(w, &n);
}
