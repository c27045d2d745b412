#ifndef REPLAY_SCENARIO_H
#define REPLAY_SCENARIO_H

#include <glib.h>
#include <primroselead/error.h>
#include <stdint.h>

/*
 * A scenario, read from an INI file: a deployment of one service, its load and
 * the faults to inject. Points of time count from the start of the replay.
 */

#define SCENARIO_REGIONS_MAX 8
#define SCENARIO_KINDS_MAX 8
#define SCENARIO_FAULTS_MAX 16
#define SCENARIO_NAME_MAX 32

/** A kind of request; section "kind NAME". */
struct scenario_kind {
	char name[SCENARIO_NAME_MAX];
	/** Share of this kind, in proportion to the sum over all kinds. */
	int share_permille;
	/** Time of a run whose object is not cached, and the spread of that
	 * time to both sides. */
	int64_t service_time_us;
	int service_time_spread_permille;
	/** Both count from the request's arrival. */
	int64_t objective_us;
	int64_t deadline_us;
	/** Worth of an answer within the objective, and of one after it but
	 * before the deadline. */
	int worth;
	int late_worth;
	/** 1 is the most urgent. */
	int priority;
	/** Distinct objects that the callers of one region ask for; 0 if the
	 * requests have no object. */
	int nobject;
	/** A request that may have run is not tried again. */
	int at_most_once;
};

/** Type of a fault; key "what". */
enum scenario_fault_type {
	/** Runs take "factor" permille of their usual time. */
	SCENARIO_SLOW,
	/** Connections are refused, and runs end without an answer. */
	SCENARIO_GONE,
	/** "factor" permille of the runs end in a failure. */
	SCENARIO_FAILING,
	/** Answers do not report the load. */
	SCENARIO_SILENT,
	/** Answers report that nothing runs or waits. */
	SCENARIO_LYING,
	/** Callers send "factor" permille of their usual rate. */
	SCENARIO_BURST,
};

/** A fault; section "trouble NAME". */
struct scenario_fault {
	enum scenario_fault_type type;
	/** In effect from the first point of time until before the second. */
	int64_t from_us;
	int64_t until_us;
	/** Share of a region's upstreams, the first ones by rank. */
	int share_permille;
	/** In permille; types without a factor ignore it. */
	int factor;
	/** Region, or -1 for all. */
	int region;
};

struct scenario {
	int nregion;
	int vms_per_region;
	int upstreams_per_region;
	/** Requests that an upstream runs at a time. */
	int slots;
	/** Requests that wait in an upstream's queue; more are refused. */
	int queue_max;
	/** Objects that an upstream caches, and the part of a run's time that a
	 * cached object saves. */
	int cache_objects;
	int cache_gain_permille;
	/** Spread of the upstreams' service times to both sides of the usual.
	 */
	int speed_spread_permille;
	/** One-way delay between caller and VM, and between VM and upstream of
	 * one region. */
	int64_t local_link_us;
	/** One-way delay between a VM and an upstream of another region. */
	int64_t remote_link_us;
	/** Connections that an upstream accepts; 0 for any number. */
	int connections_max;
	/** Mean rate of the callers of one region. */
	double rate_per_s;
	/** Amplitude and period of a sine by which the rate varies; the
	 * regions' phases are spread evenly. */
	int rate_swing_permille;
	int64_t rate_period_us;
	int64_t duration_us;
	/** Attempts of an entry VM for one request. */
	int attempts_max;
	/** Times that a caller comes back after a refusal, and whether it does
	 * so at once instead of after the time that the VM names. */
	int caller_retries_max;
	int retry_immediately;
	struct scenario_kind kind[SCENARIO_KINDS_MAX];
	int nkind;
	struct scenario_fault fault[SCENARIO_FAULTS_MAX];
	int nfault;
};

/** Reads a scenario file. If its section "scenario" has the key "like", its
 * values override those of the file of that name in the same directory. Returns
 * PRL_OK, PRL_E_IO if a file can't be read as an INI file, or PRL_E_CONFIG if a
 * value is missing or not valid. */
enum prl_code scenario_read(const char *path, struct scenario *s,
			    struct prl_error *err);

/** Returns the factor of the first fault of a type that affects an upstream at
 * a point of time, or 0 if there is none. "rank" is the upstream's rank in its
 * region, 0 to 999. */
int scenario_fault_factor(const struct scenario *s,
			  enum scenario_fault_type type, int region, int rank,
			  int64_t at_us);

#endif
