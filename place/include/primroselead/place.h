#ifndef PRIMROSELEAD_PLACE_H
#define PRIMROSELEAD_PLACE_H

#include <primroselead/budget.h>
#include <primroselead/order.h>
#include <primroselead/reach.h>
#include <primroselead/steer.h>

/*
 * Load balancing of requests that match a route: chooses the region and the
 * upstream of a request and keeps the statistics on which the choice is based.
 * This package does no I/O and reads no clock: the code that calls it passes in
 * the time, sends the request and reports how the attempt ended. Points in time
 * are on the clock of prl_now_ms() or prl_now_us(). Not thread-safe: each
 * thread has its own place_upstream_stats and place_service_state.
 */

/** Moving average of times, which expires. All zero means no sample. */
struct place_average {
	int64_t us;
	/** Time of the last sample. */
	int64_t sampled_ms;
};

/** Load report of an upstream. All zero means none. */
struct place_report {
	/** Requests of other VMs that run or wait there, in thousandths. */
	int64_t others_inflight_milli;
	int64_t reported_ms;
};

/** Statistics that one thread keeps of one upstream. All zero is the initial
 * state. */
struct place_upstream_stats {
	/** Newest load report, to this VM or another one of its region. */
	struct place_report report;
	/** How long work takes on the upstream's VM, in permille of the usual,
	 * as last reported, and when that was; 0 if it never was. */
	int slowness_permille;
	int64_t slowness_reported_ms;
	/** Time of an attempt. */
	struct place_average latency;
	/** Moving average of the share of failed attempts, in permille. */
	int failure_permille;
	int64_t last_failure_ms;
	/** Consecutive attempts that did not reach the upstream. */
	int unreachable_count;
	/** The upstream is ejected (gets no requests) before this time. */
	int64_t ejected_until_ms;
	/** Limits the requests sent while the upstream is cold. */
	struct limit_rate cold_limit;
	/** Limits the requests sent while the upstream names a rate limit. */
	struct limit_rate named_limit;
};

/** How an attempt at an upstream ended. */
enum place_result {
	/** The upstream answered, and not with a failure. */
	PLACE_ANSWERED,
	/** The upstream answered with a failure, or the deadline passed. */
	PLACE_FAILED,
	/** The upstream refused the request, which did not run. */
	PLACE_REFUSED,
	/** The connection broke after the request was sent, or the answer
	 * violated the protocol. */
	PLACE_BROKEN,
	/** The connection could not be made, or another upstream answers at
	 * this address. */
	PLACE_UNREACHED,
};

/** Maximum number of upstreams that one request is tried at. */
#define PLACE_TRIED_MAX 8

/** Estimated load of a region, from which the shares are computed. */
struct place_region_load {
	/** Slots of the upstreams that are neither cold, limited nor ejected.
	 */
	int64_t slots;
	/** Requests that run or wait at these upstreams, in thousandths. */
	int64_t inflight_milli;
	/** Slots of the upstreams that only this VM has ejected. */
	int64_t ejected_slots;
	/** Number of upstreams with these and those slots; 0 if not known. */
	int64_t nupstream;
	/** Requests of the region's callers, in thousandths a second; 0 if not
	 * known. */
	int64_t demand_milli;
};

/** Returns the occupancy of a region up to which its callers are best served
 * there, in permille, for upstreams of so many slots: the fewer these are, the
 * earlier requests queue. */
int64_t place_occupancy_max(int64_t slots);

/**
 * Computes the shares in which the requests of one region's callers are to be
 * split over the regions, from what all VMs know alike: each region carries a
 * part of all demand as its slots are of all slots, its own callers first. With
 * demand that is not known, that of all regions counts as equal. All 0 if there
 * are no slots.
 */
void place_region_split(const struct place_region_load *load, int nregion,
			int own, int64_t share_ppm[STEER_REGIONS_MAX]);

/** Distribution of one region's requests over the regions that serve them. */
struct place_shares {
	/** Share of each region in millionths; the shares sum to about a
	 * million, or are all 0. */
	int64_t share_ppm[STEER_REGIONS_MAX];
	/** Credits of smooth weighted round robin: the requests that each
	 * region is owed, in millionths; negative if it is ahead of its share.
	 */
	int64_t credit[STEER_REGIONS_MAX];
	int64_t updated_ms;
	/** 0 until the first update that finds slots, and again once there are
	 * none. */
	int initialized;
};

