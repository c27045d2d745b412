#include "rule.h"
#include "world.h"

/* A loss that nothing makes up for, in permille. */
#define PENALTY_PROHIBITIVE 1000000

/* An objective that no wait is too long for, in ms. */
#define OBJECTIVE_UNLIMITED 1000000

static int choose_by_place(struct world_vm *vm, const struct place_request *ask,
			   struct place_decision *out)
{
	(void)vm;
	return place_choose(ask, out);
}

/* Each object at its home, however long the queue there. */
static int choose_home(struct world_vm *vm, const struct place_request *ask,
		       struct place_decision *out)
{
	struct place_params w = {
		.home_count = 1,
		.second_home_penalty = PENALTY_PROHIBITIVE,
		.remote_penalty = PENALTY_PROHIBITIVE,
		.wait_max = place_default_params.wait_max,
		.urgent_wait_max = place_default_params.urgent_wait_max,
	};
	struct place_request a = *ask;

	(void)vm;
	a.params = &w;
	a.latency_objective_ms = OBJECTIVE_UNLIMITED;
	return place_choose(&a, out);
}

static void update_loads(struct world_vm *vm,
			 const struct steer_service_region *place)
{
	for (int k = 0; k < place->nupstream; k++) {
		int i = place->first_upstream + k;

		vm->load[i].outstanding = vm->outstanding[i];
		vm->load[i].latency_us = vm->stats[i].latency_us;
		vm->load[i].failure_permille = vm->stats[i].failure_permille;
	}
}

static int pick(struct world_vm *vm, const struct place_request *ask,
		int region, enum steer_lb_policy choice)
{
	const struct steer_service_region *place =
		&ask->service->region[region];
	struct steer_pick_input p = {
		.upstream = ask->service->upstream + place->first_upstream,
		.load = vm->load + place->first_upstream,
		.n = place->nupstream,
		.lb_policy = choice,
		.now_ms = ask->now_ms,
		.random = choice == STEER_ROUND_ROBIN ? vm->round_robin_count++
						      : ask->random,
		.excluded = STEER_NONE,
	};

	update_loads(vm, place);
	for (int i = 0; ask->ntried && i < p.n; i++)
		if (p.upstream[i].id == ask->tried_ids[ask->ntried - 1])
			p.excluded = i;
	return steer_pick_upstream(&p);
}

/* The own region first, as the services of files have it. */
static int choose_by_policy(struct world_vm *vm,
			    const struct place_request *ask,
			    enum steer_lb_policy choice,
			    struct place_decision *out)
{
	out->wait_ms = 0;
	out->rank = 0;
	for (int k = 0; k < ask->nregion; k++) {
		int region = (ask->own_region + k) % ask->nregion;
		int i = pick(vm, ask, region, choice);

		if (i == STEER_NONE)
			continue;
		out->region = region;
		out->upstream = ask->service->region[region].first_upstream + i;
		return 1;
	}
	return 0;
}

#define DEFINE_CHOOSE_BY_POLICY(name, choice)                                  \
	static int name(struct world_vm *vm, const struct place_request *ask,  \
			struct place_decision *out)                            \
	{                                                                      \
		return choose_by_policy(vm, ask, choice, out);                 \
	}

DEFINE_CHOOSE_BY_POLICY(choose_random, STEER_RANDOM)
DEFINE_CHOOSE_BY_POLICY(choose_round_robin, STEER_ROUND_ROBIN)
DEFINE_CHOOSE_BY_POLICY(choose_least, STEER_LEAST_OUTSTANDING)
DEFINE_CHOOSE_BY_POLICY(choose_two, STEER_POWER_OF_TWO)
DEFINE_CHOOSE_BY_POLICY(choose_probe, STEER_PROBE)

const struct rule rules[] = {
	{"place", choose_by_place}, {"home", choose_home},
	{"random", choose_random},  {"round-robin", choose_round_robin},
	{"least", choose_least},    {"two", choose_two},
	{"probe", choose_probe},
};

const int nrules = sizeof(rules) / sizeof(rules[0]);
