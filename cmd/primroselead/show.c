#include "command.h"
#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static enum prl_code read_service_object(struct command *c, const char *name,
					 struct store_call *call)
{
	char key[STORE_KEY_MAX];

	snprintf(key, sizeof(key), STORE_PREFIX_SERVICE "%s", name);
	return command_read_object(c, key, call);
}

/* Prints the file as published; --json has no effect. */
static void print_file(const struct store_call *call, int json)
{
	struct config_history h;
	const char *text = config_history_parse(call->object[0].value, &h);

	(void)json;
	printf("# version %lld\n%s", (long long)call->object[0].version, text);
}

static void print_publication(const struct config_publication *p, int json)
{
	time_t at = (time_t)(p->published_ms / 1000);
	char when[32];
	struct tm tm;

	gmtime_r(&at, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%SZ", &tm);
	printf(json ? "{\"at\":\"%s\",\"by\":\"%s\",\"id\":\"%s\","
		      "\"replaced\":%lld,\"digest\":\"%016llx\"}\n"
		    : "%s by %s, publication %s, replaced version %lld, digest "
		      "%016llx\n",
	       when, p->publisher, p->id, (long long)p->replaced_version,
	       (unsigned long long)p->digest);
}

static void print_history(const struct store_call *call, int json)
{
	struct config_history h;

	config_history_parse(call->object[0].value, &h);
	for (int i = 0; i < h.npublication; i++)
		print_publication(&h.publication[i], json);
}

static int run_on_service(int argc, char **argv, const char *description,
			  void (*print)(const struct store_call *call,
					int json))
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON lines");
	struct arg_str *store = arg_str0(NULL, "store", "ADDRESS",
					 "address of the object store");
	struct arg_str *name = arg_str1(NULL, NULL, "SERVICE", "the service");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, json, store, name, end};
	struct command c = {0};
	struct store_call call;
	int status;

	if (!command_parse_options(argc, argv, table, description, &status))
		return status;
	if (command_init(&c, store->count ? store->sval[0] : NULL))
		return command_report_error(&c.err);
	if (read_service_object(&c, name->sval[0], &call))
		status = command_report_error(&c.err);
	else
		print(&call, json->count);
	store_call_finish(&call);
	command_finish(&c);
	arg_freetable(table, 5);
	return status;
}

int command_show(int argc, char **argv)
{
	return run_on_service(argc, argv,
			      "Prints a service file as it is published.",
			      print_file);
}

int command_history(int argc, char **argv)
{
	return run_on_service(
		argc, argv,
		"Prints the publications of a service, newest first.",
		print_history);
}
