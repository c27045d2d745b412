#ifndef PRIMROSELEADD_CONTROL_H
#define PRIMROSELEADD_CONTROL_H

#include "health.h"
#include <primroselead/claim.h>
#include <primroselead/config.h>
#include <primroselead/follow.h>
#include <primroselead/grant.h>
#include <primroselead/inventory.h>
#include <primroselead/member.h>
#include <primroselead/proxy.h>
#include <primroselead/store.h>
#include <primroselead/wire.h>

/*
 * The control thread: membership, configuration, capacity, shifts and claims.
 * It never blocks on a peer or on the store.
 */

/** Time for one answer about a loan, in milliseconds. */
#define BORROW_TIMEOUT_MS 300

/** Time between two ticks in milliseconds. */
#define TICK_MS 50

/** A pause between tries that doubles up to a limit, with jitter. */
struct backoff {
	int64_t retry_ms;
	int attempts;
};

/** Follows the store's configuration, alone or through other VMs. */
struct sync {
	struct spread_replica replica;
	struct store_call call;
	int calling;
	struct backoff store_backoff;
	int pulling;
	/** The copy is good enough to answer from. */
	int ready;
	/** The store has dropped changes that this copy lacks. */
	int needs_list;
	/** The store answered the last call. */
	int store_up;
	/** When the daemon asks the store if no VM has answered. */
	int64_t list_after_ms;
};

/** What a VM of a fleet that follows the platform's manifest keeps. */
struct fleet {
	struct inventory inventory;
	struct store_follower manifest;
	struct store_follower upstream;
	struct store_follower evacuation;
	struct store_follower vm;
	/** The other VMs that registered themselves, by name. */
	GHashTable *vms;
	int64_t next_probe_ms;
	int64_t next_seed_pull_ms;
	/** The copy has been whole: read from the store or another VM. */
	int replica_complete;
	/** This VM serves. */
	int ready;
	/** This VM's own entry: its call, and the version in the store. */
	struct store_call register_call;
	int registering;
	int registered;
	int64_t own_version;
	struct backoff register_backoff;
};

/** Progress of one service's shift as this VM sees it. */
struct shift_tracker {
	char service[PRL_NAME_MAX];
	struct steer_shift_progress progress;
	uint64_t plan_id;
	/** When this progress of this plan was first seen. */
	int64_t seen_ms;
	struct store_call call;
	char value[64];
	int calling;
	/** Place of this VM in the order of steppers, and the membership that
	 * it was found at. */
	int rank;
	uint64_t rank_at;
	struct control *control;
};

/** One service's capacity and the call that keeps it in step. */
struct service_grant {
	char service[PRL_NAME_MAX];
	struct grant_set grants;
	struct store_call call;
	struct backoff backoff;
	/** The ask for a loan under way, by pool; 0 if none. */
	uint64_t borrow_id[LEDGER_POOLS_MAX];
	/** Rows as they were last written into the audit trail. */
	int logged_row[LEDGER_POOLS_MAX];
	struct control *control;
};

/** One claim shard that this VM has used. */
struct shard {
	struct claim_shard claims;
	int index;
	struct store_call call;
	int calling;
	struct control *control;
};

/** Who waits for a claim. */
enum waiter_kind {
	WAITER_LOCAL,
	WAITER_REMOTE,
};

/** A claim that waits for its shard. */
struct claim_waiter {
	enum waiter_kind kind;
	union {
		struct proxy_claim *local;
		struct wire_request remote;
	} u;
};

