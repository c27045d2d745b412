#ifndef REPLAY_WORLD_H
#define REPLAY_WORLD_H

#include "rule.h"
#include "trace.h"
#include <primroselead/place.h>

/*
 * Entry VMs, upstreams and callers of a scenario, driven by a trace. Only the
 * decisions are those of the product; the rest is a model: links take a fixed
 * time, an upstream runs its slots and a queue in order of arrival.
 */

struct world_request;

/** An upstream. */
struct world_upstream {
	int region;
	/** Place in its region, in permille; troubles strike the first. */
	int rank;
	/** Time of its work against the usual, in permille. */
	int speed;
	int running;
	GQueue waiting;
	/** Objects at hand, the latest first. */
	uint64_t *object;
	int nobject;
};

/** An entry VM. */
struct world_vm {
	int region;
	struct place_upstream_stats *known;
	struct place_service_state state;
	/** Requests at each upstream now, and at most. */
	int *outstanding;
	int *most;
	uint64_t random;
	/** Choices so far, for the rule that goes round. */
	uint64_t count;
	/** What rules without objects go by: the upstreams' last reports, and
	 * at a choice what is known besides. */
	struct steer_upstream_load *load;
};

/** Length of a window for the bound on moves between regions, in us. */
#define WORLD_WINDOW_US 2000000

/** What became of the requests. */
struct world_figures {
	int64_t owed[SCENARIO_REGIONS_MAX];
	int64_t earned[SCENARIO_REGIONS_MAX];
	int64_t kind_owed[SCENARIO_KINDS_MAX];
	int64_t kind_earned[SCENARIO_KINDS_MAX];
	int64_t requests;
	int64_t served;
	/** Arrivals at upstreams; those refused there, those that did not run
	 * for another reason, runs, and runs with the object at hand. */
	int64_t sent;
	int64_t refused;
	int64_t unrun;
	int64_t ran;
	int64_t at_hand;
	/** Times of served requests in us. */
	GArray *time_us;
	/** By second of arrival: worth owed and earned. */
	GArray *second_owed;
	GArray *second_earned;
	/** Runs by window of two seconds, caller's region and serving one. */
	GArray *moved;
};

/** All of it. */
struct world {
	const struct scenario *s;
	const struct rule *rule;
	struct place_params weights;
	struct steer_service service;
	struct steer_upstream *upstream;
	struct world_upstream *state;
	int nupstream;
	struct world_vm *vm;
	int nvm;
	GRand *random;
	GSequence *events;
	uint64_t order;
	int64_t now_us;
	/** The last arrival of the trace. */
	int64_t last_us;
	struct world_figures figures;
};

/** Plays a trace by a rule; the figures are filled then. */
void world_play(struct world *w, const struct scenario *s, const GArray *trace,
		const struct rule *rule, const struct place_params *weights,
		uint32_t seed);

/** Frees everything. */
void world_finish(struct world *w);

#endif
