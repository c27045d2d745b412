/* Requests of the model, from a VM that admits one to its end. */
#include "world.h"

/* VMs 0 and 1 are in the first region, the others one each. */
int vm_region(int vm)
{
	return vm < 2 ? 0 : vm - 1;
}

static void send_on(struct world *w, int i, const struct asking *a)
{
	struct fake_vm *v = &w->vm[i];
	struct steer_upstream_load load[UPSTREAMS] = {0};
	struct steer_pick_input p = {.upstream = v->upstream +
						 a->region * UPSTREAMS,
				     .load = load,
				     .n = UPSTREAMS,
				     .lb_policy = STEER_POWER_OF_TWO,
				     .now_ms = w->now,
				     .random = choose(w, 256),
				     .excluded = STEER_NONE};
	int u = steer_pick_upstream(&p);

	if (u == STEER_NONE) {
		limit_semaphore_release(&v->hold[a->region]);
		w->out->not_run++;
		return;
	}
	if (p.upstream[u].state != STEER_ACTIVE)
		fail(w, "an upstream that leaves got new work");
	for (int k = 0; k < FLIGHTS; k++) {
		struct flight *f = &w->flight[k];

		if (f->used)
			continue;
		*f = (struct flight){.used = 1,
				     .vm = i,
				     .incarnation = v->incarnation,
				     .region = a->region,
				     .key = a->key,
				     .token = a->token,
				     .deadline = a->deadline,
				     .config = a->config};
		oracle_ran(w, f);
		return;
	}
	limit_semaphore_release(&v->hold[a->region]);
}

/* As the proxy does it: admission is checked again before the first byte. */
static void claimed(struct world *w, int i, const struct claim_answer *ans)
{
	struct fake_vm *v = &w->vm[i];
	struct claim_record note = {.status = CLAIM_RELEASED};
	struct asking a = {0};

	for (int k = 0; k < 64; k++) {
		if (!v->asking[k].used || v->asking[k].token != ans->waiter_id)
			continue;
		a = v->asking[k];
		v->asking[k].used = 0;
	}
	if (!a.used)
		return;
	if (ans->verdict == CLAIM_GRANTED && w->now < a.deadline &&
	    w->now < v->alive_until) {
		w->out->claims_granted++;
		send_on(w, i, &a);
		return;
	}
	limit_semaphore_release(&v->hold[a.region]);
	w->out->claims_taken += ans->verdict == CLAIM_TAKEN;
	if (ans->verdict == CLAIM_TAKEN)
		return;
	w->out->not_run++;
	if (ans->verdict != CLAIM_GRANTED)
		return;
	note.key = ans->record.key;
	note.token = a.token;
	claim_submit(&v->claims, &note, 0);
}

void vm_take_answers(struct world *w, int i)
{
	struct claim_answer a;

	while (w->vm[i].alive && claim_next_answer(&w->vm[i].claims, &a))
		claimed(w, i, &a);
}

static void ask_claim(struct world *w, int i, const struct asking *a)
{
	struct fake_vm *v = &w->vm[i];
	struct claim_record r = {.token = a->token};

	r.key.low = (uint64_t)a->key;
	r.key.high = 1;
	for (int k = 0; k < 64; k++) {
		if (v->asking[k].used)
			continue;
		if (claim_submit(&v->claims, &r, a->token))
			break;
		v->asking[k] = *a;
		v->asking[k].used = 1;
		return;
	}
	limit_semaphore_release(&v->hold[a->region]);
	w->out->not_run++;
}

static int decide_moved(struct world *w, struct fake_vm *v, int home,
			uint64_t block)
{
	const struct steer_shift *h = &v->service.shift;

	if (h->from != home)
		return 0;
	if (v->plan != h->plan_id)
		limit_ratio_reset(&v->share);
	v->plan = h->plan_id;
	limit_ratio_deposit(&v->share, h->cap_permille);
	w->cap_credit += h->cap_permille;
	return steer_is_shifted(h, home, block) &&
	       limit_ratio_withdraw(&v->share);
}

void vm_request(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	struct steer_region_order route;
	struct asking a = {.token = ++w->next_token, .key = -1};
	uint64_t block = choose(w, 200);
	int moved;

	if (!v->alive || v->paused || v->config < 0 || w->now >= v->alive_until)
		return;
	if (choose(w, 3) == 0)
		a.key = (int)choose(w, KEYS);
	a.deadline = w->now + DEADLINE_MS;
	a.config = v->service.version;
	moved = decide_moved(w, v, vm_region(i), block);
	steer_order_regions(&v->service, vm_region(i), moved, &route);
	for (int k = 0; k < route.n; k++) {
		a.region = route.region[k];
		if (!limit_semaphore_acquire(&v->hold[a.region])) {
			v->short_of = a.region;
			continue;
		}
		w->out->admitted++;
		if (route.reason[k] == STEER_SHIFTED) {
			w->moved++;
			w->out->moved++;
		}
		if (a.key >= 0)
			ask_claim(w, i, &a);
		else
			send_on(w, i, &a);
		return;
	}
	w->out->not_run++;
}

void vm_end_flight(struct world *w, int i, int refused)
{
	struct flight *f = &w->flight[i];
	struct fake_vm *v;
	struct claim_record note = {.status = CLAIM_RAN, .http_status = 200};

	(void)refused;
	if (!f->used)
		return;
	v = &w->vm[f->vm];
	if (w->now >= f->deadline)
		f->over = 1;
	/* A paused VM keeps the place until it sees the answer. */
	if (v->alive && v->incarnation == f->incarnation) {
		if (v->paused)
			return;
		limit_semaphore_release(&v->hold[f->region]);
		if (f->key >= 0) {
			note.key.low = (uint64_t)f->key;
			note.key.high = 1;
			note.token = f->token;
			claim_submit(&v->claims, &note, 0);
		}
	}
	f->used = 0;
}
