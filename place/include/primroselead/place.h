#ifndef PRIMROSELEAD_PLACE_H
#define PRIMROSELEAD_PLACE_H

#include <primroselead/budget.h>
#include <primroselead/steer.h>

/*
 * Which upstream a routed request goes to, and what is learnt from how it ends
 * there. Decisions over plain data: the caller passes the time in, sends the
 * request and reports its end. Used by one thread each.
 */

/** What one thread knows of one upstream that routes lead to. Zero means that
 * nothing is known. */
struct place_upstream_stats {
	/** Requests of others there, by its last report, in thousandths. */
	int64_t others_inflight_milli;
	int64_t reported_ms;
	/** Smoothed time of a request in microseconds; 0 if none is known. */
	int64_t latency_us;
	int64_t latency_sampled_ms;
	/** Smoothed share of failures, in permille. */
	int failure_permille;
	int64_t last_failure_ms;
	/** Failures to reach it in a row; it is left alone until then. */
	int unreachable_count;
	int64_t ejected_until_ms;
	struct limit_rate cold_limit;
};

/** How an attempt at an upstream ended. */
enum place_result {
	/** It answered for itself. */
	PLACE_ANSWERED,
	/** It answered with a failure. */
	PLACE_FAILED,
	/** It refused by contract: the request did not run. */
	PLACE_REFUSED,
	/** It broke off, or did not speak the protocol. */
	PLACE_BROKEN,
	/** It could not be reached, or is not at its address. */
	PLACE_UNREACHED,
};

/** Most upstreams that one request is tried at. */
#define PLACE_TRIED_MAX 8

/** What is estimated of a region's upstreams when shares are decided. */
struct place_region_load {
	/** Slots of upstreams that take work. */
	int64_t slots;
	/** Requests that run or wait there, in thousandths. */
	int64_t inflight_milli;
};

/** Shares of one region's requests among the regions that serve them. */
struct place_shares {
	/** In millionths; they sum to a million, or all are 0. */
	int64_t weight_ppm[STEER_REGIONS_MAX];
	/** Debts of the regions to their shares, for an even sequence. */
	int64_t credit[STEER_REGIONS_MAX];
	int64_t updated_ms;
	int initialized;
};

/** Buckets of time for which placed requests are counted. */
#define PLACE_MOVE_BUCKETS 4

/** Requests placed lately, the newest bucket first. */
struct place_move_window {
	int64_t bucket_start_ms;
	struct {
		int local;
		/** In another region. */
		int remote;
	} bucket[PLACE_MOVE_BUCKETS];
};

/** What one thread keeps for one service that routes lead to. */
struct place_service_state {
	struct place_shares shares;
	struct place_move_window move_window;
	struct limit_budget retry_budget;
	/** Holds placements outside of the shares to a part of all. */
	struct limit_budget overflow_budget;
	/** Smoothed time of a request without a queue by region, in us. */
	int64_t service_time_us[STEER_REGIONS_MAX];
};

/** What it costs that an object is not at hand, or that an upstream fails, when
 * objects may go where they are not at hand, and how long requests may wait. */
struct place_params {
	/** Upstreams of an object's order that may have it at hand. */
	int home_count;
	/** Time lost at the second upstream of the order, which may have the
	 * object, and at later ones, which hardly do, in permille of a
	 * request's. */
	int second_home_penalty;
	int remote_penalty;
	/** Upstreams beyond the homes are used only while at most this part of
	 * their slots is taken, in permille: what they lose by it is capacity
	 * that requests for their own objects lack. */
	int idle_max;
	/** Cost of a failure, in permille of a request's time. */
	int failure_penalty;
	/** Wait in a queue that is of use, in permille of the objective, and
	 * that of the most urgent requests. */
	int wait_max;
	int urgent_wait_max;
};

/** Those that are used. */
extern const struct place_params place_default_params;

/** A request that is to be placed. */
struct place_request {
	const struct steer_service *service;
	int nregion;
	/** Region of this VM. */
	int own_region;
	/** Regions that may serve it, a bit each. */
	uint32_t region_mask;
	/** By the handles of the upstreams. */
	struct place_upstream_stats *stats;
	struct place_service_state *state;
	/** Requests that this VM has at an upstream, by its handle. */
	int (*outstanding)(const void *ctx, int cell);
	const void *ctx;
	/** VMs and threads that divide what is for all of them together. */
	int fleet_threads;
	/** Greatest part of the requests that may change the region in which
	 * they run from one window of 2 s to the next, in permille. */
	int64_t shift_permille;
	/** Hash of its object; 0 if it has none. */
	uint64_t object_hash;
	/** The object decides which upstream is fast. */
	int sticky;
	/** Spreads requests without such an object. */
	uint64_t random;
	/** Ids of upstreams tried before. */
	const uint64_t *tried_ids;
	int ntried;
	/** 1 is the most urgent. */
	int priority;
	/** Time in which its answer is worth most, in ms. */
	int64_t latency_objective_ms;
	int64_t deadline_ms;
	int64_t now_ms;
	int64_t now_us;
	const struct place_params *params;
};

