#ifndef PRIMROSELEAD_STEER_H
#define PRIMROSELEAD_STEER_H

#include <primroselead/address.h>
#include <primroselead/fleet.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The decisions: pure functions over plain data. Nothing here reads a clock,
 * does I/O or keeps state; the caller passes the time and random numbers in.
 */

/** Most regions of a fleet. */
#define STEER_REGIONS_MAX 32

/** Most entry VMs in the answer to a look-up. */
#define STEER_LOOKUP_MAX 4

/** Size of a name, its end included. */
#define STEER_NAME_MAX 64

/** Index of no region, VM, service or upstream. */
#define STEER_NONE (-1)

/** Whether something takes new work. */
enum steer_state {
	STEER_ACTIVE,
	/** Finishes what it has. */
	STEER_LEAVING,
	STEER_GONE,
};

/** An entry VM. */
struct steer_vm {
	/** Hash of the VM's name. */
	uint64_t id;
	int region;
	int domain;
	enum steer_state state;
	char address[PRL_ADDRESS_MAX];
};

/** How an upstream is chosen. */
enum steer_lb_policy {
	STEER_RANDOM,
	STEER_ROUND_ROBIN,
	STEER_LEAST_OUTSTANDING,
	STEER_POWER_OF_TWO,
	STEER_PROBE,
};

/** An upstream as the service file and the VM list describe it. */
struct steer_upstream {
	uint64_t id;
	int region;
	int domain;
	enum steer_state state;
	int slots;
	/** Connections that it accepts from all VMs; 0 if that isn't known. */
	int connections_max;
	/** Handle of its counters in the process that sends to it. */
	int stats_index;
	char address[PRL_ADDRESS_MAX];
	/** Name of its present start; empty if it has none. */
	char instance[STEER_NAME_MAX];
	/** Cold until this point of prl_now_ms. */
	int64_t cold_until_ms;
	/** Sent nothing until this point of prl_now_ms. */
	int64_t paused_until_ms;
	/** Requests that this VM may send it while it is cold, in thousandths
	 * a second. */
	int64_t cold_rate_milli;
	/** Of all VMs, this one asks it how it is when nobody else tells. */
	int is_health_checker;
};

/** One region of a service. */
struct steer_service_region {
	/** Requests it carries at once; 0 if the service does not run there. */
	int capacity;
	int weight;
	/** Regions that take what it can't carry, nearest first. */
	int8_t spill[STEER_REGIONS_MAX];
	int nspill;
	/** Its upstreams are a run of the service's table. */
	int first_upstream;
	int nupstream;
	/** Handle of the capacity that this process holds there. */
	int semaphore_index;
};

/** A link between two regions whose rate is limited. */
struct steer_link {
	int from;
	int to;
	/** Rate for the whole service, in Mbit/s. */
	int rate_mbit;
	/** Handle of the part of it that this process holds. */
	int semaphore_index;
};

/** Direction of a shift. */
enum steer_direction {
	STEER_FORWARD,
	STEER_PAUSE,
	STEER_BACK,
};

/** A planned move of traffic between two regions. */
struct steer_shift {
	/** STEER_NONE if there is no shift. */
	int from;
	int to;
	/** Greatest share that may be moved, in permille. */
	int cap_permille;
	int step_permille;
	int64_t step_interval_ms;
	enum steer_direction direction;
	/** Share moved now, in permille; never above the cap. */
	int share_permille;
	/** Names the pair of regions; progress of another pair is void. */
	uint64_t plan_id;
};

/** A kind of request that runs at most once. */
struct steer_once_rule {
	char method[8];
	char path[STEER_NAME_MAX];
};

