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
	int rank_permille;
	/** Time of its work against the usual, in permille. */
	int service_time_permille;
	int running;
	GQueue queue;
	/** Objects at hand, the latest first. */
	uint64_t *cached_object;
	int ncached;
};

/** An entry VM. */
struct world_vm {
	int region;
	struct place_upstream_stats *stats;
	struct place_service_state service_state;
	/** Requests at each upstream now, and at most. */
	int *outstanding;
	int *outstanding_max;
	uint64_t random;
	/** Choices so far, for the rule that goes round. */
	uint64_t round_robin_count;
	/** What rules without objects go by: the upstreams' last reports, and
	 * at a choice what is known besides. */
	struct steer_upstream_load *load;
};

/** Length of a window for the bound on moves between regions, in us. */
#define WORLD_WINDOW_US 2000000

/** What became of the requests. */
struct world_stats {
	int64_t offered_worth[SCENARIO_REGIONS_MAX];
	int64_t earned_worth[SCENARIO_REGIONS_MAX];
	int64_t kind_offered_worth[SCENARIO_KINDS_MAX];
	int64_t kind_earned_worth[SCENARIO_KINDS_MAX];
	int64_t requests;
	int64_t served;
	/** Arrivals at upstreams; those refused there, those that did not run
	 * for another reason, runs, and runs with the object at hand. */
	int64_t sent;
	int64_t refused;
	int64_t not_run;
	int64_t ran;
	int64_t cache_hits;
	/** Times of served requests in us. */
	GArray *latency_us;
	/** By second of arrival: worth owed and earned. */
	GArray *offered_worth_by_second;
	GArray *earned_worth_by_second;
	/** Runs by window of two seconds, caller's region and serving one. */
	GArray *window_runs;
};

/** All of it. */
struct world {
	const struct scenario *scenario;
	const struct rule *rule;
	struct place_params params;
	struct steer_service service;
	struct steer_upstream *upstream;
	struct world_upstream *upstream_state;
	int nupstream;
	struct world_vm *vm;
	int nvm;
	GRand *random;
	GSequence *events;
	uint64_t next_order;
	int64_t now_us;
	/** The last arrival of the trace. */
	int64_t last_arrival_us;
	struct world_stats stats;
};

/** Plays a trace by a rule; the figures are filled then. */
void world_play(struct world *w, const struct scenario *s, const GArray *trace,
		const struct rule *rule, const struct place_params *params,
		uint32_t seed);

/** Frees everything. */
void world_finish(struct world *w);

#endif
