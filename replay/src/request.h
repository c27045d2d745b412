#ifndef REPLAY_REQUEST_H
#define REPLAY_REQUEST_H

#include "world.h"

/** Where a request goes next. */
enum request_step {
	/** The caller's request is at its VM. */
	STEP_AT_VM,
	/** A send is at its upstream. */
	STEP_AT_UPSTREAM,
	/** The upstream has done its work. */
	STEP_WORK_DONE,
	/** The upstream's answer is at the VM. */
	STEP_ANSWER_AT_VM,
	/** The answer is at the caller. */
	STEP_ANSWER_AT_CALLER,
};

/** One caller's request, through all its tries. */
struct world_request {
	int64_t event_us;
	uint64_t event_order;
	enum request_step step;
	struct arrival arrival;
	int caller_retries;
	int vm;
	uint64_t tried_ids[PLACE_TRIED_MAX];
	int ntried;
	struct place_decision decision;
	int64_t attempt_started_us;
	enum place_result result;
	/** What the answer tells of the upstream; -1 if nothing. */
	int reported_running;
	int reported_waiting;
	/** The caller's answer: served, or come back after this time. */
	int served;
	int64_t retry_after_ms;
};

/** Lets a request take its next step after a time. */
void world_schedule(struct world *w, struct world_request *r,
		    enum request_step step, int64_t us);

/** A send has reached its upstream: it runs, waits or is refused. */
void upstream_accept(struct world *w, struct world_request *r);

/** A run has ended; the next one begins. */
void upstream_finish_run(struct world *w, struct world_request *r);

/** Counts what became of requests. */
void stats_init(struct world_stats *f);
void stats_finish(struct world_stats *f);
void stats_count_request(struct world *w, const struct world_request *r);
void stats_count_served(struct world *w, const struct world_request *r);
void stats_count_run(struct world *w, const struct world_request *r);

#endif
