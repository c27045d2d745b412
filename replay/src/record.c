/* Traces from the logs of entry VMs. */
#include "trace.h"
#include <jansson.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000

/* Kinds are told apart by priority and objective. */
struct recording {
	const char *service;
	char **region;
	GPtrArray *kind;
	GArray *arrival;
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
	char *name = g_strdup_printf("priority %s, objective %s ms",
				     text(line, "priority"),
				     text(line, "objective_ms"));

	for (guint i = 0; i < r->kind->len; i++) {
		if (!strcmp(g_ptr_array_index(r->kind, i), name)) {
			g_free(name);
			return (int)i;
		}
	}
	g_ptr_array_add(r->kind, name);
	return (int)r->kind->len - 1;
}

/* A line is written when its request has ended; it came before. Requests
 * without a priority were on no route. */
static void record_line(struct recording *r, const json_t *line)
{
	int64_t ms = json_integer_value(json_object_get(line, "time")) -
		     strtoll(text(line, "ms"), NULL, 10);
	struct arrival a = {
		.at_us = ms * US_PER_MS,
		.region = region_of(r, text(line, "vm")),
		.object = strtoull(text(line, "object"), NULL, 16),
	};

	if (strcmp(text(line, "event"), "request") != 0 || a.region < 0 ||
	    strcmp(text(line, "service"), r->service) != 0 ||
	    !strcmp(text(line, "priority"), "0"))
		return;
	a.kind = kind_of(r, line);
	g_array_append_val(r->arrival, a);
}

static void write_trace(struct recording *r)
{
	trace_sort(r->arrival);
	for (guint i = 0; i < r->kind->len; i++)
		printf("# kind %u: %s\n", i,
		       (const char *)g_ptr_array_index(r->kind, i));
	for (guint i = 0; i < r->arrival->len; i++) {
		const struct arrival *a =
			&g_array_index(r->arrival, struct arrival, i);
		int64_t first =
			g_array_index(r->arrival, struct arrival, 0).at_us;

		printf("%lld %d %d %016llx\n",
		       (long long)((a->at_us - first) / US_PER_MS), a->region,
		       a->kind, (unsigned long long)a->object);
	}
}

enum prl_code trace_record(const char *log, const char *service,
			   const char *regions, struct prl_error *err)
{
	struct recording r = {
		.service = service,
		.region = g_strsplit(regions, ",", 8),
	};
	char line[4096];
	FILE *f = fopen(log, "r");

	if (!f) {
		g_strfreev(r.region);
		return prl_fail(err, PRL_E_IO, "log \"%s\" can't be opened",
				log);
	}
	r.kind = g_ptr_array_new_with_free_func(g_free);
	r.arrival = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	while (fgets(line, sizeof(line), f)) {
		const char *at = strchr(line, '{');
		json_t *j = at ? json_loads(at, 0, NULL) : NULL;

		if (j)
			record_line(&r, j);
		json_decref(j);
	}
	write_trace(&r);
	g_array_unref(r.arrival);
	g_ptr_array_unref(r.kind);
	g_strfreev(r.region);
	fclose(f);
	return PRL_OK;
}
