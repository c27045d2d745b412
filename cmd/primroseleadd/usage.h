#ifndef PRIMROSELEADD_USAGE_H
#define PRIMROSELEADD_USAGE_H

#include <glib.h>
#include <primroselead/steer.h>
#include <primroselead/usage_aggregator.h>
#include <primroselead/wire.h>

/*
 * Limits that all VMs share: the quotas of workspaces and the retry budgets of
 * services. Reports this VM's use of them to the aggregator, the VM that is
 * first by rendezvous hashing, and handles its answers.
 */

struct control;

/** A limit of the view in force. */
struct usage_follower {
	/** Identifies the limit in messages. */
	uint64_t id;
	/** Name of the workspace or service, perhaps its beginning only. */
	char name[FLEET_NAME_MAX];
	struct limit_follower follower;
	/** The traffic threads' side. */
	struct shared_limit *limit;
	/** Window over which the limit is kept, in ms. */
	int64_t window_ms;
	/** Index of the service whose retry budget this is; STEER_NONE for a
	 * quota. */
	int service_index;
	/** When the counts last changed. */
	int64_t active_ms;
	/** usage.view_sequence of the last view that has the limit. */
	uint64_t view_sequence;
};

/** Demand that the aggregator counts for one service. */
struct usage_demand {
	uint64_t region[STEER_REGIONS_MAX];
	struct usage_rate rate[STEER_REGIONS_MAX];
	int nregion;
};

/** State of the shared limits at this VM. */
struct usage {
	/** struct usage_follower by id. */
	GHashTable *followers;
	/** Number of views so far. */
	uint64_t view_sequence;
	/** Random number of this process, and number of the last report. */
	uint64_t series;
	uint32_t sequence;
	/** Position of the aggregator among the VMs, and its address; empty if
	 * it is this VM itself. */
	int rank;
	char aggregator[PRL_ADDRESS_MAX];
	/** member.usable_changes at the last choice. */
	uint64_t members_seen;
	/** When the aggregator was chosen and last answered, and when the last
	 * report was sent that it has answered and counted; 0 if none. */
	int64_t chosen_ms;
	int64_t heard_ms;
	int64_t answered_ms;
	int64_t next_heartbeat_ms;
	int64_t next_demand_ms;
	int64_t next_return_ms;
	/** Part of the VMs that the aggregator adds up, and the limits that it
	 * said are low in credit; USAGE_ALL_LOW of them if any may be. */
	int heard_permille;
	uint64_t low[USAGE_LOW_MAX];
	int nlow;
	/** When the aggregator last told the demand of the regions. */
	int64_t demand_ms;
	/** Number of VMs that may run, the greatest of this and the last
	 * period. */
	int vms;
	int vms_before;
	int64_t vms_counted_ms;
	int64_t vms_period_ms;
	/** The aggregator has answered lately. */
	int is_following;

	/** State as the aggregator of others; struct usage_demand by limit. */
	struct usage_aggregator aggregator_state;
	GHashTable *demand;
	int64_t next_forget_ms;
};

void usage_init(struct control *c);

void usage_finish(struct control *c);

/** Takes over the limits of a new view. */
void usage_set_view(struct control *c, const struct steer_view *v);

/** Updates the limits and sends the reports that are due. */
void usage_tick(struct control *c, int64_t now);

/* usage_choice.c */

/** Interval in ms at which a VM that uses another aggregator tries the first.
 */
#define USAGE_RETURN_INTERVAL_MS 10000

/** Counts the VMs when due. */
void usage_update_vms(struct control *c, int64_t now);

/** Number of VMs that may run, this one included. */
int usage_count_vms(const struct control *c);

/** Makes the VM of a rank the aggregator, by the order of rendezvous hashing.
 */
void usage_choose(struct control *c, int rank, const char *reason, int64_t now);

/** Chooses anew if the members have changed or the aggregator is silent. */
void usage_update_choice(struct control *c, int64_t now);

/** Returns the RPC address of the first VM; empty if that is this one. */
const char *usage_first_address(const struct control *c);

/* usage_sums.c */

void usage_sums_init(struct control *c);

void usage_sums_finish(struct control *c);

/** Handles the report of another VM, and replies. */
void usage_sums_handle_remote(struct control *c, const struct wire_request *r,
			      const struct wire_usage *report);

/** Answer to a report; its arrays point into it. */
struct usage_reply {
	struct wire_usage_answer answer[WIRE_USAGE_MAX];
	uint64_t low[USAGE_LOW_MAX];
	struct wire_demand demand[WIRE_DEMAND_MAX];
	struct wire_usage_result result;
};

/** Adds a report to the sums and fills the answer. Returns 0, or -1 if the
 * report is older than one before. */
int usage_sums_add(struct control *c, const struct wire_usage *report,
		   struct usage_reply *out);

/** Forgets what is old, at intervals. */
void usage_sums_tick(struct control *c, int64_t now);

#endif
