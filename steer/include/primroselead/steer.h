#ifndef PRIMROSELEAD_STEER_H
#define PRIMROSELEAD_STEER_H

#include <primroselead/address.h>
#include <primroselead/fleet.h>
#include <primroselead/steer_workspace.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Traffic steering: which entry VMs a caller uses, which region and upstream
 * serve a request, and how planned shifts proceed. Pure functions over plain
 * data: nothing here reads a clock, does I/O or keeps state; the time and
 * random numbers are arguments. Integers named region, from or to are indexes
 * into steer_view.region, and fields named domain are indexes of failure
 * domains. Points in time (now_ms, reported_ms and those named ..._until_ms or
 * ..._seen_ms) are on the clock of prl_now_ms().
 */

/** Maximum number of regions of a fleet. */
#define STEER_REGIONS_MAX 32

/** Maximum number of entry VMs in a steer_lookup_answer. */
#define STEER_LOOKUP_MAX 4

/** Size of a name, including the terminating null byte. */
#define STEER_NAME_MAX 64

/** Returned or stored instead of an index when there is none. */
#define STEER_NONE (-1)

/** Whether a VM or an upstream takes new requests. */
enum steer_state {
	STEER_ACTIVE,
	/** Takes no new requests and finishes those that it has. */
	STEER_LEAVING,
	/** Serves nothing. */
	STEER_GONE,
};

/** Maximum number of services from which a VM is told apart to be isolated. */
#define STEER_ISOLATED_MAX 4

/** An entry VM: it takes requests from callers and forwards them to upstreams.
 */
struct steer_vm {
	/** Hash of the VM's name. */
	uint64_t id;
	int region;
	int domain;
	enum steer_state state;
	char address[PRL_ADDRESS_MAX];
	/** Where it takes requests that other VMs relay; empty if not known. */
	char relay_address[PRL_ADDRESS_MAX];
	/** Hashes of the names of the services that the VM is isolated from:
	 * it reaches none of their upstreams. */
	uint64_t isolated[STEER_ISOLATED_MAX];
	int nisolated;
	/** Set if the VM is isolated from all services, or from more than are
	 * listed. */
	int isolated_from_all;
};

/** Load balancing policy: how an upstream is chosen. */
enum steer_lb_policy {
	STEER_RANDOM,
	STEER_ROUND_ROBIN,
	/** The fewest outstanding requests of this process. */
	STEER_LEAST_OUTSTANDING,
	/** Of two random upstreams the one with fewer of its slots taken. */
	STEER_POWER_OF_TWO,
	/** Of two random upstreams the one with the shorter expected time, by
	 * latency and slots taken. */
	STEER_PROBE,
};

/** An upstream as the service file or the platform describes it. */
struct steer_upstream {
	/** Hash of the address or, for an upstream of a manifest, of the
	 * instance and the time of its start. */
	uint64_t id;
	int region;
	int domain;
	enum steer_state state;
	/** Number of requests that the upstream runs at once. */
	int slots;
	/** Maximum number of connections that the upstream accepts from all VMs
	 * together; 0 if not known. */
	int connections_max;
	/** Index of its statistics in this process. */
	int stats_index;
	char address[PRL_ADDRESS_MAX];
	/** Name of the instance, which a restart may keep; empty if not known.
	 */
	char instance[STEER_NAME_MAX];
	/** The caches are cold until this time. */
	int64_t cold_until_ms;
	/** No requests are sent until this time. */
	int64_t paused_until_ms;
	/** Rate at which this VM may send it requests while it is cold, in
	 * thousandths of a request per second. */
	int64_t cold_rate_milli;
	/** The upstream wants no requests from this VM until this time. */
	int64_t closed_until_ms;
	/** The upstream names a rate limit until the first time, and is sent
	 * nothing until the second, since it got more before the limit was
	 * known. */
	int64_t limited_until_ms;
	int64_t limit_resumes_ms;
	/** Limit for all VMs together, and this VM's part of it, in thousandths
	 * of a request per second. */
	int64_t limit_milli;
	int64_t limit_part_milli;
	/** Whether this VM alone among the entry VMs sends it health checks. */
	int is_health_checker;
};