/** Everything that the control thread has. */
struct control {
	const struct prl_settings *settings;
	/** The file that they came from. */
	const char *settings_path;
	int64_t next_settings_check_ms;
	int64_t settings_mtime_us;
	struct fleet_bounds bounds;
	apr_pool_t *pool;
	struct loop loop;
	struct fetch_pool fetch_pool;
	struct store store;
	struct wire_node wire;
	struct member_table members;
	struct sync sync;
	struct fleet fleet;
	struct health health;
	struct config_builder builder;
	struct proxy proxy;
	struct mailbox claim_mailbox;
	struct mailbox shortage_mailbox;
	struct loop_timer tick;
	struct loop_fd signal_fd;
	int64_t started_ms;
	int64_t last_tick_ms;
	/** Capacity must be read from the store before it is used again. */
	int unconfirmed;
	/** The ledgers have been marked for that. */
	int ledgers_invalidated;
	/** The view must be built anew. */
	int dirty;
	/** What follows from the membership is kept until it changes. */
	uint64_t member_changes_seen;
	int region_vms[STEER_REGIONS_MAX];
	int all_vms;
	int is_watcher;
	int *shard_owner;
	int64_t status_due_ms;
	int64_t idle_status_due_ms;
	/** Names of VMs that the platform destroyed, and when their capacity
	 * may be used by others. */
	GHashTable *destroyed_vms;
	/** The platform's list has entries. */
	int has_vm_list;
	/** The list says that this VM was destroyed: it may be wrong, but
	 * others act on it, so no capacity is used. */
	int listed_as_destroyed;
	/** Addresses of listed VMs by name. */
	GHashTable *http_by_vm;
	GHashTable *grants;
	GHashTable *shift_trackers;
	struct shard **shards;
	GHashTable *claim_waiters;
	uint64_t last_waiter;
	/** Writes of claims that this VM may make now, in thousandths. */
	int64_t write_credit_milli;
	int64_t write_refilled_ms;
	/** Shards that this VM writes, at least 1. */
	int owned_shards;
	/** Due when a claim that waits for credit may be written. */
	struct loop_timer claim_timer;
	/** Shard whose turn is next when credit is short. */
	int next_shard;
	/** Leaving: 0 no, else since when. */
	int64_t leaving_since_ms;
	int quiesced;
	int64_t idle_since_ms;
	int returning;
};

/** Makes the control thread's state and starts the traffic threads. */
enum prl_code control_init(struct control *c, const struct prl_settings *s,
			   const char *path, apr_pool_t *pool,
			   struct prl_error *err);

/** Reads a settings file into a pool; its faults are printed. */
enum prl_code settings_read(const char *path, apr_pool_t *pool,
			    struct prl_settings *s, struct prl_error *err);

/** Reads the platform's figures out of the settings. */
enum prl_code control_read_bounds(const struct prl_settings *s,
				  struct fleet_bounds *out,
				  struct prl_error *err);

/** Whether routes come from the platform's manifest, not service files. */
int control_follows_manifest(const struct control *c);

/** Runs until the VM has left. */
void control_run(struct control *c);

/** Ends the traffic threads and frees everything. */
void control_finish(struct control *c);

/** A random number. */
uint64_t control_random(void);

/** Sets the time of the next try, longer after each one. */
void backoff_schedule(struct backoff *b, int64_t now);

/** A try went well. */
void backoff_reset(struct backoff *b);

/* peers.c */

/** Starts the socket and the membership. */
enum prl_code peers_init(struct control *c, struct prl_error *err);

/** Probes, and writes changes of the membership into the audit trail. */
void peers_tick(struct control *c, int64_t now);

/** Whether a call comes from a VM of the fleet. */
int peers_is_member(const struct control *c, const struct wire_request *r);

/** Digest of this VM's copy. */
struct wire_digest peers_digest(const struct control *c);

/* sync.c */

/** Whether this VM is one of its failure domain's watchers. */
int sync_is_watcher(const struct control *c);

/** Takes in one object, from the store or another VM; an empty one was
 * removed. Returns 1 if it was news. */
int sync_install(struct control *c, const char *key, int64_t version,
		 const char *value, size_t len);

/** Removes what a whole list of the store lacks. Returns how many. */
int sync_remove_unlisted(struct control *c, const struct store_call *call);

/** The copy is whole: this VM may answer from it. */
void sync_set_ready(struct control *c, const char *from);

/** Starts with an empty copy. */
void sync_init(struct control *c);

