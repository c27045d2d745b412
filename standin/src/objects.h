#ifndef STANDIN_OBJECTS_H
#define STANDIN_OBJECTS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/** Object with the key "KIND/NAME". A deleted object stays as a tombstone
 * without a value until objects_drop_removed. The version is the store's
 * revision at the last change. */
struct object {
	char *key;
	int64_t version;
	json_t *value;
};

/** Creates an empty hash table from keys to objects, which it owns. */
GHashTable *objects_new(void);

/** Copies all objects, tombstones included. The caller owns the result. */
GHashTable *objects_copy(GHashTable *objects);

/** Returns 1 if the key has this kind. */
int object_key_has_kind(const char *key, const char *kind);

/** JSON of an object in the store's API. The caller owns the result. */
json_t *object_to_json(const struct object *o);

/** JSON of one page of a kind's objects, sorted by name, that begins with the
 * first name greater than "after_name". The caller owns the result. */
json_t *objects_list(GHashTable *objects, const char *kind,
		     const char *after_name, int64_t revision);

/** JSON of a kind's changes after a revision, oldest first. The caller owns the
 * result. */
json_t *objects_events(GHashTable *objects, const char *kind, int64_t after,
		       int64_t revision);

/** Number of a kind's changes after a revision. */
int objects_count_changes(GHashTable *objects, const char *kind, int64_t after);

/** Drops all tombstones. */
void objects_drop_removed(GHashTable *objects);

#endif