/** Settings of a service for one region. */
struct steer_service_region {
	/** Requests that the region serves at once; 0 if the service does not
	 * run there. */
	int capacity;
	/** Weight for requests that enter where the service does not run. */
	int weight;
	/** Regions that take requests beyond the capacity, nearest first. */
	int8_t spill[STEER_REGIONS_MAX];
	int nspill;
	/** The region's upstreams are consecutive in the service's table. */
	int first_upstream;
	int nupstream;
	/** Index of the semaphore for this process's part of the capacity. */
	int semaphore_index;
};

/** A bandwidth limit between two regions. */
struct steer_link {
	int from;
	int to;
	/** Limit of the whole service, in Mbit/s. */
	int rate_mbit;
	/** Index of the semaphore for this process's part of the limit. */
	int semaphore_index;
};

/** Direction in which the share of a shift changes. */
enum steer_direction {
	/** Grows to the cap. */
	STEER_FORWARD,
	/** Stays. */
	STEER_PAUSE,
	/** Shrinks to 0. */
	STEER_BACK,
};

/** A planned, gradual shift of traffic from one region to another. */
struct steer_shift {
	/** STEER_NONE if there is no shift. */
	int from;
	int to;
	/** Greatest share of the traffic that may be shifted, in permille. */
	int cap_permille;
	/** Change of the share in one step, in permille. */
	int step_permille;
	/** Shortest time between two steps. */
	int64_t step_interval_ms;
	enum steer_direction direction;
	/** Share shifted now, in permille. */
	int share_permille;
	/** Identifies the pair of regions; progress of another plan does not
	 * count. */
	uint64_t plan_id;
};

/** A kind of request that must run at most once. */
struct steer_once_rule {
	char method[8];
	/** The whole path, or a prefix of it followed by an asterisk. */
	char path[STEER_NAME_MAX];
};

/** Configuration of one service. */
struct steer_service {
	char name[FLEET_SERVICE_MAX];
	/** Time that a request may take if its caller gives no deadline. */
	int64_t deadline_ms;
	/** Time for which a caller may use the answer to a look-up. */
	int64_t lookup_ttl_ms;
	/** Length of the slow start of a new upstream. */
	int64_t warmup_ms;
	/** Retry budget, in percent of the successful requests. */
	int retry_percent;
	enum steer_lb_policy lb_policy;
	struct steer_service_region region[STEER_REGIONS_MAX];
	/** Sorted by region. */
	struct steer_upstream *upstream;
	int nupstream;
	struct steer_once_rule *rule;
	int nrule;
	struct steer_link *link;
	int nlink;
	struct steer_shift shift;
	/** Version of the service file, or of the manifest that names it. */
	int64_t version;
	/** Index of its statistics in this process. */
	int stats_index;
};

/** A route of the operators' manifest. */
struct steer_route {
	/** Hash of the route's name. */
	uint64_t id;
	/** Texts and split are the view's. */
	const char *host;
	const char *prefix;
	struct fleet_policy policy;
	/** Bit mask of the regions that may serve it; 0 means all. */
	uint32_t region_mask;
	/** It has home regions, and no VM or upstream is in any of them. */
	int is_homeless;
	/** Services among which its requests are split by weight. */
	const struct fleet_split *split;
	int nsplit;
	/** Requests need no key although the view has workspaces. */
	int is_public;
};

/** Snapshot of the configuration and the VM list on which all decisions are
 * based. Immutable once built. */
