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

/**
 * Computes a node's children in a relay tree of "total" nodes, which are
 * numbered by rank; the root has rank 0. Fills the ranks of at most "max"
 * children and returns their number.
 */
int spread_tree_children(int rank, int total, int *out, int max);

#endif
