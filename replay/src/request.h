#ifndef REPLAY_REQUEST_H
#define REPLAY_REQUEST_H

#include "world.h"

/** Next event of a request. */
enum request_step {
	/** The caller's request arrives at its VM. */
	STEP_AT_VM,
	/** An attempt arrives at its upstream. */
	STEP_AT_UPSTREAM,
	/** The upstream ends a run. */
	STEP_WORK_DONE,
	/** The upstream's answer arrives at the VM. */
	STEP_ANSWER_AT_VM,
	/** The answer arrives at the caller. */
	STEP_ANSWER_AT_CALLER,
};

/** A caller's request with all its attempts and the caller's retries. */
struct world_request {
	/** Time of its next event; events of the same time keep the order in
	 * which they were scheduled. */
	int64_t event_us;
	uint64_t event_order;
	enum request_step step;
	struct arrival arrival;
	/** Times that the caller has come back after a refusal. */
	int caller_retries;
	int vm;
	/** Ids of the upstreams tried since the caller's last retry. */
	uint64_t tried_ids[PLACE_TRIED_MAX];
	int ntried;
	/** Where the current attempt goes. */
	struct place_decision decision;
	int64_t attempt_started_us;
	enum place_result result;
	/** Load that the answer reports; "running" is -1 if it reports none. */
	int reported_running;
	int reported_waiting;
	/** Answer to the caller: 1 served, 0 refused with the time after which
	 * to come back, -1 failed. */
	int served;
	int64_t retry_after_ms;
};

/** Schedules the next event of a request in "us" microseconds from now. */
void world_schedule(struct world *w, struct world_request *r,
		    enum request_step step, int64_t us);

/** Runs, queues or refuses an attempt that arrives at its upstream. */
void upstream_accept(struct world *w, struct world_request *r);

/** Answers a request whose run has ended and starts the next in the queue. */
void upstream_finish_run(struct world *w, struct world_request *r);

void stats_init(struct world_stats *s);
void stats_finish(struct world_stats *s);

/** Counts a request that arrives from a caller, and its worth. */
void stats_count_request(struct world *w, const struct world_request *r);

/** Counts an answer at the caller, unless it is past the deadline. */
void stats_count_served(struct world *w, const struct world_request *r);

/** Counts a run by time, caller's region and serving region. */
void stats_count_run(struct world *w, const struct world_request *r);

#endif
