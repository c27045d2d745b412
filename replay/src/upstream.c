/* An upstream of the model: slots, a queue, objects at hand. */
#include "request.h"
#include <string.h>

#define THOUSAND 1000

static int factor(const struct world *w, const struct world_upstream *u,
		  enum scenario_what what)
{
	return scenario_factor(w->s, what, u->region, u->rank, w->now_us);
}

static int64_t link_us(const struct world *w, const struct world_request *r)
{
	return w->vm[r->vm].region == r->to.region ? w->s->near_us
						   : w->s->far_us;
}

static void answer(struct world *w, struct world_request *r,
		   enum place_result result)
{
	const struct world_upstream *u = &w->state[r->to.upstream];
	int lies = factor(w, u, SCENARIO_LYING) != 0;

	r->result = result;
	r->running = lies ? 0 : u->running;
	r->waiting = lies ? 0 : (int)u->waiting.length;
	if (factor(w, u, SCENARIO_SILENT) || result == PLACE_UNREACHED)
		r->running = -1;
	world_after(w, r, STEP_ANSWERED, link_us(w, r));
}

/* Whether the object is at hand; it is then, the latest. */
static int use_object(const struct world *w, struct world_upstream *u,
		      uint64_t object)
{
	int at = 0;
	int found;

	if (!object || !w->s->keep)
		return 0;
	while (at < u->nobject && u->object[at] != object)
		at++;
	found = at < u->nobject;
	if (!found && u->nobject < w->s->keep)
		u->nobject++;
	if (!found)
		at = u->nobject - 1;
	memmove(u->object + 1, u->object, sizeof(*u->object) * (size_t)at);
	u->object[0] = object;
	return found;
}

static int64_t work_us(struct world *w, struct world_upstream *u,
		       const struct scenario_kind *k, int at_hand)
{
	int64_t us = k->work_us * u->speed / THOUSAND;
	int slow = factor(w, u, SCENARIO_SLOW);

	if (k->vary)
		us += us * g_rand_int_range(w->random, -k->vary, k->vary + 1) /
		      THOUSAND;
	if (at_hand)
		us -= us * w->s->gain / THOUSAND;
	return slow ? us * slow / THOUSAND : us;
}

static void begin(struct world *w, struct world_request *r)
{
	struct world_upstream *u = &w->state[r->to.upstream];
	const struct scenario_kind *k = &w->s->kind[r->arrival.kind];
	int at_hand = use_object(w, u, r->arrival.object);

	u->running++;
	w->figures.ran++;
	w->figures.at_hand += at_hand;
	figures_run(w, r);
	world_after(w, r, STEP_DONE, work_us(w, u, k, at_hand));
}

void upstream_takes(struct world *w, struct world_request *r)
{
	struct world_upstream *u = &w->state[r->to.upstream];

	w->figures.sent++;
	if (factor(w, u, SCENARIO_GONE)) {
		w->figures.unrun++;
		answer(w, r, PLACE_UNREACHED);
	} else if (u->running < w->s->slots) {
		begin(w, r);
	} else if ((int)u->waiting.length < w->s->queue) {
		g_queue_push_tail(&u->waiting, r);
	} else {
		w->figures.refused++;
		answer(w, r, PLACE_REFUSED);
	}
}

static int is_late(const struct world *w, const struct world_request *r)
{
	return w->now_us >
	       r->arrival.at_us + w->s->kind[r->arrival.kind].deadline_us;
}

/* Requests whose callers have left are dropped. */
static void begin_next(struct world *w, struct world_upstream *u)
{
	struct world_request *next;

	while ((next = g_queue_pop_head(&u->waiting))) {
		if (!is_late(w, next)) {
			begin(w, next);
			return;
		}
		w->figures.unrun++;
		answer(w, next, PLACE_FAILED);
	}
}

void upstream_ends(struct world *w, struct world_request *r)
{
	struct world_upstream *u = &w->state[r->to.upstream];
	int failing = factor(w, u, SCENARIO_FAILING);
	int fails =
		failing && g_rand_int_range(w->random, 0, THOUSAND) < failing;

	u->running--;
	if (factor(w, u, SCENARIO_GONE))
		answer(w, r, PLACE_BROKEN);
	else
		answer(w, r, fails ? PLACE_FAILED : PLACE_ANSWERED);
	begin_next(w, u);
}