/** Number of buckets of a place_move_window. */
#define PLACE_MOVE_BUCKETS 4

/** Sliding window over the requests placed in the last 2 s, newest bucket
 * first. */
struct place_move_window {
	/** Start of the newest bucket. */
	int64_t bucket_start_ms;
	struct {
		/** Requests placed in the own region. */
		int local;
		/** Requests placed in another region. */
		int remote;
	} bucket[PLACE_MOVE_BUCKETS];
};

/** Recent requests of one thread that are to run in another region. All zero is
 * the initial state. */
struct place_region_uses {
	/** Requests in the last seconds, in thousandths. */
	int64_t milli;
	int64_t counted_ms;
	/** The requests are so many that connections to the region's upstreams
	 * are kept. */
	int keeps_connections;
};

/** State that one thread keeps of one service. All zero is the initial state.
 */
struct place_service_state {
	struct place_shares shares;
	struct place_move_window move_window;
	/** Limits retries; used by the code that calls this package. */
	struct limit_budget retry_budget;
	/** Divides the retries by urgency. */
	struct order_retries retries;
	/** Limits requests placed outside of the region that the shares give.
	 */
	struct limit_budget overflow_budget;
	/** Moving average of the time of a request that does not queue at the
	 * upstream, for each region, in microseconds; 0 without a sample. */
	int64_t service_time_us[STEER_REGIONS_MAX];
	/** What VMs of another region tell of the requests that run or wait
	 * there, in thousandths, and when they told it. */
	struct {
		int64_t inflight_milli;
		int64_t told_ms;
	} told[STEER_REGIONS_MAX];
	/** The same as service_time_us for the requests without "sticky" (index
	 * 0) and for those with it. */
	struct place_average kind_time[2][STEER_REGIONS_MAX];
	struct place_isolation isolation;
	struct place_region_uses region_uses[STEER_REGIONS_MAX];
};

/**
 * Parameters of the cost model. The home upstreams of an object are the first
 * home_count usable ones of its rendezvous order: they may have the object in a
 * warm cache.
 */
struct place_params {
	int home_count;
	/** Expected extra time at a home upstream other than the first, which
	 * may have the object, in permille of the service time. */
	int second_home_penalty_permille;
	/** Expected extra time at any other upstream, which hardly ever has the
	 * object, in permille of the service time. */
	int non_home_penalty_permille;
	/** Upstreams other than the homes are used only while at most this part
	 * of their slots is taken, in permille: a cache miss takes capacity
	 * from requests for objects that are in the cache there. */
	int idle_max_permille;
	/** Expected cost of a failure, in permille of the service time. */
	int failure_penalty_permille;
	/** Longest useful wait in an upstream's queue, in permille of the
	 * latency objective. */
	int wait_max_permille;
	/** The same for requests of priority 0 or 1. */
	int urgent_wait_max_permille;
};

/** Parameters used in production. */
extern const struct place_params place_default_params;

/** A request to be placed. */
struct place_request {
	const struct steer_service *service;
	int nregion;
	/** Ids of the regions, which are the same at all VMs. */
	const uint64_t *region_id;
	/** Region of this VM. */
	int own_region;
	/** Bit mask of the regions that may serve the request. */
	uint32_t region_mask;
	/** Requests of each region's callers for the service, in thousandths a
	 * second; 0 if not known. */
	int64_t region_demand_milli[STEER_REGIONS_MAX];
	/** Another VM has chosen this VM's region and passed the request on:
	 * it is placed nowhere else, and counts for the shares and the move
	 * window of that VM only. */
	int passed_on;
	/** Bit mask of the regions that have just refused the request. */
	uint32_t full_regions;
	/** Indexed by steer_upstream.stats_index. */
	struct place_upstream_stats *stats;
	struct place_service_state *state;
	/** Returns the requests that this VM has at an upstream. */
	int (*outstanding)(const void *ctx, int stats_index);
	/** Passed to outstanding(). */
	const void *ctx;
	/** Traffic threads of this VM; each gets an equal part of the VM's part
	 * of the rate of an upstream that is cold or names a limit. */
	int vm_threads;
	/** Threads of all entry VMs together; each gets an equal part of an
	 * upstream's connections. */
	int fleet_threads;
	/** Platform's bound on the share of requests that may move to another
	 * region from one window of 2 s to the next, in permille. */
	int64_t move_max_permille;
	/** Hash of the object that is requested; 0 if there is none. */
	uint64_t object_hash;
	/** Upstreams are faster for an object that they handled lately. */
	int sticky;
	/** Random number; used instead of object_hash without "sticky". */
	uint64_t random;
	/** Ids of the upstreams that the request was tried at. */
	const uint64_t *tried_ids;
	int ntried;
	/** Priority; a lower number is more urgent, and 0 and 1 are urgent. */
	int priority;
	int64_t latency_objective_ms;
	int64_t deadline_ms;
	/** The request waits: an earlier call found no upstream for it, and
	 * counted it. */
	int is_repeated;
	int64_t now_ms;
	int64_t now_us;
	const struct place_params *params;
};

