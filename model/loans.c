#include "world.h"
#include <stdio.h>
#include <string.h>

/* Time between two loan requests of one VM, in milliseconds. */
#define LOAN_REQUEST_INTERVAL_MS 50

static const char *const region_names[REGIONS] = {"norte", "centro", "sur"};

static struct fake_message *
new_message(struct world *w, enum loan_message_type type, int from, int to)
{
	for (int i = 0; i < MESSAGES_MAX; i++) {
		struct fake_message *m = &w->message[i];

		if (m->type != LOAN_MESSAGE_FREE)
			continue;
		memset(m, 0, sizeof(*m));
		m->type = type;
		m->from = from;
		m->to = to;
		m->from_incarnation = w->vm[from].incarnation;
		m->to_incarnation = w->vm[to].incarnation;
		return m;
	}
	return NULL;
}

static void send_return(struct world *w, int from, int to,
			const struct grant_loan_terms *t)
{
	struct fake_message *m = new_message(w, LOAN_RETURN, from, to);

	if (m)
		m->terms = *t;
}

static void request_loan(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	const char *region = region_names[v->exhausted_region];
	const char *peer =
		grant_choose_lender(&v->grant, region, choose(w, 64));
	struct fake_message *m;

	v->exhausted_region = -1;
	v->next_loan_request_ms = w->now_ms + LOAN_REQUEST_INTERVAL_MS;
	if (!peer)
		return;
	m = new_message(w, LOAN_REQUEST, i, peer[2] - '0');
	if (!m)
		return;
	m->requested_at_ms = w->now_ms;
	m->terms.id = ++w->last_token;
	m->terms.tokens = 1 + (int)choose(w, 4);
	strcpy(m->terms.pool_name, region);
	v->loan_request_id = m->terms.id;
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

static void handle_request(struct world *w, const struct fake_message *m)
{
	struct fake_message *answer =
		new_message(w, LOAN_RESPONSE, m->to, m->from);
	struct grant_loan_terms t = m->terms;

	snprintf(t.peer, sizeof(t.peer), "vm%d", m->from);
	/* Without a free slot the response is lost, as on a network; the lender
	 * takes the loan back after RECLAIM_DELAY_MS. */
	grant_lend(&w->vm[m->to].grant, &t, w->now_ms + RECLAIM_DELAY_MS);
	if (!answer)
		return;
	answer->terms = t;
	answer->requested_at_ms = m->requested_at_ms;
}

static void handle_response(struct world *w, const struct fake_message *m)
{
	struct fake_vm *v = &w->vm[m->to];
	struct grant_loan_terms t = m->terms;
	int64_t until = m->requested_at_ms + GRANT_LOAN_TERM_MS;

	/* A loan request ends with its first response. One after the timeout is
	 * still taken here, to give the loan back. */
	if (v->loan_request_id != t.id)
		return;
	v->loan_request_id = 0;
	if (!t.tokens)
		return;
	snprintf(t.peer, sizeof(t.peer), "vm%d", m->from);
	if (w->now_ms < m->requested_at_ms + CALL_TIMEOUT_MS &&
	    grant_borrow(&v->grant, &t, until))
		return;
	send_return(w, m->to, m->from, &t);
}

static void deliver(struct world *w, const struct fake_message *m)
{
	switch (m->type) {
	case LOAN_REQUEST:
		handle_request(w, m);
		break;
	case LOAN_RESPONSE:
		handle_response(w, m);
		break;
	case LOAN_RETURN:
		grant_loan_returned(&w->vm[m->to].grant, m->terms.pool_name,
				    m->terms.id);
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
	struct fake_message m = w->message[i];
	const struct fake_vm *to = &w->vm[m.to];

	if (m.type == LOAN_MESSAGE_FREE || to->paused)
		return;
	if (!duplicate || m.type == LOAN_RESPONSE)
		w->message[i].type = LOAN_MESSAGE_FREE;
	if (lost || !to->alive || to->partitioned || w->vm[m.from].partitioned)
		return;
	if (m.type == LOAN_RESPONSE && to->incarnation != m.to_incarnation)
		return;
	deliver(w, &m);
}
