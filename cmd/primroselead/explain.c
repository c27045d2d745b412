/* Tells from the log lines of VMs what became of one request, and why. */
#include "command.h"
#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <primroselead/log_lines.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time before a request's start in which an upstream's lines bear on it, and
 * after its end, in milliseconds. */
#define UPSTREAM_BEFORE_MS 3000
#define UPSTREAM_AFTER_MS 1000

/* The request that is asked for. */
struct request_trace {
	const char *id;
	/** VM that took it; empty while it wasn't found. */
	char vm[PRL_NAME_MAX];
	int64_t start_ms;
	int64_t end_ms;
	/** Instances that it was sent to. */
	GHashTable *upstreams;
};

static int field_equals(const json_t *line, const char *key, const char *value)
{
	return !strcmp(log_line_text(line, key), value);
}

/* Lines of other requests are not kept: they are most of a log. */
static int is_candidate(const json_t *line, const char *id)
{
	int of_request = field_equals(line, "event", "request") ||
			 field_equals(line, "event", "lookup");

	return !of_request || field_equals(line, "id", id);
}

/* Where lines are kept, and for whose sake. */
struct line_collector {
	const char *id;
	GPtrArray *lines;
};

static void collect_line(void *ctx, json_t *line)
{
	struct line_collector *k = ctx;

	if (is_candidate(line, k->id))
		g_ptr_array_add(k->lines, json_incref(line));
}

static enum prl_code read_files(struct arg_file *files, const char *id,
				GPtrArray *lines, struct prl_error *err)
{
	struct line_collector k = {.id = id, .lines = lines};

	for (int i = 0; i < files->count; i++) {
		FILE *f = fopen(files->filename[i], "r");

		if (!f)
			return prl_fail(err, PRL_E_IO,
					"log \"%s\" can't be read",
					files->filename[i]);
		log_lines_read(f, collect_line, &k);
		fclose(f);
	}
	return PRL_OK;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = log_line_time(*(json_t *const *)a);
	int64_t y = log_line_time(*(json_t *const *)b);

	return x < y ? -1 : x > y;
}

static void find_request(const GPtrArray *lines, struct request_trace *q)
{
	for (guint i = 0; i < lines->len; i++) {
		json_t *line = g_ptr_array_index(lines, i);

		if (!field_equals(line, "id", q->id))
			continue;
		g_hash_table_add(q->upstreams,
				 g_strdup(log_line_text(line, "upstream")));
		if (!field_equals(line, "event", "request"))
			continue;
		g_strlcpy(q->vm, log_line_text(line, "vm"), sizeof(q->vm));
		q->end_ms = log_line_time(line);
		q->start_ms = q->end_ms - atoll(log_line_text(line, "ms"));
	}
	g_hash_table_remove(q->upstreams, "");
}

static int names_upstream(const json_t *line, const struct request_trace *q)
{
	return g_hash_table_contains(q->upstreams,
				     log_line_text(line, "upstream")) ||
	       g_hash_table_contains(q->upstreams,
				     log_line_text(line, "instance"));
}

/* What the VM knew: the newest line of each subject before the request ended.
 * Two lines of one subject have the same event and kind. */
static int is_latest_state(const GPtrArray *lines, guint at,
			   const struct request_trace *q)
{
	const json_t *line = g_ptr_array_index(lines, at);

	for (guint i = at + 1; i < lines->len; i++) {
		const json_t *later = g_ptr_array_index(lines, i);

		if (log_line_time(later) > q->end_ms)
			break;
		if (field_equals(later, "vm", q->vm) &&
		    field_equals(later, "event",
				 log_line_text(line, "event")) &&
		    field_equals(later, "kind", log_line_text(line, "kind")) &&
		    field_equals(later, "domain",
				 log_line_text(line, "domain")))
			return 0;
	}
	return 1;
}

static int concerns_request(const GPtrArray *lines, guint at,
			    const struct request_trace *q)
{
	static const char *const state[] = {
		"started",    "ready",	  "manifest",	"store",
		"evacuation", "quiesced", "leaving",	"paused",
		"confirmed",  "reload",	  "registered", NULL};
	const json_t *line = g_ptr_array_index(lines, at);
	int64_t time = log_line_time(line);

	if (field_equals(line, "id", q->id))
		return 1;
	if (!field_equals(line, "vm", q->vm))
		return 0;
	if (names_upstream(line, q))
		return time >= q->start_ms - UPSTREAM_BEFORE_MS &&
		       time <= q->end_ms + UPSTREAM_AFTER_MS;
	for (int i = 0; state[i]; i++)
		if (field_equals(line, "event", state[i]) && time <= q->end_ms)
			return is_latest_state(lines, at, q);
	return 0;
}

static void print_line(const json_t *line, const struct request_trace *q)
{
	const char *key;
	json_t *value;

	printf("%+8lld ms  %-10s", (long long)(log_line_time(line) - q->end_ms),
	       log_line_text(line, "event"));
	json_object_foreach((json_t *)line, key, value)
	{
		if (!strcmp(key, "time") || !strcmp(key, "vm") ||
		    !strcmp(key, "event") || !strcmp(key, "level") ||
		    !strcmp(key, "audit") || !*json_string_value(value))
			continue;
		printf(" %s=%s", key, json_string_value(value));
	}
	printf("\n");
}

static enum prl_code print_explanation(const GPtrArray *lines,
				       struct request_trace *q,
				       struct prl_error *err)
{
	find_request(lines, q);
	if (!q->vm[0])
		return prl_fail(err, PRL_E_NOT_FOUND,
				"request \"%s\" is in none of the logs", q->id);
	printf("request %s at %s, in force and known when it ended:\n", q->id,
	       q->vm);
	for (guint i = 0; i < lines->len; i++)
		if (concerns_request(lines, i, q))
			print_line(g_ptr_array_index(lines, i), q);
	return PRL_OK;
}

static void free_line(void *line)
{
	json_decref(line);
}

static int explain_request(const char *id, struct arg_file *files)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
	struct request_trace q = {.id = id};
	struct prl_error err = {0};
	int status = 0;

	q.upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (read_files(files, id, lines, &err)) {
		status = command_report_error(&err);
	} else {
		if (lines->len)
			g_ptr_array_sort(lines, compare_times);
		if (print_explanation(lines, &q, &err))
			status = command_report_error(&err);
	}
	g_hash_table_destroy(q.upstreams);
	g_ptr_array_free(lines, TRUE);
	return status;
}

int command_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "the request's id");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 256, "logs of the VMs");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, id, files, end};
	int status;

	if (!command_parse_options(
		    argc, argv, table,
		    "Tells from the logs of VMs what became of a "
		    "request: its own lines, those of its upstreams, "
		    "and what the VM knew, each with its age.",
		    &status))
		return status;
	status = explain_request(id->sval[0], files);
	arg_freetable(table, 4);
	return status;
}
