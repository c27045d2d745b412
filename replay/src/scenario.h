#ifndef REPLAY_SCENARIO_H
#define REPLAY_SCENARIO_H

#include <glib.h>
#include <primroselead/error.h>
#include <stdint.h>

/*
 * A deployment of one service and its load, from an INI file: the sizes, the
 * kinds of requests, what goes wrong and when. Times are in microseconds unless
 * a name says otherwise.
 */

#define SCENARIO_REGIONS_MAX 8
#define SCENARIO_KINDS_MAX 8
#define SCENARIO_FAULTS_MAX 16
#define SCENARIO_NAME_MAX 32

/** One kind of request. */
struct scenario_kind {
	char name[SCENARIO_NAME_MAX];
	/** Part of all requests, in permille. */
	int share_permille;
	/** Time at an upstream without the object at hand, and how far it
	 * varies to both sides, in permille. */
	int64_t service_time_us;
	int service_time_spread_permille;
	int64_t objective_us;
	int64_t deadline_us;
	/** Worth of an answer within the objective, and of a later one. */
	int worth;
	int late_worth;
	int priority;
	/** Objects that the callers of one region ask for; 0 for none. */
	int nobject;
	/** Runs at most once: not repeated once it may have run. */
	int at_most_once;
};

/** What goes wrong. */
enum scenario_fault_type {
	/** Work takes "factor" permille of its time. */
	SCENARIO_SLOW,
	/** Connections are refused, and what was there is lost. */
	SCENARIO_GONE,
	/** "factor" permille of the answers are failures. */
	SCENARIO_FAILING,
	/** Answers tell no load. */
	SCENARIO_SILENT,
	/** Answers tell that nothing runs there. */
	SCENARIO_LYING,
	/** Callers ask "factor" permille as often. */
	SCENARIO_BURST,
};

struct scenario_fault {
	enum scenario_fault_type type;
	int64_t from_us;
	int64_t until_us;
	/** Part of the upstreams, in permille. */
	int share_permille;
	int factor;
	/** Region, or -1 for all. */
	int region;
};

struct scenario {
	int nregion;
	/** In each region. */
	int vms_per_region;
	int upstreams_per_region;
	int slots;
	/** Requests that wait at an upstream; more are refused. */
	int queue_max;
	/** Objects that an upstream keeps at hand, and the part of the work
	 * that this saves, in permille. */
	int cache_objects;
	int cache_gain_permille;
	/** How far the speeds of upstreams differ to both sides, in permille.
	 */
	int speed_spread_permille;
	/** One way, to a VM and from it to an upstream of its region. */
	int64_t local_link_us;
	/** One way to another region. */
	int64_t remote_link_us;
	/** Connections that an upstream accepts; 0 for any number. */
	int connections_max;
	/** Requests a second by the callers of one region. */
	double rate_per_s;
	/** They rise and fall by so much, in permille, the regions in turn. */
	int rate_swing_permille;
	int64_t rate_period_us;
	int64_t duration_us;
	/** Sends that an entry VM tries for one request. */
	int attempts_max;
	/** Times that a caller comes back after a refusal, and whether it does
	 * so at once. */
	int caller_retries_max;
	int retry_immediately;
	struct scenario_kind kind[SCENARIO_KINDS_MAX];
	int nkind;
	struct scenario_fault fault[SCENARIO_FAULTS_MAX];
	int nfault;
};

/** Reads a file. One with "like" in its section "scenario" says only what
 * differs from the file of that name beside it. Returns PRL_OK, PRL_E_IO or
 * PRL_E_CONFIG. */
enum prl_code scenario_read(const char *path, struct scenario *s,
			    struct prl_error *err);

/** Factor of a trouble for an upstream with this rank (0 to 999) in its region
 * at a time, or 0 if it has none. */
int scenario_fault_factor(const struct scenario *s,
			  enum scenario_fault_type what, int region, int rank,
			  int64_t at_us);

#endif
