#include "command.h"
#include <apr_strings.h>
#include <argtable2.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

/* Reads to find out whether a write whose answer was lost took effect. */
#define CONFIRM_READS 5

/* Delay before each of these reads, in milliseconds. */
#define CONFIRM_INTERVAL_MS 300

/* A service file that is being published. */
struct pending_publication {
	const struct service_file *file;
	const char *publisher;
	/** Key of the service's object in the store. */
	char key[STORE_KEY_MAX];
	/** Version that the write replaces; 0 if there must be none, -1 for the
	 * one that is read first. */
	int64_t expected_version;
	/** Version last seen in the store; after the write, the new one. */
	int64_t current_version;
	/** Publications, this one first. */
	struct config_history history;
	/** File text in force before; null if there is none. */
	char *current_text;
	/** Object value to write: header and file; freed by g_free. */
	char *new_value;
};

/* Runs the event loop for a time. */
static void sleep_ms(struct command *c, int64_t ms)
{
	int64_t until = prl_now_ms() + ms;

	while (prl_now_ms() < until)
		loop_run_once(&c->loop, until);
}

static void format_random_id(char *id, size_t size)
{
	uint64_t r = 0;

	if (getrandom(&r, sizeof(r), 0) < 0)
		r = (uint64_t)prl_now_us();
	snprintf(id, size, "%016llx", (unsigned long long)r);
}

/* Reads the publication in force and builds the value that replaces it. */
static enum prl_code prepare_publication(struct command *c,
					 struct pending_publication *p)
{
	struct config_publication entry = {.published_ms = prl_wall_ms()};
	struct store_call call;
	enum prl_code rc;

	snprintf(p->key, sizeof(p->key), STORE_PREFIX_SERVICE "%s",
		 p->file->service.service.name);
	rc = command_read_object(c, p->key, &call);
	if (rc && rc != PRL_E_NOT_FOUND)
		return rc;
	if (!rc) {
		p->current_version = call.object[0].version;
		p->current_text = apr_pstrdup(
			c->pool, config_history_parse(call.object[0].value,
						      &p->history));
	}
	store_call_finish(&call);
	if (p->expected_version < 0)
		p->expected_version = p->current_version;
	format_random_id(entry.id, sizeof(entry.id));
	entry.replaced_version = p->expected_version;
	snprintf(entry.publisher, sizeof(entry.publisher), "%s", p->publisher);
	entry.digest = prl_hash_string(p->file->text);
	config_history_add(&p->history, &entry);
	p->new_value = config_history_prepend(&p->history, p->file->text);
	return PRL_OK;
}

/*
 * Finds out whether a write whose answer was lost took effect, by reading the
 * object; the write is not repeated. Returns PRL_OK once the history holds this
 * publication's id, PRL_E_CONFLICT if another version replaced the expected
 * one, or PRL_E_UNSETTLED if no read showed either.
 */
static enum prl_code confirm_write(struct command *c,
				   struct pending_publication *p)
{
	struct config_history found;
	struct store_call call;
	enum prl_code rc;

	for (int i = 0; i < CONFIRM_READS; i++) {
		sleep_ms(c, CONFIRM_INTERVAL_MS);
		rc = command_read_object(c, p->key, &call);
		if (rc == PRL_E_NOT_FOUND)
			continue;
		if (rc)
			continue;
		config_history_parse(call.object[0].value, &found);
		p->current_version = call.object[0].version;
		store_call_finish(&call);
		for (int k = 0; k < found.npublication; k++)
			if (!strcmp(found.publication[k].id,
				    p->history.publication[0].id))
				return PRL_OK;
		if (p->current_version != p->expected_version)
			return prl_error_set(
				&c->err, PRL_E_CONFLICT,
				"service \"%s\": version %lld was "
				"expected, version %lld is in force",
				p->file->service.service.name,
				(long long)p->expected_version,
				(long long)p->current_version);
	}
	return prl_error_set(
		&c->err, PRL_E_UNSETTLED,
		"service \"%s\": the store did not confirm the write, "
		"and its outcome is unknown; version %lld was in force "
		"before",
		p->file->service.service.name, (long long)p->expected_version);
}

static enum prl_code write_publication(struct command *c,
				       struct pending_publication *p)
{
	struct store_call call = {
		.op = STORE_PUT,
		.version = p->expected_version,
		.value = p->new_value,
		.len = strlen(p->new_value),
		.deadline_ms = prl_now_ms() + CALL_TIMEOUT_MS,
	};
	enum prl_code rc;

	memcpy(call.key, p->key, sizeof(call.key));
	rc = store_call_wait(&c->store, &c->loop, &call);
	p->current_version = call.revision;
	store_call_finish(&call);
	if (rc == PRL_E_UNSETTLED)
		return confirm_write(c, p);
	if (rc == PRL_E_CONFLICT)
		return prl_error_set(
			&c->err, rc,
			"service \"%s\": version %lld was expected, "
			"version %lld is in force",
			p->file->service.service.name,
			(long long)p->expected_version,
			(long long)p->current_version);
	if (rc)
		c->err = call.err;
	return rc;
}

