/* Records traces from the logs of entry VMs. */
#include "trace.h"
#include <primroselead/log_lines.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000

/* A recording. A kind is a pair of priority and latency objective, which "kind"
 * holds as the text that is printed for it. */
struct recording {
	const char *service;
	char **region;
	GPtrArray *kind;
	GArray *arrival;
};

static int find_region(const struct recording *r, const char *vm)
{
	for (int i = 0; r->region[i]; i++)
		if (strstr(vm, r->region[i]))
			return i;
	return -1;
}

static int find_or_add_kind(struct recording *r, const json_t *line)
{
	char *name = g_strdup_printf("priority %s, objective %s ms",
				     log_line_text(line, "priority"),
				     log_line_text(line, "objective_ms"));

	for (guint i = 0; i < r->kind->len; i++) {
		if (!strcmp(g_ptr_array_index(r->kind, i), name)) {
			g_free(name);
			return (int)i;
		}
	}
	g_ptr_array_add(r->kind, name);
	return (int)r->kind->len - 1;
}

/* A log line has the time of its request's end, so the duration is subtracted.
 * Requests of priority 0 matched no route and are skipped. */
static void record_line(void *ctx, json_t *line)
{
	struct recording *r = ctx;
	int64_t ms = log_line_time_ms(line) -
		     strtoll(log_line_text(line, "ms"), NULL, 10);
	struct arrival a = {
		.at_us = ms * US_PER_MS,
		.region = find_region(r, log_line_text(line, "vm")),
		.object_hash =
			strtoull(log_line_text(line, "object"), NULL, 16),
	};

	if (strcmp(log_line_text(line, "event"), "request") != 0 ||
	    a.region < 0 ||
	    strcmp(log_line_text(line, "service"), r->service) != 0 ||
	    !strcmp(log_line_text(line, "priority"), "0"))
		return;
	a.kind = find_or_add_kind(r, line);
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
		       a->kind, (unsigned long long)a->object_hash);
	}
}

enum prl_code trace_record(const char *log, const char *service,
			   const char *regions, struct prl_error *err)
{
	struct recording r = {
		.service = service,
		.region = g_strsplit(regions, ",", 8),
	};
	FILE *f = fopen(log, "r");

	if (!f) {
		g_strfreev(r.region);
		return prl_error_set(err, PRL_E_IO,
				     "log \"%s\" cannot be opened", log);
	}
	r.kind = g_ptr_array_new_with_free_func(g_free);
	r.arrival = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	log_lines_read(f, record_line, &r);
	write_trace(&r);
	g_array_unref(r.arrival);
	g_ptr_array_unref(r.kind);
	g_strfreev(r.region);
	fclose(f);
	return PRL_OK;
}
