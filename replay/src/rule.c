#include "rule.h"
#include "world.h"

/* A penalty that outweighs every other cost, in permille. */
#define PENALTY_PROHIBITIVE 1000000

/* An objective for which no wait is too long, in ms. */
#define OBJECTIVE_UNLIMITED 1000000

static int choose_by_place(struct world_vm *vm,
			   const struct place_request *request,
			   struct place_decision *out)
{
	(void)vm;
	return place_choose(request, out);
}

/* Sends each object to its home upstream, however long the queue there. */
static int choose_home(struct world_vm *vm, const struct place_request *request,
		       struct place_decision *out)
{
	struct place_params params = {
		.home_count = 1,
		.second_home_penalty_permille = PENALTY_PROHIBITIVE,
		.non_home_penalty_permille = PENALTY_PROHIBITIVE,
		.wait_max_permille = place_default_params.wait_max_permille,
		.urgent_wait_max_permille =
			place_default_params.urgent_wait_max_permille,
	};
	struct place_request unlimited = *request;

	(void)vm;
	unlimited.params = &params;
	unlimited.latency_objective_ms = OBJECTIVE_UNLIMITED;
	return place_choose(&unlimited, out);
}

/* Fills in what the VM knows of a region's upstreams besides their reports. */
static void update_loads(struct world_vm *vm,
			 const struct steer_service_region *r)
{
	for (int k = 0; k < r->nupstream; k++) {
		int i = r->first_upstream + k;

		vm->load[i].outstanding = vm->outstanding[i];
		vm->load[i].latency_us = vm->stats[i].latency.us;
		vm->load[i].failure_permille = vm->stats[i].failure_permille;
	}
}

static int pick(struct world_vm *vm, const struct place_request *request,
		int region, enum steer_lb_policy policy)
{
	const struct steer_service_region *r =
		&request->service->region[region];
	struct steer_pick_input p = {
		.upstream = request->service->upstream + r->first_upstream,
		.load = vm->load + r->first_upstream,
		.n = r->nupstream,
		.lb_policy = policy,
		.now_ms = request->now_ms,
		.random = policy == STEER_ROUND_ROBIN ? vm->round_robin_count++
						      : request->random,
		.excluded = STEER_NONE,
	};

	update_loads(vm, r);
	for (int i = 0; request->ntried && i < p.n; i++)
		if (p.upstream[i].id == request->tried_ids[request->ntried - 1])
			p.excluded = i;
	return steer_pick_upstream(&p);
}

/* Tries the own region first, then the others, as for services from service
 * files. */
static int choose_by_policy(struct world_vm *vm,
			    const struct place_request *request,
			    enum steer_lb_policy policy,
			    struct place_decision *out)
{
	out->wait_ms = 0;
	out->rank = 0;
	for (int k = 0; k < request->nregion; k++) {
		int region = (request->own_region + k) % request->nregion;
		int i = pick(vm, request, region, policy);

		if (i == STEER_NONE)
			continue;
		out->region = region;
		out->upstream =
			request->service->region[region].first_upstream + i;
		return 1;
	}
	return 0;
}

#define DEFINE_CHOOSE_BY_POLICY(name, policy)                                  \
	static int name(struct world_vm *vm,                                   \
			const struct place_request *request,                   \
			struct place_decision *out)                            \
	{                                                                      \
		return choose_by_policy(vm, request, policy, out);             \
	}

DEFINE_CHOOSE_BY_POLICY(choose_random, STEER_RANDOM)
DEFINE_CHOOSE_BY_POLICY(choose_round_robin, STEER_ROUND_ROBIN)
DEFINE_CHOOSE_BY_POLICY(choose_least_outstanding, STEER_LEAST_OUTSTANDING)
DEFINE_CHOOSE_BY_POLICY(choose_power_of_two, STEER_POWER_OF_TWO)
DEFINE_CHOOSE_BY_POLICY(choose_probe, STEER_PROBE)

const struct rule rules[] = {
	{"place", choose_by_place},
	{"home", choose_home},
	{"random", choose_random},
	{"round-robin", choose_round_robin},
	{"least", choose_least_outstanding},
	{"two", choose_power_of_two},
	{"probe", choose_probe},
};

const int nrules = sizeof(rules) / sizeof(rules[0]);