/** Result of place_choose(). */
struct place_decision {
	int region;
	/** Index in the service's table of upstreams. */
	int upstream;
	/** Expected wait in the upstream's queue in ms. If no upstream was
	 * found: the shortest wait among those looked at, or PRL_NEVER. */
	int64_t wait_ms;
	/** If no upstream was found: the time until the wait at one of those
	 * looked at is useful, or PRL_NEVER. */
	int64_t delay_ms;
	/** Position of the upstream among the usable ones in the object's
	 * rendezvous order, counted up to 4; 0 is the first home. */
	int rank;
	/** Requests at the upstream including this one, in thousandths. */
	int64_t inflight_milli;
};

/**
 * Chooses a region by the shares, which follow the load, and the upstream in
 * it with the lowest expected cost. If that region has no useful upstream,
 * other regions are tried within the overflow budget and the bound on moves.
 * A request that no upstream can start within a useful wait is shed, which
 * bounds queues under overload. On success the request is counted in the move
 * window and, if the upstream is cold, against its rate. Returns 1, or 0 if no
 * upstream can take the request; then only out->wait_ms is set.
 */
int place_choose(const struct place_request *req, struct place_decision *out);

/** The first part of place_choose(): returns the region by the shares, or
 * STEER_NONE if none has a share. */
int place_plan_region(const struct place_request *req);

/** The second part: chooses an upstream, first in the planned region. */
int place_choose_planned(const struct place_request *req, int planned,
			 struct place_decision *out);

/** Returns the upstream of a region that is the first home of the request's
 * object, or any if there is none, as an index in the service's table; else
 * STEER_NONE. */
int place_first_home(const struct place_request *req, int region);

/** Counts a request that is to run in a region. Returns whether there are so
 * many of them that the connections to its upstreams, which these close when
 * they have been idle for idle_ms, are mostly kept: uses_min for each upstream
 * in that time. */
int place_keeps_connections(const struct place_request *req, int region,
			    int64_t idle_ms, int64_t uses_min);

/** Whether the request may be passed on to a VM of another region, which places
 * it there. If so, counts it in the move window. */
int place_pass_on(const struct place_request *req, int region);

/** A finished attempt at an upstream. */
struct place_attempt {
	enum place_result result;
	int region;
	/** "sticky" of the place_request. */
	int sticky;
	/** Time from sending the request to its end. */
	int64_t duration_us;
	/** The request was expected to queue at the upstream. */
	int queued;
	/** The answer reported the upstream's load. */
	int reported_load;
};

/** Updates the statistics after an attempt; may eject the upstream. */
void place_record_attempt(struct place_upstream_stats *u,
			  struct place_service_state *s,
			  const struct place_attempt *attempt, int64_t now_ms);

/** Updates the statistics from a load report of the upstream: its running and
 * waiting requests, of which this VM has own_outstanding. */
void place_record_load(struct place_upstream_stats *u, int running, int waiting,
		       int own_outstanding, int64_t told_ms);

/** Records how long work takes on the upstream's VM, in percent of the usual,
 * as the upstream reports it. */
void place_record_slowness(struct place_upstream_stats *u, int percent,
			   int64_t now_ms);

/** Age of the upstream's last load report in ms; PRL_NEVER without one. */
int64_t place_report_age_ms(const struct place_upstream_stats *u,
			    int64_t now_ms);

/**
 * Returns the time after which a refused caller may retry, in ms: the shortest
 * wait found (wait_ms, or PRL_NEVER) within fixed bounds, plus up to as much
 * again at random, so that refused callers do not all come back at once.
 */
int64_t place_retry_after(int64_t wait_ms, uint64_t random);

