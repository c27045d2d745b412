#ifndef PRIMROSELEADD_CONTROL_H
#define PRIMROSELEADD_CONTROL_H

#include "backoff.h"
#include "claims.h"
#include "crashes.h"
#include "grants.h"
#include "health.h"
#include "loads.h"
#include "loans.h"
#include "news.h"
#include "objects.h"
#include "peers.h"
#include "quarantines.h"
#include "reach.h"
#include "readers.h"
#include "registry.h"
#include "reload.h"
#include "shifts.h"
#include "source.h"
#include "status.h"
#include "sync.h"
#include "usage.h"
#include "vm_list.h"
#include <primroselead/config.h>
#include <primroselead/member.h>
#include <primroselead/proxy.h>
#include <primroselead/store.h>
#include <primroselead/wire.h>

/*
 * State and modules of the control thread: membership, configuration, capacity,
 * traffic shifts and claims. Calls to peers and to the store are asynchronous,
 * so the thread never blocks on them. All functions run on the control
 * thread. Times are points of prl_now_ms, in milliseconds, unless a comment
 * says otherwise.
 */

/** Period of the control thread's tick, in milliseconds. */
#define TICK_MS 50

/** All state of the control thread. */
struct control {
	const struct prl_settings *settings;
	/** Limits of the platform. */
	struct fleet_bounds bounds;
	apr_pool_t *pool;
	struct loop loop;
	struct fetch_pool fetch_pool;
	struct store store;
	struct wire_node wire;
	struct member_table members;
	struct peers peers;
	struct sync sync;
	struct source source;
	struct registry registry;
	struct objects objects;
	struct reload reload;
	struct status status;
	struct vm_list vm_list;
	struct health health;
	struct news news;
	struct loads loads;
	struct reach reach;
	struct readers readers;
	struct crashes crashes;
	struct quarantines quarantines;
	struct usage usage;
	struct claims claims;
	struct grants grants;
	struct shifts shifts;
	struct config_builder builder;
	struct proxy proxy;
	/**
	 * Takes regions in which traffic threads found no free capacity, as
	 * their semaphore_index plus 1.
	 */
	struct mailbox shortage_mailbox;
	struct mailbox news_mailbox;
	struct loop_timer tick_timer;
	/** Receives SIGTERM, SIGINT and SIGHUP. */
	struct loop_fd signal_fd;
	int64_t started_ms;
	/** Start of the last tick; no signal that was read since had been sent
	 * by then. */
	int64_t last_tick_ms;
	/**
	 * Other VMs may have taken over this VM's capacity: no capacity is used
	 * until all ledgers have been read again.
	 */
	int unconfirmed;
	/** The view must be rebuilt. */
	int view_outdated;
	/** When the shutdown began; 0 if it has not. */
	int64_t leaving_since_ms;
	/** New connections are no longer accepted. */
	int quiesced;
	/**
	 * Start of the current wait of the shutdown: before the release of
	 * capacity, when a request was last open, since connections must then
	 * be idle for the idle timeout; after that, when the release began.
	 */
	int64_t wait_since_ms;
	/** Capacity is being released. */
	int releasing_capacity;
	/**
	 * When the process ends though some answers are not sent yet; 0 until
	 * the requests that are open at the end of the grace time are answered.
	 */
	int64_t flush_until_ms;
};

/**
 * Initializes the control thread's state and starts the traffic threads.
 * Returns PRL_OK, PRL_E_CONFIG, PRL_E_IO or PRL_E_MEMORY.
 */
enum prl_code control_init(struct control *c, const struct prl_settings *s,
			   const char *path, apr_pool_t *pool,
			   struct prl_error *err);

/**
 * Reads the platform's limits from the settings. Returns PRL_OK, or
 * PRL_E_CONFIG if a value is not a valid number.
 */
enum prl_code control_read_bounds(const struct prl_settings *s,
				  struct fleet_bounds *out,
				  struct prl_error *err);

/**
 * Whether routes come from the platform's manifest instead of service files.
 */
int control_follows_manifest(const struct control *c);

/** Runs the control loop until the shutdown is complete. */
void control_run(struct control *c);

/** Stops the traffic threads and frees all state. */
void control_finish(struct control *c);

/**
 * Returns a random number from the system, or a hash of the time and the
 * process id if the system has none.
 */
uint64_t control_random(void);

/* apply.c */

/** Applies one changed object to the configuration builder or the inventory. */
void apply_object(struct control *c, const char *key);

/** Builds a view and publishes it to the traffic threads. */
void apply_view(struct control *c);

/* leave.c */

/** Begins the shutdown; further calls have no effect. */
void leave_begin(struct control *c);

/** Advances the shutdown, and stops the loop when it is complete. */
void leave_tick(struct control *c, int64_t now);

#endif
