#include "raw_values.h"
#include <glib.h>
#include <stdlib.h>

/* Strings of the store by their names in JSON texts, quotes included. */
static GHashTable *values;

static json_t *keep_bytes(const char *bytes, size_t len)
{
	char *name;

	if (!values)
		values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       g_free);
	name = g_strdup_printf("raw-value-%u", g_hash_table_size(values));
	g_hash_table_insert(values, g_strdup_printf("\"%s\"", name),
			    g_strndup(bytes, len));
	return json_string_nocheck(name);
}

json_t *raw_value_new(const char *bytes, size_t len, int raw)
{
	json_t *value;

	if (!len)
		return NULL;
	if (raw)
		return keep_bytes(bytes, len);
	value = json_loadb(bytes, len, 0, NULL);
	return value ? value : json_stringn(bytes, len);
}

char *raw_values_insert(char *text)
{
	GString *out;
	GHashTableIter it;
	void *name;
	void *bytes;

	if (!values)
		return text;
	out = g_string_new(text);
	free(text);
	g_hash_table_iter_init(&it, values);
	while (g_hash_table_iter_next(&it, &name, &bytes))
		g_string_replace(out, name, bytes, 0);
	return g_string_free(out, FALSE);
}
