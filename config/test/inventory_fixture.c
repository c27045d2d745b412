#include "inventory_fixture.h"
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/hash.h>
#include <stdlib.h>
#include <string.h>

struct inventory inv;
struct config_builder builder;
struct steer_vm vm[VMS];
int64_t now_ms;

void install_manifest(int64_t version, enum prl_code want)
{
	struct fleet_manifest m = {
		.version = version, .nroute = 2, .nservice = 1};

	m.route = calloc(2, sizeof(*m.route));
	m.service = calloc(1, sizeof(*m.service));
	m.service[0].name = strdup("s");
	m.service[0].cold_start_ms = 3000;
	m.service[0].cold_rate_milli = 6000;
	m.route[0].name = strdup("short");
	m.route[0].host = strdup("h");
	m.route[0].prefix = strdup("/a/");
	m.route[1].name = strdup("long");
	m.route[1].host = strdup("h");
	m.route[1].prefix = strdup("/a/b/");
	assert_int_equal(inventory_install_manifest(&inv, &m, NULL), want);
}

struct fleet_upstream make_entry(const char *instance, const char *domain,
				 int64_t started_ms, int64_t sequence)
{
	struct fleet_upstream u = {
		.slots = 6, .started_ms = started_ms, .sequence = sequence};

	strcpy(u.instance, instance);
	strcpy(u.service, "s");
	strcpy(u.domain, domain);
	strcpy(u.address, "10.0.0.1:80");
	return u;
}

void update_upstream(const char *instance, const char *domain,
		     int64_t started_ms, int64_t sequence, int64_t now)
{
	struct fleet_upstream u =
		make_entry(instance, domain, started_ms, sequence);

	assert_int_equal(inventory_update_upstream(&inv, &u, now, NULL),
			 PRL_OK);
}

int setup(void **state)
{
	(void)state;
	inventory_init(&inv);
	config_builder_init(&builder);
	inventory_set_domain_region(&inv, "n-a", "n");
	inventory_set_domain_region(&inv, "n-b", "n");
	inventory_set_domain_region(&inv, "s-a", "s");
	config_region_index(&builder, "n");
	config_region_index(&builder, "s");
	memset(vm, 0, sizeof(vm));
	for (int i = 0; i < VMS; i++) {
		vm[i].id = prl_hash_combine(3, (uint64_t)i);
		vm[i].region = i / 2;
	}
	return 0;
}

int teardown(void **state)
{
	(void)state;
	inventory_finish(&inv);
	config_builder_finish(&builder);
	return 0;
}

struct steer_view *build_view(int self)
{
	return inventory_build_view(&inv, &builder, vm, VMS, vm[self].id,
				    now_ms);
}

int count_upstreams(void)
{
	struct steer_view *v = build_view(0);
	int n = v->service[0]->nupstream;

	config_view_release(v);
	return n;
}
