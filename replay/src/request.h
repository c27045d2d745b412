#ifndef REPLAY_REQUEST_H
#define REPLAY_REQUEST_H

#include "world.h"

/** Where a request goes next. */
enum step {
	/** The caller's request is at its VM. */
	STEP_AT_VM,
	/** A send is at its upstream. */
	STEP_AT_UPSTREAM,
	/** The upstream has done its work. */
	STEP_DONE,
	/** The upstream's answer is at the VM. */
	STEP_ANSWERED,
	/** The answer is at the caller. */
	STEP_AT_CALLER,
};

/** One caller's request, through all its tries. */
struct world_request {
	int64_t at_us;
	uint64_t order;
	enum step step;
	struct arrival arrival;
	int returns;
	int vm;
	uint64_t tried[PLACE_TRIED_MAX];
	int ntried;
	struct place_decision to;
	int64_t sent_us;
	enum place_result result;
	/** What the answer tells of the upstream; -1 if nothing. */
	int running;
	int waiting;
	/** The caller's answer: served, or come back after this time. */
	int served;
	int64_t retry_after_ms;
};

/** Lets a request take its next step after a time. */
void world_after(struct world *w, struct world_request *r, enum step step,
		 int64_t us);

/** A send has reached its upstream: it runs, waits or is refused. */
void upstream_takes(struct world *w, struct world_request *r);

/** A run has ended; the next one begins. */
void upstream_ends(struct world *w, struct world_request *r);

/** Counts what became of requests. */
void figures_init(struct world_figures *f);
void figures_finish(struct world_figures *f);
void figures_owe(struct world *w, const struct world_request *r);
void figures_serve(struct world *w, const struct world_request *r);
void figures_run(struct world *w, const struct world_request *r);

#endif
