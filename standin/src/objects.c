#include "objects.h"
#include <string.h>

/* Maximum number of objects in one page of a list. */
#define PAGE_OBJECTS 100

static void object_free(void *p)
{
	struct object *o = p;

	g_free(o->key);
	json_decref(o->value);
	g_free(o);
}

static int by_version(const void *a, const void *b)
{
	const struct object *x = *(struct object *const *)a;
	const struct object *y = *(struct object *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static int by_key(const void *a, const void *b)
{
	const struct object *x = *(struct object *const *)a;
	const struct object *y = *(struct object *const *)b;

	return strcmp(x->key, y->key);
}

GHashTable *objects_copy(GHashTable *objects)
{
	GHashTable *copy = objects_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, objects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct object *from = value;
		struct object *o = g_new0(struct object, 1);

		o->key = g_strdup(from->key);
		o->version = from->version;
		o->value = from->value ? json_incref(from->value) : NULL;
		g_hash_table_insert(copy, o->key, o);
	}
	return copy;
}

int object_key_has_kind(const char *key, const char *kind)
{
	size_t n = strlen(kind);

	return !strncmp(key, kind, n) && key[n] == '/';
}

/* Objects of a kind that changed after a revision, with tombstones. */
static GPtrArray *collect_changed(GHashTable *objects, const char *kind,
				  int64_t after)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, objects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct object *o = value;

		if (o->version > after && object_key_has_kind(o->key, kind))
			g_ptr_array_add(found, o);
	}
	return found;
}

json_t *object_to_json(const struct object *o)
{
	return json_pack(
		"{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "metadata", "name",
		strchr(o->key, '/') + 1, "revision", (json_int_t)o->version,
		"created", (json_int_t)o->version, "finalizers", "deleting", 0,
		"specification", o->value ? o->value : json_null(), "status");
}

json_t *objects_list(GHashTable *objects, const char *kind,
		     const char *after_name, int64_t revision)
{
	GPtrArray *found = collect_changed(objects, kind, 0);
	json_t *items = json_array();
	int more = 0;

	g_ptr_array_sort(found, by_key);
	for (guint i = 0; i < found->len && !more; i++) {
		const struct object *o = g_ptr_array_index(found, i);

		if (!o->value ||
		    strcmp(strchr(o->key, '/') + 1, after_name) <= 0)
			continue;
		more = json_array_size(items) == PAGE_OBJECTS;
		if (!more)
			json_array_append_new(items, object_to_json(o));
	}
	g_ptr_array_free(found, TRUE);
	return json_pack("{s:o, s:b, s:I}", "items", items, "has_more", more,
			 "current_rev", (json_int_t)revision);
}

json_t *objects_events(GHashTable *objects, const char *kind, int64_t after,
		       int64_t revision)
{
	GPtrArray *found = collect_changed(objects, kind, after);
	json_t *events = json_array();

	g_ptr_array_sort(found, by_version);
	for (guint i = 0; i < found->len; i++) {
		const struct object *o = g_ptr_array_index(found, i);

		json_array_append_new(events, json_pack("{s:b, s:o}", "removed",
							!o->value, "object",
							object_to_json(o)));
	}
	g_ptr_array_free(found, TRUE);
	return json_pack("{s:o, s:I}", "events", events, "current_rev",
			 (json_int_t)revision);
}

int objects_count_changes(GHashTable *objects, const char *kind, int64_t after)
{
	GPtrArray *found = collect_changed(objects, kind, after);
	int n = (int)found->len;

	g_ptr_array_free(found, TRUE);
	return n;
}

static gboolean is_removed(gpointer key, gpointer value, gpointer ctx)
{
	const struct object *o = value;

	(void)key;
	(void)ctx;
	return !o->value;
}

void objects_drop_removed(GHashTable *objects)
{
	g_hash_table_foreach_remove(objects, is_removed, NULL);
}

GHashTable *objects_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     object_free);
}
