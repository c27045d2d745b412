#ifndef STANDIN_OBJECTS_H
#define STANDIN_OBJECTS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/** An object; the key is its kind, a slash and its name. A removed one has no
 * value and stays as long as the history does. */
struct object {
	char *key;
	int64_t version;
	json_t *value;
};

/** Makes an empty table of objects by key. */
GHashTable *objects_new(void);

/** Whether a key is of a kind. */
int object_key_has_kind(const char *key, const char *kind);

/** One object as the store answers it. */
json_t *object_to_json(const struct object *o);

/** A page of a kind's objects after a name, by name. */
json_t *objects_list(GHashTable *objects, const char *kind, const char *from,
		     int64_t revision);

/** The changes of a kind after a revision, oldest first; and how many. */
json_t *objects_events(GHashTable *objects, const char *kind, int64_t after,
		       int64_t revision);
int objects_count_changes(GHashTable *objects, const char *kind, int64_t after);

/** Forgets what was removed. */
void objects_drop_removed(GHashTable *objects);

#endif