/** One service. */
struct steer_service {
	char name[STEER_NAME_MAX];
	int64_t deadline_ms;
	int64_t lookup_ttl_ms;
	int64_t warmup_ms;
	int retry_percent;
	enum steer_lb_policy lb_policy;
	struct steer_service_region region[STEER_REGIONS_MAX];
	struct steer_upstream *upstream;
	int nupstream;
	struct steer_once_rule *rule;
	int nrule;
	struct steer_link *link;
	int nlink;
	struct steer_shift shift;
	/** Revision of its file. */
	int64_t version;
	/** Handle of its counters in this process. */
	int stats_index;
};

/** A route of the operators' manifest. */
struct steer_route {
	char host[FLEET_HOST_MAX];
	char prefix[FLEET_PATH_MAX];
	struct fleet_policy policy;
	/** Regions that may serve it, a bit each; 0 means all. */
	uint32_t region_mask;
	struct fleet_split split[FLEET_SPLITS_MAX];
	int nsplit;
	/** Handle of its counters in this process. */
	int stats_index;
};

/** All that decisions are made from; immutable once built. */
struct steer_view {
	int64_t revision;
	char region[STEER_REGIONS_MAX][STEER_NAME_MAX];
	int nregion;
	/** Sorted by region. */
	struct steer_vm *vm;
	int nvm;
	/** Rank of the own VM among the active ones of its region, and their
	 * number; 0 VMs if it isn't one of them. */
	int self_rank;
	int nranked;
	int first_vm[STEER_REGIONS_MAX + 1];
	/** Sorted by name; services that did not change are shared with the
	 * view before. */
	struct steer_service **service;
	int nservice;
	/** Version of the operators' manifest; 0 if services are published as
	 * files. Its routes are sorted by host, longest prefix first. */
	int64_t manifest_version;
	struct steer_route *route;
	int nroute;
	struct fleet_limits limits;
	/** Entry VMs that take work, this one included. */
	int nactive;
};

/** Index of a service by name, or STEER_NONE. */
int steer_find_service(const struct steer_view *v, const char *name,
		       size_t len);

/** Index of a region by name, or STEER_NONE. */
int steer_find_region(const struct steer_view *v, const char *name);

/** Route with the longest prefix of a path for a host, without regard to its
 * port and case; null if there is none. */
const struct steer_route *steer_find_route(const struct steer_view *v,
					   const char *host, const char *path);

/** Whether the service's file says that a request runs at most once. */
int steer_runs_at_most_once(const struct steer_service *s, const char *method,
			    const char *path);

/** A question which entry VMs to use. */
struct steer_lookup_request {
	int service;
	/** Region that the caller is in or next to. */
	int region;
	/** Hash of the block of addresses that the caller is in. */
	uint64_t block;
};

/** One entry VM of an answer. */
struct steer_lookup_entry {
	int vm;
	/** Share of the caller's requests, in permille. */
	int weight_permille;
};

/** Answer to a look-up, best VM first. */
struct steer_lookup_answer {
	struct steer_lookup_entry entry[STEER_LOOKUP_MAX];
	int n;
};

/**
 * Chooses entry VMs: active ones alone, those of the caller's region first,
 * then by the service's spill order; spread over failure domains. The order
 * is by rendezvous hashing, so that losing a VM moves only its own callers.
 */
void steer_lookup(const struct steer_view *v,
		  const struct steer_lookup_request *ask,
		  struct steer_lookup_answer *out);

/** Most entry VMs that one look-up by place names. */
#define STEER_NEARBY_MAX 64

/** Fills the active entry VMs of a region, and returns their number. Those of
 * all regions if the region has too few to bear a loss, or is STEER_NONE. */
int steer_nearby_vms(const struct steer_view *v, int region,
		     int vm[STEER_NEARBY_MAX]);

/** Handle of a link's hold, or STEER_NONE if the link isn't limited. */
int steer_link_semaphore_index(const struct steer_service *s, int from, int to);

/** Why a region was chosen for a request. */
enum steer_reason {
	STEER_LOCAL,
	/** Moved by a shift. */
	STEER_SHIFTED,
	/** The first region has no free capacity or no upstream. */
	STEER_SPILLED,
};

