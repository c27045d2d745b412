#ifndef PRIMROSELEADD_SYNC_H
#define PRIMROSELEADD_SYNC_H

#include "backoff.h"
#include <glib.h>
#include <primroselead/spread.h>
#include <primroselead/store.h>
#include <primroselead/wire.h>

struct control;

/**
 * Replica of the configuration, filled from the store and from other VMs. The
 * store fields are for service files; with the manifest as source, the
 * followers of struct source call the store instead.
 */
struct sync {
	struct spread_replica replica;
	/** List or watch call to the store, and whether it is pending. */
	struct store_call call;
	int calling;
	struct backoff store_backoff;
	/** A pull from another VM is pending. */
	int pulling;
	/** The replica has once been complete, so this VM may serve from it. */
	int ready;
	/**
	 * The store has compacted changes that the replica lacks, so a full
	 * list is needed.
	 */
	int needs_list;
	/** Whether this VM watches the store for its failure domain. */
	int is_watcher;
	/** The last call to the store succeeded. */
	int store_up;
	/**
	 * Earliest time of the first list call; other VMs are given until then
	 * to supply a replica.
	 */
	int64_t list_after_ms;
};

/**
 * Whether this VM is one of the VMs of its failure domain that watch the store.
 */
int sync_is_watcher(const struct control *c);

/**
 * Installs one object that was read from the store, and notes it for the push
 * to other VMs if it is new; an empty value marks a removed object. Returns 1
 * if the replica changed, else 0.
 */
int sync_install_read(struct control *c, const char *key, int64_t version,
		      const char *value, size_t len);

/**
 * Fills as many objects as fit one message, of which at most WIRE_OBJECTS; they
 * point into the replica. One that fits no message is left out: VMs read it
 * from the store. Returns how many of "from" are done with.
 */
guint sync_fill_objects(struct wire_object *object,
			const struct spread_object *const *from, guint n,
			guint *filled);

/** Installs objects that another VM sent. Returns how many were new. */
int sync_install_objects(struct control *c, const struct wire_object *object,
			 u_int n);

/**
 * Removes the objects that a full list from the store lacks. Returns how many
 * were removed.
 */
int sync_remove_unlisted(struct control *c, const struct store_call *call);

/**
 * Marks the replica complete and ready to serve from; "from" names the source
 * in the log: "store" or "peer".
 */
void sync_set_ready(struct control *c, const char *from);

/** Initializes an empty replica. */
void sync_init(struct control *c);

/** Starts the list or watch call that is due. */
void sync_tick(struct control *c, int64_t now);

/** Pulls missing changes from a VM, unless a pull is pending. */
void sync_pull_from(struct control *c, const char *address);

/** Handles another VM's digest: pulls from it if its replica is newer. */
void sync_handle_digest(struct control *c, const struct wire_digest *d,
			const char *from);

/**
 * Installs a delta that another VM relayed, and relays it further if it was
 * new.
 */
void sync_handle_push(struct control *c, const struct wire_delta *d,
		      const char *from);

/** Answers a pull with the changes that the caller lacks. */
void sync_handle_pull(struct control *c, const struct wire_request *r,
		      const struct wire_pull *p);

/** Cancels the pending call and frees the replica. */
void sync_finish(struct control *c);

#endif
