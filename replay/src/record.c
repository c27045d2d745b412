/* Traces from the logs of entry VMs. */
#include "trace.h"
#include <jansson.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Kinds are told apart by the service and the objective. */
struct recording {
	char **region;
	GPtrArray *kind;
	int64_t first_ms;
};

static const char *text(const json_t *line, const char *name)
{
	const char *s = json_string_value(json_object_get(line, name));

	return s ? s : "";
}

static int region_of(const struct recording *r, const char *vm)
{
	for (int i = 0; r->region[i]; i++)
		if (strstr(vm, r->region[i]))
			return i;
	return -1;
}

static int kind_of(struct recording *r, const json_t *line)
{
	char *name =
		g_strdup_printf("%s, objective %s ms", text(line, "service"),
				text(line, "objective_ms"));

	for (guint i = 0; i < r->kind->len; i++) {
		if (!strcmp(g_ptr_array_index(r->kind, i), name)) {
			g_free(name);
			return (int)i;
		}
	}
	printf("# kind %u: %s\n", r->kind->len, name);
	g_ptr_array_add(r->kind, name);
	return (int)r->kind->len - 1;
}

/* A line is written when its request has ended; it came before. */
static void record_line(struct recording *r, const json_t *line)
{
	int64_t ms = json_integer_value(json_object_get(line, "time")) -
		     strtoll(text(line, "ms"), NULL, 10);
	int region = region_of(r, text(line, "vm"));

	if (strcmp(text(line, "event"), "request") != 0 || region < 0)
		return;
	if (!r->first_ms)
		r->first_ms = ms;
	printf("%lld %d %d %s\n", (long long)(ms - r->first_ms), region,
	       kind_of(r, line), text(line, "object"));
}

enum prl_code trace_record(const char *log, const char *regions,
			   struct prl_error *err)
{
	struct recording r = {.region = g_strsplit(regions, ",", 8)};
	char line[4096];
	FILE *f = fopen(log, "r");

	if (!f) {
		g_strfreev(r.region);
		return prl_fail(err, PRL_E_IO, "log \"%s\" can't be opened",
				log);
	}
	r.kind = g_ptr_array_new_with_free_func(g_free);
	while (fgets(line, sizeof(line), f)) {
		const char *at = strchr(line, '{');
		json_t *j = at ? json_loads(at, 0, NULL) : NULL;

		if (j)
			record_line(&r, j);
		json_decref(j);
	}
	g_ptr_array_unref(r.kind);
	g_strfreev(r.region);
	fclose(f);
	return PRL_OK;
}