/** Regions to try for one request, in order. */
struct steer_region_order {
	int region[STEER_REGIONS_MAX];
	enum steer_reason reason[STEER_REGIONS_MAX];
	int n;
};

/**
 * Home region of a request that entered in a region: that region itself where
 * the service runs there, else one by the regions' weights and the block.
 */
int steer_home_region(const struct steer_service *s, int nregion, int entered,
		      uint64_t block);

/**
 * Whether a block's requests are in the share that a shift moves. The blocks
 * of a smaller share are always among those of a larger one, so that two VMs
 * at neighbouring steps together never move more than the larger share.
 */
int steer_is_shifted(const struct steer_shift *shift, int home, uint64_t block);

/** Regions to try for a request with this home; moved as decided before. */
void steer_order_regions(const struct steer_service *s, int home, int moved,
			 struct steer_region_order *out);

/** What this process knows of an upstream's load. */
struct steer_upstream_load {
	/** Requests that this process has there. */
	int outstanding;
	/** Running there as it last reported; -1 if it never did. */
	int reported_running;
	/** When it reported, on the clock of prl_now_ms. */
	int64_t reported_ms;
	/** Smoothed time of a request in microseconds; 0 if none is known. */
	int64_t latency_us;
	/** Smoothed share of failures, in permille. */
	int failure_permille;
	/** When it was first seen, on the clock of prl_now_ms. */
	int64_t first_seen_ms;
};

/** An upstream choice: candidates, their loads, the rule, the time. */
struct steer_pick_input {
	const struct steer_upstream *upstream;
	const struct steer_upstream_load *load;
	int n;
	enum steer_lb_policy lb_policy;
	int64_t warmup_ms;
	int64_t now_ms;
	/** A random number, or for STEER_ROUND_ROBIN a running count. */
	uint64_t random;
	/** Upstream tried before for this request; STEER_NONE if none. */
	int excluded;
	/** Slots of each upstream that this process uses before any others;
	 * null if there are none. */
	const int *quota;
};

/**
 * Divides the slots of a region's active upstreams among its entry VMs, so
 * that VMs which know nothing of each other's requests do not meet at one
 * upstream while another is idle. Fills the slots of each upstream that the VM
 * with this rank among "vms" uses first.
 */
void steer_divide_slots(const struct steer_upstream *upstream, int n, int rank,
			int vms, int *quota);

/**
 * Chooses an upstream that is active and has a free slot as far as this
 * process can tell. Returns its index, or STEER_NONE.
 */
int steer_pick_upstream(const struct steer_pick_input *p);

/** Part of a route for the next request, in the proportion of the weights;
 * "credit" holds the debts to the parts. STEER_NONE if no part has weight. */
int steer_next_split(const struct steer_route *r,
		     int64_t credit[FLEET_SPLITS_MAX]);

/** Progress of a shift, as kept in the store. */
struct steer_shift_progress {
	uint64_t plan_id;
	int share_permille;
};

/** What the next step of a shift is decided from. */
struct steer_shift_input {
	struct steer_shift shift;
	struct steer_shift_progress progress;
	/** When the progress was first seen, on the clock of prl_now_ms. */
	int64_t progress_seen_ms;
	int64_t now_ms;
	/** Smoothed latency in the region that traffic goes to, relative to
	 * the one it leaves, in percent; 0 if it isn't known. */
	int latency_ratio_percent;
	/** Capacity in use where traffic goes to, in percent. */
	int load_percent;
};

/**
 * Decides whether a step is due. Fills the new progress and returns 1, or
 * returns 0. Progress of another plan starts from nothing moved.
 */
int steer_shift_next_step(const struct steer_shift_input *s,
			  struct steer_shift_progress *next);

/** Share that a view may use: of this plan, and under the file's cap. */
int steer_shift_share(const struct steer_shift *shift,
		      const struct steer_shift_progress *progress);

#endif
