#include "world.h"
#include <stdio.h>
#include <string.h>

/* Time between two asks of one VM, in milliseconds. */
#define ASK_MS 50

static const char *const region_names[REGIONS] = {"norte", "centro", "sur"};

static struct loan_note *new_note(struct world *w, enum loan_message kind,
				  int from, int to)
{
	for (int i = 0; i < NOTES; i++) {
		struct loan_note *n = &w->note[i];

		if (n->kind != LOAN_FREE)
			continue;
		memset(n, 0, sizeof(*n));
		n->kind = kind;
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
	struct loan_note *n = new_note(w, LOAN_RETURN, from, to);

	if (n)
		n->terms = *t;
}

static void ask(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	const char *region = region_names[v->short_of];
	const char *peer =
		grant_choose_lender(&v->grant, region, choose(w, 64));
	struct loan_note *n;

	v->short_of = -1;
	v->ask_again = w->now + ASK_MS;
	if (!peer)
		return;
	n = new_note(w, LOAN_ASK, i, peer[2] - '0');
	if (!n)
		return;
	n->asked_at = w->now;
	n->terms.id = ++w->next_token;
	n->terms.tokens = 1 + (int)choose(w, 4);
	strcpy(n->terms.region, region);
	v->asked_id = n->terms.id;
}

void loans_tick(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	struct grant_loan_return back[8];
	int n = grant_update_loans(&v->grant, w->now, back, 8);

	for (int k = 0; k < n; k++) {
		struct grant_loan_terms t = {.id = back[k].id};

		strcpy(t.region, back[k].region);
		send_return(w, i, back[k].peer[2] - '0', &t);
	}
	if (v->short_of >= 0 && w->now >= v->ask_again && !v->leaving)
		ask(w, i);
}

static void on_ask(struct world *w, const struct loan_note *n)
{
	struct loan_note *answer = new_note(w, LOAN_ANSWER, n->to, n->from);
	struct grant_loan_terms t = n->terms;

	snprintf(t.peer, sizeof(t.peer), "vm%d", n->from);
	/* Without a place for the answer the loan is as good as lost. */
	grant_lend(&w->vm[n->to].grant, &t, w->now + REST_MS);
	if (!answer)
		return;
	answer->terms = t;
	answer->asked_at = n->asked_at;
}

static void on_answer(struct world *w, const struct loan_note *n)
{
	struct fake_vm *v = &w->vm[n->to];
	struct grant_loan_terms t = n->terms;
	int64_t until = n->asked_at + GRANT_LOAN_TERM_MS;

	/* A call ends with its first answer, or by its own timeout. */
	if (v->asked_id != t.id)
		return;
	v->asked_id = 0;
	if (!t.tokens)
		return;
	snprintf(t.peer, sizeof(t.peer), "vm%d", n->from);
	if (w->now < n->asked_at + CALL_TIMEOUT_MS &&
	    grant_borrow(&v->grant, &t, until))
		return;
	send_return(w, n->to, n->from, &t);
}

static void deliver(struct world *w, const struct loan_note *n)
{
	switch (n->kind) {
	case LOAN_ASK:
		on_ask(w, n);
		break;
	case LOAN_ANSWER:
		on_answer(w, n);
		break;
	case LOAN_RETURN:
		grant_loan_returned(&w->vm[n->to].grant, n->terms.region,
				    n->terms.id);
		break;
	case LOAN_FREE:
		break;
	}
}

/* An answer means something to the process that asked, and a call to whoever
 * is there. One that is delivered twice stays on its way; the borrower takes
 * an answer once, since its call has ended by then. */
void loans_move(struct world *w, int i, int lost, int twice)
{
	struct loan_note n = w->note[i];
	const struct fake_vm *to = &w->vm[n.to];

	if (n.kind == LOAN_FREE || to->paused)
		return;
	if (!twice || n.kind == LOAN_ANSWER)
		w->note[i].kind = LOAN_FREE;
	if (lost || !to->alive || to->cut || w->vm[n.from].cut)
		return;
	if (n.kind == LOAN_ANSWER && to->incarnation != n.to_incarnation)
		return;
	deliver(w, &n);
}
