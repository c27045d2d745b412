#include "rule.h"
#include "world.h"

/* A loss that nothing makes up for, in permille. */
#define LOSS_ENDLESS 1000000

/* An objective that no wait is too long for, in ms. */
#define OBJECTIVE_ENDLESS 1000000

static int choose_by_place(struct world_vm *vm, const struct place_ask *ask,
			   struct place_chosen *out)
{
	(void)vm;
	return place_choose(ask, out);
}

/* Each object at its home, however long the queue there. */
static int choose_home(struct world_vm *vm, const struct place_ask *ask,
		       struct place_chosen *out)
{
	struct place_weights w = {
		.homes = 1,
		.second_loss = LOSS_ENDLESS,
		.later_loss = LOSS_ENDLESS,
		.wait = place_weights.wait,
		.wait_urgent = place_weights.wait_urgent,
	};
	struct place_ask a = *ask;

	(void)vm;
	a.weights = &w;
	a.objective_ms = OBJECTIVE_ENDLESS;
	return place_choose(&a, out);
}

static void read_loads(struct world_vm *vm, const struct steer_place *place)
{
	for (int k = 0; k < place->nupstream; k++) {
		int i = place->first_upstream + k;

		vm->load[i].outstanding = vm->outstanding[i];
		vm->load[i].latency_us = vm->known[i].latency_us;
		vm->load[i].failures = vm->known[i].failures;
	}
}

static int pick(struct world_vm *vm, const struct place_ask *ask, int region,
		enum steer_choice choice)
{
	const struct steer_place *place = &ask->service->place[region];
	struct steer_pick p = {
		.upstream = ask->service->upstream + place->first_upstream,
		.load = vm->load + place->first_upstream,
		.n = place->nupstream,
		.choice = choice,
		.now_ms = ask->now_ms,
		.random =
			choice == STEER_ROUND_ROBIN ? vm->count++ : ask->random,
		.except = STEER_NONE,
	};

	read_loads(vm, place);
	for (int i = 0; ask->ntried && i < p.n; i++)
		if (p.upstream[i].id == ask->tried[ask->ntried - 1])
			p.except = i;
	return steer_pick(&p);
}

/* The own region first, as the services of files have it. */
static int choose_by_load(struct world_vm *vm, const struct place_ask *ask,
			  enum steer_choice choice, struct place_chosen *out)
{
	out->wait_ms = 0;
	out->rank = 0;
	for (int k = 0; k < ask->nregion; k++) {
		int region = (ask->own + k) % ask->nregion;
		int i = pick(vm, ask, region, choice);

		if (i == STEER_NONE)
			continue;
		out->region = region;
		out->upstream = ask->service->place[region].first_upstream + i;
		return 1;
	}
	return 0;
}

#define BY_LOAD(name, choice)                                                  \
	static int name(struct world_vm *vm, const struct place_ask *ask,      \
			struct place_chosen *out)                              \
	{                                                                      \
		return choose_by_load(vm, ask, choice, out);                   \
	}

BY_LOAD(choose_random, STEER_RANDOM)
BY_LOAD(choose_round_robin, STEER_ROUND_ROBIN)
BY_LOAD(choose_least, STEER_LEAST_OUTSTANDING)
BY_LOAD(choose_two, STEER_POWER_OF_TWO)
BY_LOAD(choose_probe, STEER_PROBE)

const struct rule rules[] = {
	{"place", choose_by_place}, {"home", choose_home},
	{"random", choose_random},  {"round-robin", choose_round_robin},
	{"least", choose_least},    {"two", choose_two},
	{"probe", choose_probe},
};

const int nrules = sizeof(rules) / sizeof(rules[0]);