struct steer_view {
	/** Revision up to which the configuration is complete; the manifest's
	 * version if services come from a manifest. */
	int64_t revision;
	/** Each VM gives the regions its own order; the ids, hashes of the
	 * names, are the same everywhere. */
	char region[STEER_REGIONS_MAX][STEER_NAME_MAX];
	uint64_t region_id[STEER_REGIONS_MAX];
	int nregion;
	/** Sorted by region. */
	struct steer_vm *vm;
	int nvm;
	/** Position of this VM among the active VMs of its region. */
	int self_rank;
	/** Number of active VMs in the region of this VM; 0 if this VM is not
	 * active. */
	int self_region_nactive;
	/** Index of the first VM of each region; the VMs of region r end before
	 * first_vm[r + 1]. */
	int first_vm[STEER_REGIONS_MAX + 1];
	/** Sorted by name. Services that did not change are shared with the
	 * previous view. */
	struct steer_service **service;
	int nservice;
	/** Version of the operators' manifest; 0 if services are published as
	 * files. */
	int64_t manifest_version;
	/** Sorted by host, longest prefix first. */
	struct steer_route *route;
	int nroute;
	/** Requests need a key, but on public routes. */
	int has_workspaces;
	/** Sorted by id. */
	struct steer_workspace *workspace;
	int nworkspace;
	/** Sorted by digest. */
	struct steer_key *key;
	int nkey;
	struct fleet_limits limits;
	/** Services and upstreams of the manifest for which there is no index.
	 */
	int nleft_out;
	/** Number of active entry VMs, this one included. */
	int nactive;
	/** Index of this VM, or STEER_NONE if it is not listed. */
	int self;
};

/** Whether a VM is isolated from a service, given by the hash of its name. */
int steer_vm_is_isolated(const struct steer_vm *vm, uint64_t service);

/** Returns the index of a service by name (len bytes), or STEER_NONE. */
int steer_find_service(const struct steer_view *v, const char *name,
		       size_t len);

/** Returns the index of a region by name, or STEER_NONE. */
int steer_find_region(const struct steer_view *v, const char *name);

/** Returns the route of a host with the longest prefix of a path, or null. The
 * case of the host and a port after it are ignored. */
const struct steer_route *steer_find_route(const struct steer_view *v,
					   const char *host, const char *path);

/** Returns whether the service file demands that a request runs at most once.
 */
int steer_runs_at_most_once(const struct steer_service *s, const char *method,
			    const char *path);

/** Request for the entry VMs that a caller is to use. */
struct steer_lookup_request {
	/** Index of the service. */
	int service;
	/** Index of the region that the caller is in or next to. */
	int region;
	/** Hash of the caller's address block. */
	uint64_t block;
};

/** One entry VM of an answer. */
struct steer_lookup_entry {
	/** Index of the VM. */
	int vm;
	/** Share of the caller's requests, in permille. */
	int weight_permille;
};

/** Answer to a look-up, preferred VM first. */
struct steer_lookup_answer {
	struct steer_lookup_entry entry[STEER_LOOKUP_MAX];
	int n;
};

/**
 * Chooses active entry VMs: up to all but one from the caller's region, the
 * rest from the regions of the service's spill order and then from any region.
 * Within a region VMs of different failure domains are preferred, in rendezvous
 * order, so that the loss of a VM moves only its own callers. The answer is
 * empty if no VM is active; else its weights sum to 1000.
 */
void steer_lookup(const struct steer_view *v,
		  const struct steer_lookup_request *req,
		  struct steer_lookup_answer *out);

/** Maximum number of entry VMs that steer_nearby_vms() returns. */
#define STEER_NEARBY_MAX 64

/** Fills the indexes of the active entry VMs of a region and returns their
 * number. VMs that are isolated from all services are left out while two others
 * remain. Uses all regions if the region has fewer than two active VMs, since
 * callers could not survive the loss of a single VM, or if it is STEER_NONE.
 */
int steer_nearby_vms(const struct steer_view *v, int region,
		     int vm[STEER_NEARBY_MAX]);

/** Returns the index of a link's semaphore, or STEER_NONE if the link is not
 * limited. */
int steer_link_semaphore_index(const struct steer_service *s, int from, int to);

/** Why a region is tried for a request. */
enum steer_reason {
	/** The home region. */
	STEER_LOCAL,
	/** The destination of a shift. */
	STEER_SHIFTED,
	/** A region of the home region's spill order, for when the regions
	 * before it have no free capacity or no upstream. */
	STEER_SPILLED,
};

/** Regions to try for one request, in order. */
struct steer_region_order {
	int region[STEER_REGIONS_MAX];
	enum steer_reason reason[STEER_REGIONS_MAX];
	int n;
};

