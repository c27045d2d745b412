#ifndef PRIMROSELEAD_SPREAD_H
#define PRIMROSELEAD_SPREAD_H

#include <glib.h>
#include <primroselead/error.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A VM's copy of the configuration. Objects have the store's revisions as
 * versions. An older version never replaces a newer one, so deltas may be
 * lost, repeated and reordered. "complete" is the revision up to which every
 * change is known; a gap is filled by asking any VM that has come further.
 * Pure: no I/O, no clock.
 */

#define SPREAD_KEY_MAX 160

/** One object; an empty value marks a removed one. */
struct spread_object {
	char key[SPREAD_KEY_MAX];
	int64_t version;
	char *value;
	size_t len;
};

/** The copy of one VM. */
struct spread_replica {
	GHashTable *by_key;
	/** Every change up to this revision is in the copy. */
	int64_t complete_revision;
	/** Order-independent hash of all keys and versions. */
	uint64_t digest;
	/** Bytes of all values. */
	size_t value_bytes;
};

/** Makes an empty copy. */
void spread_init(struct spread_replica *c);

/** Frees the copy. */
void spread_finish(struct spread_replica *c);

/**
 * Takes in one object. Returns PRL_OK if it is newer than what is held,
 * PRL_E_STALE if it isn't, or PRL_E_MEMORY.
 */
enum prl_code spread_install(struct spread_replica *c, const char *key,
			     int64_t version, const char *value, size_t len);

/**
 * Says that all changes after one revision up to another have been taken in.
 * Returns PRL_OK, or PRL_E_STALE if changes before them are missing.
 */
enum prl_code spread_advance(struct spread_replica *c, int64_t after,
			     int64_t complete);

/** Object by key, or null. */
const struct spread_object *spread_find(const struct spread_replica *c,
					const char *key);

/**
 * Fills an array with the objects changed after a revision, oldest first.
 * The pointers are good until the next change of the copy.
 */
GPtrArray *spread_changed_since(const struct spread_replica *c, int64_t after);

/**
 * Fills an array with the objects that a whole list lacks: held, with this
 * beginning of their key, no newer than the list's revision, and not among its
 * keys. The pointers are good until the next change of the copy.
 */
GPtrArray *spread_missing_from_list(const struct spread_replica *c,
				    const char *prefix, int64_t revision,
				    GHashTable *listed);

/**
 * Place in a relay tree: fills the ranks of a node's children and returns how
 * many there are. The root has rank 0.
 */
int spread_tree_children(int rank, int total, int *out, int max);

#endif
