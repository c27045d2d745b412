#include "command.h"
#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Load of one service in one region, in concurrent requests. */
struct region_load {
	const char *service;
	const char *region;
	/* Configured for the region, as the last VM read reports it. */
	json_int_t capacity;
	/* Part of the capacity that the VMs hold, summed over them. */
	json_int_t held;
	/* Requests in progress, summed over the VMs. */
	json_int_t used;
};

/* Loads by service and region, summed over the VMs' status pages. */
struct load_totals {
	struct region_load load[512];
	int nload;
};

/* Returns an empty string if the object has no such string. */
static const char *string_member(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

/* Returns 0 if the object has no such integer. */
static json_int_t integer_member(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

/* Returns NULL if the table is full. */
static struct region_load *find_or_add_load(struct load_totals *sums,
					    const char *service,
					    const char *region)
{
	for (int i = 0; i < sums->nload; i++)
		if (!strcmp(sums->load[i].service, service) &&
		    !strcmp(sums->load[i].region, region))
			return &sums->load[i];
	if (sums->nload == (int)(sizeof(sums->load) / sizeof(sums->load[0])))
		return NULL;
	sums->load[sums->nload] =
		(struct region_load){.service = service, .region = region};
	return &sums->load[sums->nload++];
}

static void add_service_load(struct load_totals *sums, const json_t *service)
{
	json_t *list = json_object_get(service, "regions");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *r = json_array_get(list, i);
		struct region_load *l =
			find_or_add_load(sums, string_member(service, "name"),
					 string_member(r, "region"));

		if (!l)
			return;
		l->capacity = integer_member(r, "capacity");
		l->held += integer_member(r, "held");
		l->used += integer_member(r, "used");
	}
}

/* With the manifest as source: the VM's part in reading the store, and the age
 * of its copy. */
static void print_reading(const json_t *reading)
{
	if (!json_is_object(reading))
		return;
	printf(" %s%s copy %lld ms", string_member(reading, "role"),
	       json_is_true(json_object_get(reading, "reads")) ? ", reads,"
							       : ",",
	       (long long)integer_member(reading, "copy_age_ms"));
}

/* Requests that wait at the VM for an upstream. */
static void print_queue(const json_t *vm)
{
	const json_t *queue = json_object_get(vm, "queue");
	long long timely = integer_member(queue, "timely");
	long long late = integer_member(queue, "late");

	if (timely || late)
		printf(" queue %lld timely, %lld late", timely, late);
}

static void print_vm(const json_t *vm)
{
	printf("%-12s %-11s %-10s %-12s revision %-8lld store %s",
	       string_member(vm, "vm"), string_member(vm, "state"),
	       string_member(vm, "region"), string_member(vm, "domain"),
	       (long long)integer_member(vm, "revision"),
	       string_member(vm, "store"));
	print_reading(json_object_get(vm, "store_reading"));
	print_queue(vm);
	printf("\n");
}

static void print_shift(const json_t *service)
{
	const json_t *shift = json_object_get(service, "shift");

	if (!json_is_object(shift))
		return;
	printf("shift   %-12s %s to %s, %s, share %lld of cap %lld permille\n",
	       string_member(service, "name"), string_member(shift, "from"),
	       string_member(shift, "to"), string_member(shift, "direction"),
	       (long long)integer_member(shift, "share"),
	       (long long)integer_member(shift, "cap"));
}

static void print_upstreams(const json_t *service)
{
	json_t *list = json_object_get(service, "upstreams");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *u = json_array_get(list, i);

		printf("upstream %-11s %-22s %-10s %s\n",
		       string_member(service, "name"),
		       string_member(u, "address"), string_member(u, "region"),
		       string_member(u, "state"));
	}
}

static void print_services(const json_t *vm)
{
	json_t *list = json_object_get(vm, "services");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *s = json_array_get(list, i);

		printf("service %-12s version %lld\n", string_member(s, "name"),
		       (long long)integer_member(s, "version"));
		print_shift(s);
		print_upstreams(s);
	}
}

static void add_vm_load(struct load_totals *sums, const json_t *vm)
{
	json_t *list = json_object_get(vm, "services");

	for (size_t i = 0; i < json_array_size(list); i++)
		add_service_load(sums, json_array_get(list, i));
}

static void print_loads(const struct load_totals *sums)
{
	for (int i = 0; i < sums->nload; i++) {
		const struct region_load *l = &sums->load[i];

		printf("region  %-12s %-10s used %lld, held %lld, capacity "
		       "%lld\n",
		       l->service, l->region, (long long)l->used,
		       (long long)l->held, (long long)l->capacity);
	}
}

static json_t *fetch_vm_status(struct command *c, const char *address)
{
	char *text;
	json_t *status;

	if (command_fetch_page(c, address, "/-/status", &text))
		return NULL;
	status = json_loads(text, 0, NULL);
	if (!status)
		prl_error_set(&c->err, PRL_E_PROTOCOL,
			      "the status page of \"%s\" is not JSON: %.80s",
			      address, text);
	return status;
}

/* Fetches the status of every member that the VM at the address knows of, as an
 * array. A member that can't be reached gets the state "no answer". Returns
 * NULL if the first VM can't be reached. */
static json_t *fetch_fleet_status(struct command *c, const char *address)
{
	json_t *first = fetch_vm_status(c, address);
	json_t *all = json_array();
	json_t *members;

	if (!first) {
		json_decref(all);
		return NULL;
	}
	members = json_object_get(first, "members");
	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *m = json_array_get(members, i);
		json_t *vm;

		if (!strcmp(string_member(m, "name"),
			    string_member(first, "vm")))
			vm = json_incref(first);
		else
			vm = fetch_vm_status(c, string_member(m, "http"));

		if (!vm)
			vm = json_pack("{s:s, s:s, s:s, s:s}", "vm",
				       string_member(m, "name"), "state",
				       "no answer", "region",
				       string_member(m, "region"), "domain",
				       string_member(m, "domain"));
		json_array_append_new(all, vm);
	}
	json_decref(first);
	return all;
}

static void print_text(const json_t *all)
{
	static struct load_totals sums;

	for (size_t i = 0; i < json_array_size(all); i++) {
		print_vm(json_array_get(all, i));
		add_vm_load(&sums, json_array_get(all, i));
	}
	print_services(json_array_get(all, 0));
	print_loads(&sums);
}

int command_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *vm =
		arg_str1(NULL, "vm", "ADDRESS", "HTTP address of any entry VM");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, json, vm, end};
	struct command c = {0};
	json_t *all;
	int status;

	if (!command_parse_options(
		    argc, argv, table,
		    "Shows the configuration in force on each VM, the "
		    "upstreams and their state, shifts in\nprogress, and "
		    "the load and capacity of each region.",
		    &status))
		return status;
	if (command_init(&c, NULL))
		return command_report_error(&c.err);
	all = fetch_fleet_status(&c, vm->sval[0]);
	if (!all)
		status = command_report_error(&c.err);
	else if (json->count)
		json_dumpf(all, stdout, JSON_INDENT(1));
	else
		print_text(all);
	json_decref(all);
	command_finish(&c);
	arg_freetable(table, 4);
	return status;
}
