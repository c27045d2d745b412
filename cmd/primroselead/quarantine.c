/* Lists the requests in quarantine, and clears one. */
#include "command.h"
#include <argtable2.h>
#include <jansson.h>
#include <primroselead/clock.h>
#include <primroselead/quarantine.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *name_of(const struct store_object *o)
{
	const char *slash = strchr(o->key, '/');

	return slash ? slash + 1 : o->key;
}

static void print_record(const struct store_object *o, int json)
{
	char about[QUARANTINE_ABOUT_MAX];
	struct quarantine_record r;
	json_t *line;
	char *text;

	if (quarantine_record_parse(name_of(o), o->value, &r, about, NULL)) {
		fprintf(stderr, "primroselead: object \"%s\" is not valid\n",
			o->key);
		return;
	}
	if (!json) {
		printf("%s  %d ended, %d trials  %s\n", name_of(o), r.ncrash,
		       r.ntrial, about);
		return;
	}
	line = json_pack("{s:s, s:i, s:i, s:I, s:s}", "digest", name_of(o),
			 "ended", r.ncrash, "trials", r.ntrial, "clearance",
			 (json_int_t)r.clearance, "about", about);
	text = json_dumps(line, JSON_COMPACT);
	printf("%s\n", text ? text : "");
	free(text);
	json_decref(line);
}

static enum prl_code list_records(struct command *c)
{
	struct store_call call = {
		.op = STORE_LIST,
		.key = STORE_KIND_QUARANTINE "/",
		.deadline_ms = prl_now_ms() + CALL_TIMEOUT_MS,
	};
	enum prl_code rc = store_call_wait(&c->store, &c->loop, &call);

	if (rc)
		c->err = call.err;
	for (int i = 0; !rc && i < call.nobject; i++)
		print_record(&call.object[i], c->json);
	store_call_finish(&call);
	return rc;
}

static enum prl_code write_cleared(struct command *c,
				   const struct store_object *o,
				   const char *publisher)
{
	char about[QUARANTINE_ABOUT_MAX];
	char cleared[QUARANTINE_ABOUT_MAX];
	struct quarantine_record r;
	struct store_call call = {
		.op = STORE_PUT,
		.version = o->version,
		.deadline_ms = prl_now_ms() + CALL_TIMEOUT_MS,
	};
	enum prl_code rc;
	char *text;

	rc = quarantine_record_parse(name_of(o), o->value, &r, about, &c->err);
	if (rc)
		return rc;
	r.clearance++;
	r.ncrash = 0;
	r.ntrial = 0;
	snprintf(cleared, sizeof(cleared), "cleared by %.40s: %.100s",
		 publisher, about);
	text = quarantine_record_format(&r, cleared);
	if (!text)
		return prl_error_set(&c->err, PRL_E_MEMORY, "out of memory");
	snprintf(call.key, sizeof(call.key), "%s", o->key);
	call.value = text;
	call.len = strlen(text);
	rc = store_call_wait(&c->store, &c->loop, &call);
	if (rc)
		c->err = call.err;
	store_call_finish(&call);
	free(text);
	return rc;
}

static enum prl_code clear_record(struct command *c, const char *digest,
				  const char *publisher)
{
	char key[STORE_KEY_MAX];
	struct store_call call;
	enum prl_code rc;

	snprintf(key, sizeof(key), STORE_KIND_QUARANTINE "/%.40s", digest);
	rc = command_read_object(c, key, &call);
	if (!rc)
		rc = write_cleared(c, &call.object[0], publisher);
	if (!rc)
		printf("%s: cleared\n", digest);
	store_call_finish(&call);
	return rc;
}

int command_quarantine(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON lines");
	struct arg_str *store = arg_str0(NULL, "store", "ADDRESS",
					 "address of the object store");
	struct arg_str *clear =
		arg_str0(NULL, "clear", "DIGEST", "clear this request");
	struct arg_str *by = arg_str0(NULL, "by", "NAME",
				      "who clears it, kept in the VMs' logs");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, json, store, clear, by, end};
	struct command c = {0};
	enum prl_code rc;
	int status;

	if (!command_parse_options(
		    argc, argv, table,
		    "Lists the requests under which several upstreams have "
		    "ended and that are\nsent to none any longer, or clears "
		    "one: the VMs send it again within seconds.",
		    &status))
		return status;
	c.json = json->count;
	if (command_init(&c, store->count ? store->sval[0] : NULL))
		return command_report_error(&c.err);
	rc = clear->count ? clear_record(&c, clear->sval[0],
					 by->count ? by->sval[0] : "unnamed")
			  : list_records(&c);
	status = rc ? command_report_error(&c.err) : 0;
	command_finish(&c);
	arg_freetable(table, 6);
	return status;
}
