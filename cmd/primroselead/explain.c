/* Explains from the log lines of VMs how one request was handled: prints the
 * lines of the request, those about the upstreams it was sent to, and the state
 * that its entry VM had logged by the time the request ended. */
#include "command.h"
#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <primroselead/log_lines.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Lines about an upstream are printed from this long before the request's start
 * until this long after its end, in milliseconds. */
#define UPSTREAM_BEFORE_MS 3000
#define UPSTREAM_AFTER_MS 1000

/* The request to explain, and what its log lines say of it. */
struct request_trace {
	const char *id;
	/** Entry VM that handled the request; empty if no log line names it. */
	char vm[PRL_NAME_MAX];
	/** Digest of the request; empty if no line has one. */
	char digest[PRL_NAME_MAX];
	/** Start and end, in ms of the wall clock. */
	int64_t start_ms;
	int64_t end_ms;
	/** Set of upstreams that the request was sent to, by name. */
	GHashTable *upstreams;
};

static int field_equals(const json_t *line, const char *key, const char *value)
{
	return !strcmp(log_line_text(line, key), value);
}

/* Lines of other requests are dropped while reading, as they are most of a
 * log. */
static int is_candidate(const json_t *line, const char *id)
{
	int of_request = field_equals(line, "event", "request") ||
			 field_equals(line, "event", "lookup");

	return !of_request || field_equals(line, "id", id);
}

/* Collects the lines that may concern one request. */
struct line_collector {
	const char *id;
	GPtrArray *lines;
};

static void collect_line(void *ctx, json_t *line)
{
	struct line_collector *collector = ctx;

	if (is_candidate(line, collector->id))
		g_ptr_array_add(collector->lines, json_incref(line));
}

static enum prl_code read_files(struct arg_file *files, const char *id,
				GPtrArray *lines, struct prl_error *err)
{
	struct line_collector collector = {.id = id, .lines = lines};

	for (int i = 0; i < files->count; i++) {
		FILE *f = fopen(files->filename[i], "r");

		if (!f)
			return prl_error_set(err, PRL_E_IO,
					     "log file \"%s\" can't be read",
					     files->filename[i]);
		log_lines_read(f, collect_line, &collector);
		fclose(f);
	}
	return PRL_OK;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = log_line_time_ms(*(json_t *const *)a);
	int64_t y = log_line_time_ms(*(json_t *const *)b);

	return x < y ? -1 : x > y;
}

static void find_request(const GPtrArray *lines, struct request_trace *trace)
{
	for (guint i = 0; i < lines->len; i++) {
		json_t *line = g_ptr_array_index(lines, i);

		if (!field_equals(line, "id", trace->id))
			continue;
		g_hash_table_add(trace->upstreams,
				 g_strdup(log_line_text(line, "upstream")));
		if (!field_equals(line, "event", "request"))
			continue;
		g_strlcpy(trace->vm, log_line_text(line, "vm"),
			  sizeof(trace->vm));
		g_strlcpy(trace->digest, log_line_text(line, "digest"),
			  sizeof(trace->digest));
		trace->end_ms = log_line_time_ms(line);
		trace->start_ms =
			trace->end_ms - atoll(log_line_text(line, "ms"));
	}
	g_hash_table_remove(trace->upstreams, "");
}

static int names_upstream(const json_t *line, const struct request_trace *trace)
{
	return g_hash_table_contains(trace->upstreams,
				     log_line_text(line, "upstream")) ||
	       g_hash_table_contains(trace->upstreams,
				     log_line_text(line, "instance"));
}

/* Whether no later line up to the request's end supersedes this one: a line of
 * the same VM with the same event, kind and domain. */
static int is_latest_state(const GPtrArray *lines, guint at,
			   const struct request_trace *trace)
{
	const json_t *line = g_ptr_array_index(lines, at);

	for (guint i = at + 1; i < lines->len; i++) {
		const json_t *later = g_ptr_array_index(lines, i);

		if (log_line_time_ms(later) > trace->end_ms)
			break;
		if (field_equals(later, "vm", trace->vm) &&
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
			    const struct request_trace *trace)
{
	static const char *const state_events[] = {
		"started",  "ready",	  "manifest", "store",	"evacuation",
		"quiesced", "leaving",	  "ending",   "paused", "confirmed",
		"reload",   "registered", NULL};
	const json_t *line = g_ptr_array_index(lines, at);
	int64_t time = log_line_time_ms(line);

	if (field_equals(line, "id", trace->id))
		return 1;
	/* Why equal requests are no longer sent, from any VM. */
	if (field_equals(line, "event", "quarantine") && trace->digest[0] &&
	    field_equals(line, "digest", trace->digest))
		return time <= trace->end_ms;
	if (!field_equals(line, "vm", trace->vm))
		return 0;
	if (names_upstream(line, trace))
		return time >= trace->start_ms - UPSTREAM_BEFORE_MS &&
		       time <= trace->end_ms + UPSTREAM_AFTER_MS;
	for (int i = 0; state_events[i]; i++)
		if (field_equals(line, "event", state_events[i]) &&
		    time <= trace->end_ms)
			return is_latest_state(lines, at, trace);
	return 0;
}

static void print_line(const json_t *line, const struct request_trace *trace)
{
	const char *key;
	json_t *value;

	printf("%+8lld ms  %-10s",
	       (long long)(log_line_time_ms(line) - trace->end_ms),
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
				       struct request_trace *trace,
				       struct prl_error *err)
{
	find_request(lines, trace);
	if (!trace->vm[0])
		return prl_error_set(err, PRL_E_NOT_FOUND,
				     "request \"%s\" is in none of the logs",
				     trace->id);
	printf("request %s at %s, in force and known when it ended:\n",
	       trace->id, trace->vm);
	for (guint i = 0; i < lines->len; i++)
		if (concerns_request(lines, i, trace))
			print_line(g_ptr_array_index(lines, i), trace);
	return PRL_OK;
}

static void free_line(void *line)
{
	json_decref(line);
}

static int explain_request(const char *id, struct arg_file *files)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
	struct request_trace trace = {.id = id};
	struct prl_error err = {0};
	int status = 0;

	trace.upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (read_files(files, id, lines, &err)) {
		status = command_report_error(&err);
	} else {
		if (lines->len)
			g_ptr_array_sort(lines, compare_times);
		if (print_explanation(lines, &trace, &err))
			status = command_report_error(&err);
	}
	g_hash_table_destroy(trace.upstreams);
	g_ptr_array_free(lines, TRUE);
	return status;
}

int command_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of the request");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 256, "log files of the VMs");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, id, files, end};
	int status;

	if (!command_parse_options(
		    argc, argv, table,
		    "Explains from the logs of VMs how a request was "
		    "handled: prints its lines, those of its upstreams\n"
		    "and the state of its entry VM, each with its time "
		    "relative to the request's end.",
		    &status))
		return status;
	status = explain_request(id->sval[0], files);
	arg_freetable(table, 4);
	return status;
}
