#include <primroselead/hash.h>
#include <primroselead/spread.h>
#include <stdio.h>
#include <string.h>

static void object_free(void *p)
{
	struct spread_object *o = p;

	g_free(o->value);
	g_free(o);
}

void spread_init(struct spread_replica *r)
{
	memset(r, 0, sizeof(*r));
	r->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  object_free);
}

void spread_finish(struct spread_replica *r)
{
	g_hash_table_destroy(r->by_key);
}

static uint64_t version_hash(const struct spread_object *o)
{
	return prl_hash_combine(prl_hash_string(o->key), (uint64_t)o->version);
}

static uint64_t live_hash(const struct spread_object *o)
{
	return o->len ? version_hash(o) : 0;
}

const struct spread_object *spread_find(const struct spread_replica *r,
					const char *key)
{
	return g_hash_table_lookup(r->by_key, key);
}

enum prl_code spread_install(struct spread_replica *r, const char *key,
			     int64_t version, const char *value, size_t len)
{
	struct spread_object *o = g_hash_table_lookup(r->by_key, key);
	char *copy;

	if (o && o->version >= version)
		return PRL_E_STALE;
	copy = g_try_malloc(len + 1);
	if (!copy)
		return PRL_E_MEMORY;
	/* The value of a tombstone may be null, which memcpy does not allow. */
	if (len)
		memcpy(copy, value, len);
	copy[len] = 0;
	if (!o) {
		o = g_new0(struct spread_object, 1);
		snprintf(o->key, sizeof(o->key), "%s", key);
		g_hash_table_insert(r->by_key, o->key, o);
	} else {
		r->digest -= version_hash(o);
		r->live_digest -= live_hash(o);
	}
	r->value_bytes = r->value_bytes - o->len + len;
	g_free(o->value);
	o->value = copy;
	o->len = len;
	o->version = version;
	r->digest += version_hash(o);
	r->live_digest += live_hash(o);
	return PRL_OK;
}

enum prl_code spread_advance(struct spread_replica *r, int64_t after,
			     int64_t complete)
{
	if (after > r->complete_revision)
		return PRL_E_STALE;
	if (complete > r->complete_revision)
		r->complete_revision = complete;
	return PRL_OK;
}

static int by_version(const void *a, const void *b)
{
	const struct spread_object *x = *(struct spread_object *const *)a;
	const struct spread_object *y = *(struct spread_object *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

GPtrArray *spread_changed_since(const struct spread_replica *r, int64_t after)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, r->by_key);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct spread_object *o = value;

		if (o->version > after)
			g_ptr_array_add(found, o);
	}
	g_ptr_array_sort(found, by_version);
	return found;
}

GPtrArray *spread_missing_from_list(const struct spread_replica *r,
				    const char *prefix, int64_t revision,
				    GHashTable *listed)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, r->by_key);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct spread_object *o = value;

		if (o->len && o->version <= revision &&
		    g_str_has_prefix(o->key, prefix) &&
		    !g_hash_table_contains(listed, o->key))
			g_ptr_array_add(found, o);
	}
	return found;
}