static int contains_line(const char *text, const char *line, size_t len)
{
	const char *at = text;

	while (at && *at) {
		size_t n = strcspn(at, "\n");

		if (n == len && !strncmp(at, line, len))
			return 1;
		at += n;
		at += *at == '\n';
	}
	return 0;
}

/* Prints the lines of a text that the other text lacks, whatever their order,
 * each after the sign. */
static void print_missing_lines(const char *text, const char *other, char sign)
{
	while (*text) {
		size_t n = strcspn(text, "\n");

		if (n && !contains_line(other, text, n))
			printf("%c %.*s\n", sign, (int)n, text);
		text += n;
		text += *text == '\n';
	}
}

static void print_traffic_changes(const struct prl_service *s)
{
	if (s->shift.line && s->shift.state == PRL_SHIFT_STATE_FORWARD)
		printf("will move up to %lld permille from %s to %s, %lld "
		       "permille every %lld ms\n",
		       (long long)s->shift.cap, s->shift.from, s->shift.to,
		       (long long)s->shift.step, (long long)s->shift.pace);
	for (int i = 0; i < s->nupstream; i++)
		if (s->upstream[i].state == PRL_UPSTREAM_STATE_DRAIN)
			printf("will drain upstream %s in %s\n",
			       s->upstream[i].address, s->upstream[i].region);
}

static void print_dry_run(const struct pending_publication *p, int json)
{
	const char *name = p->file->service.service.name;

	if (json) {
		printf("{\"service\":\"%s\",\"version\":%lld,\"dry_run\":true}"
		       "\n",
		       name, (long long)p->expected_version);
		return;
	}
	printf("service %s, version %lld in force\n", name,
	       (long long)p->expected_version);
	print_missing_lines(p->current_text ? p->current_text : "",
			    p->file->text, '-');
	print_missing_lines(p->file->text,
			    p->current_text ? p->current_text : "", '+');
	print_traffic_changes(&p->file->service);
}

static void print_result(const struct pending_publication *p, int json)
{
	const char *format =
		json ? "{\"service\":\"%s\",\"replaced\":%lld,\"version\":%lld}"
		       "\n"
		     : "service %s: version %lld replaced by version %lld\n";

	printf(format, p->file->service.service.name,
	       (long long)p->expected_version, (long long)p->current_version);
}

static enum prl_code publish_one(struct command *c,
				 struct pending_publication *p, int dry_run)
{
	enum prl_code rc = prepare_publication(c, p);

	if (rc)
		return rc;
	if (dry_run) {
		print_dry_run(p, c->json);
		return PRL_OK;
	}
	rc = write_publication(c, p);
	if (!rc)
		print_result(p, c->json);
	return rc;
}

static enum prl_code publish_all(struct command *c,
				 const struct service_file *services, int n,
				 struct pending_publication *defaults,
				 int dry_run)
{
	enum prl_code last_error = PRL_OK;

	for (int i = 0; i < n; i++) {
		struct pending_publication p = *defaults;
		enum prl_code rc;

		p.file = &services[i];
		rc = publish_one(c, &p, dry_run);
		g_free(p.new_value);
		if (!rc)
			continue;
		command_report_error(&c->err);
		last_error = rc;
	}
	return last_error;
}

int command_publish(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *dry = arg_lit0("n", "dry-run",
				       "show what would change, write nothing");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *store = arg_str0(NULL, "store", "ADDRESS",
					 "address of the object store");
	struct arg_str *by =
		arg_str0(NULL, "by", "NAME",
			 "name of the publisher, kept in the history");
	struct arg_int *expect = arg_int0(
		NULL, "expect", "VERSION",
		"version that must be in force; default: the current one");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 1024, "service files");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, dry, json, store, by, expect, files, end};
	struct pending_publication defaults = {.expected_version = -1,
					       .publisher = "unnamed"};
	struct command c = {0};
	struct service_file *services;
	enum prl_code rc;
	int status;

	if (!command_parse_options(
		    argc, argv, table,
		    "Checks service files and publishes them, each by "
		    "one conditional update.\nIf any file has a fault, "
		    "none is published.",
		    &status))
		return status;
	c.json = json->count;
	if (command_init(&c, store->count ? store->sval[0] : NULL))
		return command_report_error(&c.err);
	if (by->count)
		defaults.publisher = by->sval[0];
	if (expect->count)
		defaults.expected_version = expect->ival[0];
	services = calloc((size_t)files->count, sizeof(*services));
	if (!services)
		return prl_code_exit_status(PRL_E_MEMORY);
	rc = command_read_services(&c, files->filename, files->count, services);
	if (!rc)
		rc = publish_all(&c, services, files->count, &defaults,
				 dry->count);
	free(services);
	command_finish(&c);
	arg_freetable(table, 8);
	return prl_code_exit_status(rc);
}
