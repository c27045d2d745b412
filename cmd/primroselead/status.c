#include "command.h"
#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Load of one region, summed over all VMs. */
struct region_load {
	const char *service;
	const char *region;
	json_int_t capacity;
	json_int_t held;
	json_int_t used;
};

/* Sums over the VMs' status texts. */
struct sums {
	struct region_load load[512];
	int nload;
};

static const char *text_of(const json_t *o, const char *key)
{
	const char *s = json_string_value(json_object_get(o, key));

	return s ? s : "";
}

static json_int_t number_of(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static struct region_load *find_load(struct sums *s, const char *service,
				     const char *region)
{
	for (int i = 0; i < s->nload; i++)
		if (!strcmp(s->load[i].service, service) &&
		    !strcmp(s->load[i].region, region))
			return &s->load[i];
	if (s->nload == (int)(sizeof(s->load) / sizeof(s->load[0])))
		return NULL;
	s->load[s->nload] =
		(struct region_load){.service = service, .region = region};
	return &s->load[s->nload++];
}

static void add_regions(struct sums *sums, const json_t *service)
{
	json_t *list = json_object_get(service, "regions");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *r = json_array_get(list, i);
		struct region_load *l = find_load(
			sums, text_of(service, "name"), text_of(r, "region"));

		if (!l)
			return;
		l->capacity = number_of(r, "capacity");
		l->held += number_of(r, "held");
		l->used += number_of(r, "used");
	}
}

static void print_vm(const json_t *vm)
{
	printf("%-12s %-11s %-10s %-12s revision %-8lld store %s\n",
	       text_of(vm, "vm"), text_of(vm, "state"), text_of(vm, "region"),
	       text_of(vm, "domain"), (long long)number_of(vm, "revision"),
	       text_of(vm, "store"));
}

static void print_shift(const json_t *service)
{
	const json_t *h = json_object_get(service, "shift");

	if (!json_is_object(h))
		return;
	printf("shift   %-12s %s to %s, %s, share %lld of cap %lld permille\n",
	       text_of(service, "name"), text_of(h, "from"), text_of(h, "to"),
	       text_of(h, "direction"), (long long)number_of(h, "share"),
	       (long long)number_of(h, "cap"));
}

static void print_upstreams(const json_t *service)
{
	json_t *list = json_object_get(service, "upstreams");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *u = json_array_get(list, i);

		printf("upstream %-11s %-22s %-10s %s\n",
		       text_of(service, "name"), text_of(u, "address"),
		       text_of(u, "region"), text_of(u, "state"));
	}
}

static void print_services(const json_t *vm)
{
	json_t *list = json_object_get(vm, "services");

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *s = json_array_get(list, i);

		printf("service %-12s version %lld\n", text_of(s, "name"),
		       (long long)number_of(s, "version"));
		print_shift(s);
		print_upstreams(s);
	}
}

static void sum_services(struct sums *sums, const json_t *vm)
{
	json_t *list = json_object_get(vm, "services");

	for (size_t i = 0; i < json_array_size(list); i++)
		add_regions(sums, json_array_get(list, i));
}

static void print_loads(const struct sums *sums)
{
	for (int i = 0; i < sums->nload; i++) {
		const struct region_load *l = &sums->load[i];

		printf("region  %-12s %-10s used %lld, held %lld, capacity "
		       "%lld\n",
		       l->service, l->region, (long long)l->used,
		       (long long)l->held, (long long)l->capacity);
	}
}

static json_t *read_vm(struct command *c, const char *address)
{
	char *text;

	if (command_fetch(c, address, "/-/status", &text))
		return NULL;
	return json_loads(text, 0, NULL);
}

/* Every VM that the first one knows of is asked for its own status. */
static json_t *read_all(struct command *c, const char *address)
{
	json_t *first = read_vm(c, address);
	json_t *all = json_array();
	json_t *members;

	if (!first) {
		json_decref(all);
		return NULL;
	}
	members = json_object_get(first, "members");
	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *m = json_array_get(members, i);
		json_t *vm = read_vm(c, text_of(m, "http"));

		if (!vm)
			vm = json_pack("{s:s, s:s, s:s, s:s}", "vm",
				       text_of(m, "name"), "state", "no answer",
				       "region", text_of(m, "region"), "domain",
				       text_of(m, "domain"));
		json_array_append_new(all, vm);
	}
	json_decref(first);
	return all;
}

static void print_text(const json_t *all)
{
	static struct sums sums;

	for (size_t i = 0; i < json_array_size(all); i++) {
		print_vm(json_array_get(all, i));
		sum_services(&sums, json_array_get(all, i));
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

	if (!command_parse(argc, argv, table,
			   "Shows the configuration in force on each VM, the "
			   "upstreams and their state, shifts in\nprogress and "
			   "each region's load against its capacity.",
			   &status))
		return status;
	if (command_open(&c, NULL))
		return command_fail(&c.err);
	all = read_all(&c, vm->sval[0]);
	if (!all)
		status = command_fail(&c.err);
	else if (json->count)
		json_dumpf(all, stdout, JSON_INDENT(1));
	else
		print_text(all);
	json_decref(all);
	command_close(&c);
	arg_freetable(table, 4);
	return status;
}