/**
 * Returns the home region of a request: the region that it entered if the
 * service runs there, else one drawn by the regions' weights and the caller's
 * block. STEER_NONE if the service runs nowhere.
 */
int steer_home_region(const struct steer_service *s, int nregion, int entered,
		      uint64_t block);

/**
 * Returns whether the requests of a caller's block are in the share that a
 * shift moves from their home region. The blocks of a smaller share are a
 * subset of those of a larger one, so that two VMs at different steps together
 * never shift more than the larger share.
 */
int steer_is_shifted(const struct steer_shift *shift, int home, uint64_t block);

/** Fills the regions to try for a request: the destination of the shift if the
 * request is shifted, the home region, then its spill order. Regions where the
 * service does not run are left out. */
void steer_order_regions(const struct steer_service *s, int home, int shifted,
			 struct steer_region_order *out);

/** Load of an upstream as far as this process knows. */
struct steer_upstream_load {
	/** Requests that this process has there. */
	int outstanding;
	/** Requests running there by its last load report; -1 without a report.
	 */
	int reported_running;
	/** Time of the last load report. */
	int64_t reported_ms;
	/** Moving average of the time of a request in microseconds; 0 without a
	 * sample. */
	int64_t latency_us;
	/** Moving average of the share of failures, in permille. */
	int failure_permille;
	/** When it was first seen; start of its slow start. */
	int64_t first_seen_ms;
};

/** Input of steer_pick_upstream(). */
struct steer_pick_input {
	/** The candidates. */
	const struct steer_upstream *upstream;
	/** One for each candidate. */
	const struct steer_upstream_load *load;
	int n;
	enum steer_lb_policy lb_policy;
	int64_t warmup_ms;
	int64_t now_ms;
	/** Random number; for STEER_ROUND_ROBIN a counter of requests. */
	uint64_t random;
	/** Candidate that failed for this request before, or STEER_NONE. */
	int excluded;
	/** Slots of each candidate that this VM uses before any others, as
	 * filled by steer_divide_slots(), or null. */
	const int *quota;
};

/**
 * Divides the slots of a region's active upstreams evenly among its entry VMs.
 * Fills how many slots of each upstream the VM with this rank among "vms" uses
 * first. VMs do not know each other's requests; without the division several
 * could choose one upstream while another is idle.
 */
void steer_divide_slots(const struct steer_upstream *upstream, int n, int rank,
			int vms, int *quota);

/**
 * Chooses an active upstream with a free slot: one within the quota if there is
 * any, else one by the load balancing policy. Only the requests of this process
 * count as taken slots. Returns its index among the candidates, or STEER_NONE.
 */
int steer_pick_upstream(const struct steer_pick_input *p);

/** Returns the index of the split of a route that gets the next request, by
 * smooth weighted round robin, or STEER_NONE if no split has a weight. "credit"
 * is the state between calls, all zero at first. */
int steer_next_split(const struct steer_route *r, int64_t *credit);

/** Progress of a shift as kept in the store. */
struct steer_shift_progress {
	uint64_t plan_id;
	int share_permille;
};

/** Input of steer_shift_next_step(). */
struct steer_shift_input {
	struct steer_shift shift;
	struct steer_shift_progress progress;
	/** When the progress was first seen; the step interval starts here. */
	int64_t progress_seen_ms;
	int64_t now_ms;
	/** Average latency in the destination region relative to that in the
	 * region of origin, in percent; 0 if not known. */
	int latency_ratio_percent;
	/** Part of the destination's capacity that is in use, in percent. */
	int load_percent;
};

/**
 * Returns 1 if new progress is to be written to the store, else 0. "next" is
 * the new progress and valid only with 1. A share above a lowered cap is cut at
 * once; other steps wait for the step interval, and steps that add traffic also
 * until the destination is neither slow nor nearly full. Progress of another
 * plan counts as a share of 0.
 */
int steer_shift_next_step(const struct steer_shift_input *s,
			  struct steer_shift_progress *next);

/** Returns the share that is in force, in permille: that of the progress within
 * the cap, or 0 if the progress is of another plan. */
int steer_shift_share(const struct steer_shift *shift,
		      const struct steer_shift_progress *progress);

#endif
