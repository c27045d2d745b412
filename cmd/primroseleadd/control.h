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
#define LOAN_CALL_MS 300

/** Time between two ticks in milliseconds. */
#define TICK_MS 50

/** A pause between tries that doubles up to a limit, with jitter. */
struct backoff {
	int64_t next;
	int tries;
};

/** Follows the store's configuration, alone or through other VMs. */
struct sync {
	struct spread_replica copy;
	struct store_call watch;
	int watching;
	struct backoff store_backoff;
	int pulling;
	/** The copy is good enough to answer from. */
	int ready;
	/** The store has dropped changes that this copy lacks. */
	int forgotten;
	/** The store answered the last call. */
	int store_up;
	/** When the daemon asks the store if no VM has answered. */
	int64_t ask_store_at;
};

/** What a VM of a fleet that follows the platform's manifest keeps. */
struct fleet {
	struct inventory known;
	struct store_follower manifest;
	struct store_follower upstream;
	struct store_follower evacuation;
	struct store_follower vm;
	/** The other VMs that registered themselves, by name. */
	GHashTable *vms;
	int64_t probe_at;
	int64_t ask_seed_at;
	/** The copy has been whole: read from the store or another VM. */
	int whole;
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
struct stepper {
	char service[PRL_NAME_MAX];
	struct steer_shift_progress progress;
	uint64_t plan;
	/** When this progress of this plan was first seen. */
	int64_t seen_ms;
	struct store_call call;
	char text[64];
	int calling;
	/** Place of this VM in the order of steppers, and the membership that
	 * it was found at. */
	int place;
	uint64_t place_at;
	struct control *control;
};

/** One service's capacity and the call that keeps it in step. */
struct grant {
	char service[PRL_NAME_MAX];
	struct grant_set capacity;
	struct store_call call;
	struct backoff backoff;
	/** The ask for a loan under way, by pool; 0 if none. */
	uint64_t asking[LEDGER_POOLS_MAX];
	/** Rows as they were last written into the audit trail. */
	int audited[LEDGER_POOLS_MAX];
	struct control *control;
};

/** One claim shard that this VM has used. */
struct shard {
	struct claim_shard log;
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
struct waiter {
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
	int64_t settings_look_at;
	int64_t settings_changed;
	struct fleet_bounds bounds;
	apr_pool_t *pool;
	struct loop loop;
	struct fetch_pool fetches;
	struct store store;
	struct wire_node wire;
	struct member_table member;
	struct sync sync;
	struct fleet fleet;
	struct health health;
	struct config_builder builder;
	struct proxy proxy;
	struct mailbox claims;
	struct mailbox shortages;
	struct loop_timer tick;
	struct loop_fd signals;
	int64_t started_ms;
	int64_t last_tick;
	/** Capacity must be read from the store before it is used again. */
	int unconfirmed;
	/** The ledgers have been marked for that. */
	int doubted;
	/** The view must be built anew. */
	int dirty;
	/** What follows from the membership is kept until it changes. */
	uint64_t member_changes;
	int region_vms[STEER_REGIONS_MAX];
	int all_vms;
	int is_watcher;
	int *shard_owner;
	int64_t status_due;
	int64_t status_idle_due;
	/** Names of VMs that the platform destroyed, and when their capacity
	 * may be used by others. */
	GHashTable *gone;
	/** The platform's list has entries. */
	int listed;
	/** The list says that this VM was destroyed: it may be wrong, but
	 * others act on it, so no capacity is used. */
	int unlisted;
	/** Addresses of listed VMs by name. */
	GHashTable *vm_http;
	GHashTable *grants;
	GHashTable *steppers;
	struct shard **shard;
	GHashTable *waiters;
	uint64_t next_waiter;
	/** Writes of claims that this VM may make now, in thousandths. */
	int64_t write_credit;
	int64_t write_credit_at;
	/** Shards that this VM writes, at least 1. */
	int owned;
	/** Due when a claim that waits for credit may be written. */
	struct loop_timer claim_timer;
	/** Shard whose turn is next when credit is short. */
	int next_shard;
	/** Leaving: 0 no, else since when. */
	int64_t leaving_since;
	int quiesced;
	int64_t idle_since;
	int returned;
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
void backoff_later(struct backoff *b, int64_t now);

/** A try went well. */
void backoff_reset(struct backoff *b);

/* peers.c */

/** Starts the socket and the membership. */
enum prl_code peers_init(struct control *c, struct prl_error *err);

/** Probes, and writes changes of the membership into the audit trail. */
void peers_tick(struct control *c, int64_t now);

/** Whether a call comes from a VM of the fleet. */
int peers_allow(const struct control *c, const struct wire_request *r);

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
int sync_take_removals(struct control *c, const struct store_call *call);

/** The copy is whole: this VM may answer from it. */
void sync_become_ready(struct control *c, const char *from);

/** Starts with an empty copy. */
void sync_init(struct control *c);

/** Watches the store or asks other VMs, as is due. */
void sync_tick(struct control *c, int64_t now);

/** Asks a VM for what this one lacks. */
void sync_pull_from(struct control *c, const char *address);

/** Looks at how far another VM has come. */
void sync_heard(struct control *c, const struct wire_digest *d,
		const char *from);

/** Takes in a delta that another VM relays. */
void sync_pushed(struct control *c, const struct wire_delta *d,
		 const char *from);

/** Answers a VM that asks for what it lacks. */
void sync_pulled(struct control *c, const struct wire_request *r,
		 const struct wire_pull *p);

/** Ends the calls to the store. */
void sync_finish(struct control *c);

/* fleet.c */

/** Prepares the followers. */
void fleet_init(struct control *c);

/** Follows the store, and registers this VM once it can serve. */
void fleet_tick(struct control *c, int64_t now);

/** Whether an object is one that this VM follows. */
int fleet_wants(const char *key);

/** Brings one changed object into what is known. */
void fleet_apply(struct control *c, const struct spread_object *o);

/** Whether the store has not confirmed the copy lately, so that another VM's
 * may be newer. */
int fleet_is_stale(const struct control *c, int64_t now);

/** All that another VM knew was taken in. */
void fleet_pulled(struct control *c);

/** Takes this VM's entry out of the store. */
void fleet_leave(struct control *c);

/** Ends the calls to the store. */
void fleet_finish(struct control *c);

/* apply.c */

/** Brings one changed object into the builder. */
void apply_object(struct control *c, const char *key);

/** Builds the view and hands it to the traffic threads. */
void apply_view(struct control *c);

/* loans.c */

/** A traffic thread found no capacity in a pool. */
void loans_short(void *ctx, void *item);

/** Returns loans that are due. */
void loans_tick(struct control *c, int64_t now);

/** Another VM asks for capacity. */
void loans_asked(struct control *c, const struct wire_request *r,
		 const struct wire_borrow *b);

/** Another VM returns a loan. */
void loans_returned(struct control *c, const struct wire_request *r,
		    const struct wire_return *b);

/* grants.c */

/** Capacity of a service, made if it is missing. */
struct grant *grants_get(struct control *c, const struct steer_service *s);

/** Capacity of a service, or null if none is held yet. */
struct grant *grants_find(struct control *c, const char *service);

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
void claims_find_owners(struct control *c);

/** A claim or note comes from a traffic thread. */
void claims_received(void *ctx, void *item);

/** A claim or note comes from another VM. */
void claims_called(struct control *c, const struct wire_request *r,
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