/** Watches the store or asks other VMs, as is due. */
void sync_tick(struct control *c, int64_t now);

/** Asks a VM for what this one lacks. */
void sync_pull_from(struct control *c, const char *address);

/** Looks at how far another VM has come. */
void sync_handle_digest(struct control *c, const struct wire_digest *d,
			const char *from);

/** Takes in a delta that another VM relays. */
void sync_handle_push(struct control *c, const struct wire_delta *d,
		      const char *from);

/** Answers a VM that asks for what it lacks. */
void sync_handle_pull(struct control *c, const struct wire_request *r,
		      const struct wire_pull *p);

/** Ends the calls to the store. */
void sync_finish(struct control *c);

/* fleet.c */

/** Prepares the followers. */
void fleet_init(struct control *c);

/** Follows the store, and registers this VM once it can serve. */
void fleet_tick(struct control *c, int64_t now);

/** Whether an object is one that this VM follows. */
int fleet_follows(const char *key);

/** Brings one changed object into what is known. */
void fleet_apply(struct control *c, const struct spread_object *o);

/** Whether the store has not confirmed the copy lately, so that another VM's
 * may be newer. */
int fleet_is_stale(const struct control *c, int64_t now);

/** All that another VM knew was taken in. */
void fleet_set_complete(struct control *c);

/** Takes this VM's entry out of the store. */
void fleet_deregister(struct control *c);

/** Ends the calls to the store. */
void fleet_finish(struct control *c);

/* apply.c */

/** Brings one changed object into the builder. */
void apply_object(struct control *c, const char *key);

/** Builds the view and hands it to the traffic threads. */
void apply_view(struct control *c);

/* loans.c */

/** A traffic thread found no capacity in a pool. */
void loans_handle_shortage(void *ctx, void *item);

/** Returns loans that are due. */
void loans_tick(struct control *c, int64_t now);

/** Another VM asks for capacity. */
void loans_handle_borrow(struct control *c, const struct wire_request *r,
			 const struct wire_borrow *b);

/** Another VM returns a loan. */
void loans_handle_return(struct control *c, const struct wire_request *r,
			 const struct wire_return *b);

/* grants.c */

/** Capacity of a service, made if it is missing. */
struct service_grant *grants_get(struct control *c,
				 const struct steer_service *s);

/** Capacity of a service, or null if none is held yet. */
struct service_grant *grants_find(struct control *c, const char *service);

/** Takes, gives back and reclaims capacity, as is due. */
void grants_tick(struct control *c, int64_t now);

/** Gives all capacity back; returns 1 when that is done. */
int grants_return(struct control *c);

/** Ends the calls to the store. */
void grants_finish(struct control *c);

/* shifts.c */

/** Makes the steps that are due. */
void shifts_tick(struct control *c, int64_t now);

/** Ends the calls to the store. */
void shifts_finish(struct control *c);

/* claims.c */

/** Makes the table of shards. */
enum prl_code claims_init(struct control *c, struct prl_error *err);

/** Finds the writer of each shard anew. */
void claims_assign_owners(struct control *c);

/** A claim or note comes from a traffic thread. */
void claims_handle_local(void *ctx, void *item);

/** A claim or note comes from another VM. */
void claims_handle_remote(struct control *c, const struct wire_request *r,
			  const struct wire_claim *w);

/** Ends the calls to the store. */
void claims_finish(struct control *c);

/* status.c */

/** Writes the status text for the traffic threads. */
void status_update(struct control *c, int64_t now);

/* reload.c */

/** Reads the settings again: always after a signal, else if the file has
 * changed. Figures of the platform come into force; the rest at a start. */
void reload_signalled(struct control *c);
void reload_tick(struct control *c, int64_t now);

/* leave.c */

/** Begins to leave; a second call changes nothing. */
void leave_begin(struct control *c);

/** Goes on with leaving; stops the loop at its end. */
void leave_tick(struct control *c, int64_t now);

#endif
