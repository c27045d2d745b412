/* Requests in the model, from admission by a VM to the end. */
#include "world.h"

/* VMs 0 and 1 are in region 0; each further VM has a region of its own. */
int vm_region(int vm)
{
	return vm < 2 ? 0 : vm - 1;
}

static void send_to_upstream(struct world *w, int i,
			     const struct admitted_request *a)
{
	struct fake_vm *v = &w->vm[i];
	struct steer_upstream_load load[UPSTREAMS_PER_REGION] = {0};
	struct steer_pick_input p = {
		.upstream = v->upstream + a->region * UPSTREAMS_PER_REGION,
		.load = load,
		.n = UPSTREAMS_PER_REGION,
		.lb_policy = STEER_POWER_OF_TWO,
		.now_ms = w->now_ms,
		.random = choose(w, 256),
		.excluded = STEER_NONE};
	int u = steer_pick_upstream(&p);

	if (u == STEER_NONE) {
		limit_semaphore_release(&v->semaphore[a->region]);
		w->result->not_run++;
		return;
	}
	if (p.upstream[u].state != STEER_ACTIVE)
		oracle_fail(w, "an upstream that leaves got new work");
	for (int k = 0; k < INFLIGHT_MAX; k++) {
		struct inflight_request *f = &w->inflight[k];

		if (f->used)
			continue;
		*f = (struct inflight_request){.used = 1,
					       .vm = i,
					       .incarnation = v->incarnation,
					       .region = a->region,
					       .key = a->key,
					       .token = a->token,
					       .deadline_ms = a->deadline_ms,
					       .config_version =
						       a->config_version};
		oracle_count_run(w, f);
		return;
	}
	limit_semaphore_release(&v->semaphore[a->region]);
}

/* As in the proxy, deadline and lease are checked again after the claim was
 * answered, before the request is sent. */
static void handle_claim_answer(struct world *w, int i,
				const struct claim_answer *ans)
{
	struct fake_vm *v = &w->vm[i];
	struct claim_record record = {.status = CLAIM_RELEASED};
	struct admitted_request a = {0};

	for (int k = 0; k < PENDING_CLAIMS_MAX; k++) {
		if (!v->pending_claim[k].used ||
		    v->pending_claim[k].token != ans->waiter_id)
			continue;
		a = v->pending_claim[k];
		v->pending_claim[k].used = 0;
	}
	if (!a.used)
		return;
	if (ans->verdict == CLAIM_GRANTED && w->now_ms < a.deadline_ms &&
	    w->now_ms < v->lease_until_ms) {
		w->result->claims_granted++;
		send_to_upstream(w, i, &a);
		return;
	}
	limit_semaphore_release(&v->semaphore[a.region]);
	w->result->claims_taken += ans->verdict == CLAIM_TAKEN;
	if (ans->verdict == CLAIM_TAKEN)
		return;
	w->result->not_run++;
	if (ans->verdict != CLAIM_GRANTED)
		return;
	record.key = ans->record.key;
	record.token = a.token;
	claim_submit(&v->claims, &record, 0);
}

void vm_take_claim_answers(struct world *w, int i)
{
	struct claim_answer a;

	while (w->vm[i].alive && claim_next_answer(&w->vm[i].claims, &a))
		handle_claim_answer(w, i, &a);
}

static void submit_claim(struct world *w, int i,
			 const struct admitted_request *a)
{
	struct fake_vm *v = &w->vm[i];
	struct claim_record r = {.token = a->token};

	r.key.low = (uint64_t)a->key;
	r.key.high = 1;
	for (int k = 0; k < PENDING_CLAIMS_MAX; k++) {
		if (v->pending_claim[k].used)
			continue;
		if (claim_submit(&v->claims, &r, a->token))
			break;
		v->pending_claim[k] = *a;
		v->pending_claim[k].used = 1;
		return;
	}
	limit_semaphore_release(&v->semaphore[a->region]);
	w->result->not_run++;
}

/* Whether a request goes to the target region of the shift. Each request of the
 * home region adds to the credit of the shift's cap. */
static int decide_shifted(struct world *w, struct fake_vm *v, int home,
			  uint64_t block)
{
	const struct steer_shift *shift = &v->service.shift;

	if (shift->from != home)
		return 0;
	if (v->shift_plan_id != shift->plan_id)
		limit_ratio_reset(&v->shift_ratio);
	v->shift_plan_id = shift->plan_id;
	limit_ratio_deposit(&v->shift_ratio, shift->cap_permille);
	w->shift_credit += shift->cap_permille;
	return steer_is_shifted(shift, home, block) &&
	       limit_ratio_withdraw(&v->shift_ratio);
}

void vm_request(struct world *w, int i)
{
	struct fake_vm *v = &w->vm[i];
	struct steer_region_order route;
	struct admitted_request a = {.token = ++w->last_token, .key = -1};
	uint64_t block = choose(w, 200);
	int shifted;

	if (!v->alive || v->paused || v->config_index < 0 ||
	    w->now_ms >= v->lease_until_ms)
		return;
	if (choose(w, 3) == 0)
		a.key = (int)choose(w, KEYS);
	a.deadline_ms = w->now_ms + DEADLINE_MS;
	a.config_version = v->service.version;
	shifted = decide_shifted(w, v, vm_region(i), block);
	steer_order_regions(&v->service, vm_region(i), shifted, &route);
	for (int k = 0; k < route.n; k++) {
		a.region = route.region[k];
		if (!limit_semaphore_acquire(&v->semaphore[a.region])) {
			v->exhausted_region = a.region;
			continue;
		}
		w->result->admitted++;
		if (route.reason[k] == STEER_SHIFTED) {
			w->shifted++;
			w->result->shifted++;
		}
		if (a.key >= 0)
			submit_claim(w, i, &a);
		else
			send_to_upstream(w, i, &a);
		return;
	}
	w->result->not_run++;
}

void vm_finish_request(struct world *w, int i, int refused)
{
	struct inflight_request *f = &w->inflight[i];
	struct fake_vm *v;
	struct claim_record record = {.status = CLAIM_RAN, .http_status = 200};

	(void)refused;
	if (!f->used)
		return;
	v = &w->vm[f->vm];
	if (w->now_ms >= f->deadline_ms)
		f->finished = 1;
	/* A paused VM does not see the answer yet, so its capacity stays in
	 * use. */
	if (v->alive && v->incarnation == f->incarnation) {
		if (v->paused)
			return;
		limit_semaphore_release(&v->semaphore[f->region]);
		if (f->key >= 0) {
			record.key.low = (uint64_t)f->key;
			record.key.high = 1;
			record.token = f->token;
			claim_submit(&v->claims, &record, 0);
		}
	}
	f->used = 0;
}
