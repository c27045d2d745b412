#ifndef REPLAY_WORLD_H
#define REPLAY_WORLD_H

#include "rule.h"
#include "trace.h"
#include <primroselead/place.h>

/*
 * Discrete-event simulation of a scenario's entry VMs, upstreams and callers,
 * driven by a trace. The decisions where requests go are the product's code.
 * The rest is a model: links have a fixed delay, an upstream has slots and a
 * FIFO queue.
 */

struct world_request;

/** A simulated upstream. */
struct world_upstream {
	int region;
	/** Rank in its region, 0 to 999; faults affect the lowest ranks. */
	int rank_permille;
	/** Service time in relation to the usual one. */
	int service_time_permille;
	/** Requests that run; those that wait, of struct world_request. */
	int running;
	GQueue queue;
	/** Hashes of cached objects, the most recently used first. */
	uint64_t *cached_object;
	int ncached;
};

/** A simulated entry VM; arrays are indexed by upstream. */
struct world_vm {
	int region;
	struct place_upstream_stats *stats;
	struct place_service_state service_state;
	/** Requests at each upstream now, and the maximum so far. */
	int *outstanding;
	int *outstanding_max;
	uint64_t random;
	/** Choices so far, for the rule "round-robin". */
	uint64_t round_robin_count;
	/** Load as steer_pick_upstream takes it: last reports of the upstreams;
	 * the other fields are filled in before each choice. */
	struct steer_upstream_load *load;
};

/** Window by which changes of the serving region are measured, in us. */
#define WORLD_WINDOW_US 2000000

/** Counts of a replay. */
struct world_stats {
	/** Worth of all requests and worth earned by answers, by caller's
	 * region and by kind. */
	int64_t offered_worth[SCENARIO_REGIONS_MAX];
	int64_t earned_worth[SCENARIO_REGIONS_MAX];
	int64_t kind_offered_worth[SCENARIO_KINDS_MAX];
	int64_t kind_earned_worth[SCENARIO_KINDS_MAX];
	int64_t requests;
	int64_t served;
	/** Attempts that arrived at an upstream, also at one that is gone; each
	 * is counted once more as refused for a full queue, not run for another
	 * reason, or run. */
	int64_t sent;
	int64_t refused;
	int64_t not_run;
	int64_t ran;
	/** Runs that found their object cached. */
	int64_t cache_hits;
	/** Latencies of served requests as the caller sees them. */
	GArray *latency_us;
	/** Worth of all requests and worth earned, by second of arrival. */
	GArray *offered_worth_by_second;
	GArray *earned_worth_by_second;
	/** Runs by window, caller's region and serving region, in this order of
	 * indices. */
	GArray *window_runs;
};

/** The simulation. */
struct world {
	const struct scenario *scenario;
	const struct rule *rule;
	struct place_params params;
	/** The service and its upstreams as the decisions see them. */
	struct steer_service service;
	uint64_t region_id[SCENARIO_REGIONS_MAX];
	struct steer_upstream *upstream;
	struct world_upstream *upstream_state;
	int nupstream;
	struct world_vm *vm;
	int nvm;
	GRand *random;
	/** Scheduled requests by time of their next event. */
	GSequence *events;
	uint64_t next_order;
	int64_t now_us;
	/** Time of the trace's last arrival. */
	int64_t last_arrival_us;
	struct world_stats stats;
};

/** Initializes a world and replays a trace by a rule up to the last event;
 * "stats" has the counts then. The same arguments give the same counts. */
void world_play(struct world *w, const struct scenario *s, const GArray *trace,
		const struct rule *rule, const struct place_params *params,
		uint32_t seed);

/** Frees the world's memory. */
void world_finish(struct world *w);

#endif
