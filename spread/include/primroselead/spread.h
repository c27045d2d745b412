#ifndef PRIMROSELEAD_SPREAD_H
#define PRIMROSELEAD_SPREAD_H

#include <glib.h>
#include <primroselead/error.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A VM's replica of the configuration objects. An object's version is that of
 * its last change in the store, which also orders changes before and after the
 * store returned from a copy. An older version never replaces a newer one, so
 * deltas may be lost, repeated and reordered. Every change up to
 * "complete_revision", a version, is known; a VM fills a gap by pulling from
 * any VM whose complete revision is higher. Does no I/O and reads no clock.
 */

/** Size of a key, including the terminating null byte. */
#define SPREAD_KEY_MAX 160

/** An object; a value of length 0 is the tombstone of a removed object. */
struct spread_object {
	char key[SPREAD_KEY_MAX];
	int64_t version;
	char *value;
	size_t len;
};

struct spread_replica {
	/** struct spread_object by key, tombstones included. */
	GHashTable *by_key;
	/** Every change up to this revision has been installed. */
	int64_t complete_revision;
	/** Sum of the hashes of each key and version; equal replicas have equal
	 * digests. */
	uint64_t digest;
	/** The same of the objects without the tombstones, whose versions may
	 * differ between replicas: a removal is installed with the version of
	 * the response that tells of it. */
	uint64_t live_digest;
	/** Total size of all values in bytes. */
	size_t value_bytes;
};

void spread_init(struct spread_replica *r);

void spread_finish(struct spread_replica *r);

/**
 * Installs a version of an object; the value is copied. Returns PRL_OK,
 * PRL_E_STALE if the same or a newer version is already installed, or
 * PRL_E_MEMORY.
 */
enum prl_code spread_install(struct spread_replica *r, const char *key,
			     int64_t version, const char *value, size_t len);

/**
 * Records that every change after revision "after" up to revision "complete"
 * has been installed. Returns PRL_OK, or PRL_E_STALE if changes up to "after"
 * are missing; the complete revision then stays as it is.
 */
enum prl_code spread_advance(struct spread_replica *r, int64_t after,
			     int64_t complete);

/** Returns an object or tombstone by key, or null. */
const struct spread_object *spread_find(const struct spread_replica *r,
					const char *key);

/**
 * Returns the objects and tombstones changed after a revision, oldest first.
 * The caller frees the array; its pointers are valid until the replica next
 * changes.
 */
GPtrArray *spread_changed_since(const struct spread_replica *r, int64_t after);

/**
 * Returns the objects that were removed according to a complete list of the
 * store's objects: those whose key begins with "prefix" and is not in the set
 * "listed", and whose version is not newer than the list's revision. Tombstones
 * are left out. The caller frees the array; its pointers are valid until the
 * replica next changes.
 */
GPtrArray *spread_missing_from_list(const struct spread_replica *r,
				    const char *prefix, int64_t revision,
				    GHashTable *listed);

/** What a VM that reads the store tells the others of its replica. */
struct spread_beat {
	/** Version up to which the replica is complete. */
	int64_t complete;
	/** The replica's live_digest. */
	uint64_t live_digest;
	/** When the store confirmed the replica, in ms of the receiver's clock.
	 */
	int64_t confirmed_ms;
};

/** Part that a VM has in reading the store. */
enum spread_role {
	/** Always reads the store, and sends beats. */
	SPREAD_READER,
	/** Reads the store soon after the beats have stopped, and then sends
	 * beats. */
	SPREAD_STANDBY,
	/** Reads the store, for itself only, if the beats have stopped for
	 * longer. */
	SPREAD_LEARNER,
};

/** What the beats of others say of a VM's replica. All zero is the initial
 * state. Times are in ms of one clock, that of the caller. */
struct spread_beats {
	/** Until when the beats heard so far are recent. */
	int64_t recent_until_ms;
	/** Since when no beat was of an equal replica; 0 if the last one was.
	 */
	int64_t differs_since_ms;
	/** Earliest time of the next pull. */
	int64_t next_pull_ms;
	/** Until when beats may have been received while the VM stood still. */
	int64_t distrusted_until_ms;
};

/** What to do about a beat. */
enum spread_beat_action {
	SPREAD_BEAT_NONE,
	/** The own replica is confirmed as the beat says. */
	SPREAD_BEAT_CONFIRMS,
	/** Changes may be missing: pull them. */
	SPREAD_BEAT_PULL,
};

/** Handles a beat. "random" spreads the times at which the VMs of a fleet begin
 * to read the store. */
enum spread_beat_action spread_handle_beat(struct spread_beats *b,
					   const struct spread_replica *r,
					   const struct spread_beat *beat,
					   enum spread_role role,
					   uint64_t random, int64_t now_ms);

/** Forgets all beats after the VM stood still: how long those that it received
 * meanwhile have waited is not known. */
void spread_forget_beats(struct spread_beats *b, int64_t now_ms);

/** Whether a replica that was confirmed at a time is recent enough to send
 * beats of it. */
int spread_may_send_beat(int64_t confirmed_ms, int64_t now_ms);

/** Whether a VM has to read the store itself; "confirmed_ms" is when its
 * replica was last confirmed. */
int spread_must_read(const struct spread_beats *b, enum spread_role role,
		     int64_t confirmed_ms, int64_t now_ms);

/**
 * Computes a node's children in a relay tree of "total" nodes, which are
 * numbered by rank; the root has rank 0. Fills the ranks of at most "max"
 * children and returns their number.
 */
int spread_tree_children(int rank, int total, int *out, int max);

#endif