/** Estimated state of one upstream when a request is placed. */
struct place_estimate {
	/** The upstream may be sent a request now. */
	int available;
	/** Requests that run or wait at the upstream, in thousandths. */
	int64_t inflight_milli;
	/** Time of a request relative to the region's service time, in
	 * permille. */
	int64_t slowness_permille;
	/** Moving average of the share of failed attempts, in permille. */
	int failure_permille;
};

/** Returns what a load report of some age still counts for. */
int64_t place_decay(int64_t inflight_milli, int64_t age_ms);

/** Returns the requests at an upstream in thousandths: this VM's own, and those
 * of others by its last report, which decays linearly to 0 with its age. */
int64_t place_inflight(const struct place_upstream_stats *u,
		       int own_outstanding, int64_t now_ms);

/** Returns the average time of a request of one kind that does not queue, in
 * us, or 0 if there is no recent sample: else a kind that is refused because it
 * was slow would never be measured again. */
int64_t place_kind_time_us(const struct place_service_state *s, int sticky,
			   int region, int64_t now_ms);

/** Fills all fields of an estimate but "available". service_time_us is that of
 * the upstream's region and must not be 0. */
void place_estimate_fill(const struct place_upstream_stats *u,
			 int own_outstanding, int64_t service_time_us,
			 int64_t now_ms, struct place_estimate *out);

/** The upstreams of one region among which a request is placed. */
struct place_candidates {
	const struct steer_upstream *upstream;
	/** One for each upstream. */
	const struct place_estimate *estimate;
	int n;
	/** Key of the rendezvous order. */
	uint64_t object_hash;
	/** The upstreams keep objects in caches; without it there are no
	 * homes, and the order only breaks ties. */
	int sticky;
	const uint64_t *tried_ids;
	int ntried;
	/** Time of a request that does not queue, in ms. */
	int64_t service_time_ms;
	/** Longest useful wait in an upstream's queue, in ms. */
	int64_t wait_max_ms;
	/** Time until the deadline, in ms. */
	int64_t time_left_ms;
	const struct place_params *params;
};

/** Result of place_choose_in_region(). */
struct place_region_decision {
	/** Index among the candidates, or STEER_NONE. */
	int upstream;
	/** Expected wait in the upstream's queue in ms. If no upstream was
	 * found: the shortest wait of those that are usable, or PRL_NEVER. */
	int64_t wait_ms;
	/** Position of the upstream among the usable ones in the object's
	 * rendezvous order, counted up to 4; 0 is the first home. */
	int rank;
};

/**
 * Chooses an upstream of one region by rendezvous hashing with bounded load:
 * the object's first home while it has room, other upstreams of the order where
 * the shorter wait makes up for the expected cache misses. All VMs derive the
 * same order without communication, and an upstream that joins or leaves moves
 * only its own objects. Suited to loads with many requests for few objects that
 * are several times faster with a warm cache.
 */
void place_choose_in_region(const struct place_candidates *c,
			    struct place_region_decision *out);

/**
 * Moves the shares towards the regions with free slots, by at most "rate"
 * millionths a second. The rate limit makes the shares follow the average load
 * instead of short peaks, since requests should seldom change the region that
 * serves them. A region without slots loses its share at once.
 */
void place_shares_update(struct place_shares *s,
			 const struct place_region_load *load, int nregion,
			 int own, int64_t rate, int64_t now_ms);

/**
 * Returns the region for the next request among those in the mask, or
 * STEER_NONE if none of them has a share. An object (0 means none) has a fixed
 * region, by the regions' ids, so that it is cached in only one, as long as
 * that region is not ahead of its share by more than a few requests; else the
 * region with the highest credit is returned.
 */
int place_shares_next_region(struct place_shares *s, uint32_t mask,
			     const uint64_t *region_id, uint64_t object);

/**
 * Returns whether one more request may be placed in another region, so that
 * those placed there in the last 2 s stay within "permille" of all requests
 * placed, plus a small constant. Always 1 if few requests were placed, or none
 * in the own region, which is then taken to be down. The shares alone do not
 * ensure this: they divide the requests that arrive, and under overload the own
 * region refuses most of its part, so that the other regions' part of the
 * placed requests would keep growing.
 */
int place_move_window_allows(struct place_move_window *w, int64_t permille,
			     int64_t now_ms);

/** Counts a request placed in another region (remote) or in the own one. */
void place_move_window_count(struct place_move_window *w, int remote,
			     int64_t now_ms);

#endif