/** Where a request goes. */
struct place_decision {
	int region;
	/** Index of the upstream in the service's table. */
	int upstream;
	/** Expected wait there; without an upstream the shortest that was
	 * found, or PRL_NEVER, in ms. */
	int64_t wait_ms;
	/** Place of the upstream in the object's order; 0 is its home. */
	int rank;
	/** Requests there with this one, in thousandths. */
	int64_t inflight_milli;
};

/**
 * Chooses the region by the shares, which follow the load, and in it the
 * upstream that is expected to answer first; other regions only as far as that
 * keeps the pace of moves. Counts a request sent to a cold upstream. Answers
 * load beyond what a region carries: a request that can't be answered in a time
 * that is of use is turned away at once. Returns 1, or 0 if none can take it.
 */
int place_choose(const struct place_request *ask, struct place_decision *out);

/** How an attempt ended and how long it took. */
struct place_attempt {
	enum place_result result;
	int region;
	int64_t duration_us;
	/** It was expected to wait there. */
	int queued;
	/** The answer told the upstream's load. */
	int reported_load;
};

/** Learns from an attempt that has ended. */
void place_record_attempt(struct place_upstream_stats *k,
			  struct place_service_state *s,
			  const struct place_attempt *e, int64_t now_ms);

/** Learns from the load that an answer tells; "own" are the requests that this
 * VM has there. */
void place_record_load(struct place_upstream_stats *k, int running, int waiting,
		       int own, int64_t now_ms);

/**
 * Time in ms after which a caller that is refused may come back: when the
 * queue has shrunk, but spread, so that they don't come all at once. "wait_ms"
 * is the shortest wait that was found, or PRL_NEVER.
 */
int64_t place_retry_after(int64_t wait_ms, uint64_t random);

/** What is estimated of one upstream when a request is placed. */
struct place_estimate {
	/** It may be sent a request now. */
	int available;
	/** Requests that run or wait there, in thousandths. */
	int64_t inflight_milli;
	/** Its time for a request against that of its region, in thousandths.
	 */
	int64_t slowness_permille;
	/** Smoothed share of failures, in permille. */
	int failure_permille;
};

/** Requests at an upstream, in thousandths: the own ones, and those of others
 * by its last report, which counts the less the older it is. */
int64_t place_inflight(const struct place_upstream_stats *k, int own,
		       int64_t now_ms);

/** Fills all of an estimate but "open". "hold_us" is the time of a request in
 * the upstream's region. */
void place_estimate_fill(const struct place_upstream_stats *k, int own,
			 int64_t hold_us, int64_t now_ms,
			 struct place_estimate *out);

/** A request that is to be placed at an upstream of one region. */
struct place_candidates {
	const struct steer_upstream *upstream;
	const struct place_estimate *estimate;
	int n;
	uint64_t object_hash;
	int sticky;
	const uint64_t *tried_ids;
	int ntried;
	/** Time of a request at an upstream without a queue, in ms. */
	int64_t service_time_ms;
	/** Longest wait in an upstream's queue that is of use, in ms. */
	int64_t wait_max_ms;
	const struct place_params *params;
};

/** The upstream that was found. */
struct place_region_decision {
	/** Index of the upstream, or STEER_NONE. */
	int upstream;
	/** Expected wait there; without an upstream, the shortest found. */
	int64_t wait_ms;
	/** Place of the upstream in the object's order; 0 is its home. */
	int rank;
};

/**
 * Places a request by rendezvous hashing of its object with bounded load: the
 * object's first upstream while it has room, further ones of its order as far
 * as their room makes up for objects that they don't have at hand. All VMs
 * have the same order without talk, and an upstream that comes or goes moves
 * only its own objects. Answers the load of many requests for few objects that
 * are several times faster where they were handled lately.
 */
void place_choose_in_region(const struct place_candidates *p,
			    struct place_region_decision *out);

/**
 * Moves the shares towards the regions with room, at a bounded pace. Answers
 * waves of callers that outgrow their own region: how fast requests may change
 * the region that serves them is limited, so the shares follow the smoothed
 * load instead of the moment's. A region without any slots loses its share at
 * once. "pace" is the greatest change of a share, in millionths a second.
 */
void place_shares_update(struct place_shares *s,
			 const struct place_region_load *load, int nregion,
			 int own, int64_t pace, int64_t now_ms);

/**
 * Region for the next request: that of its object, so that an object is at
 * hand in one region, as long as no region gets ahead of its share by more
 * than a few requests; without an object (0) the region owed most. Only
 * regions in the mask count. STEER_NONE if none has a share.
 */
int place_shares_next_region(struct place_shares *s, uint32_t mask,
			     uint64_t object);

/**
 * Whether one more request may leave the own region without more than a part of
 * those that run, in permille, having left it in the last 2 s. Answers callers
 * who come many times as often at once: the shares hold what is asked for to a
 * pace, but where the own region turns most of its part away, the rest is an
 * ever greater part of what runs.
 */
int place_move_window_allows(struct place_move_window *m, int64_t permille,
			     int64_t now_ms);

/** Counts a request that is placed, away from the own region or in it. */
void place_move_window_count(struct place_move_window *m, int away,
			     int64_t now_ms);

#endif
