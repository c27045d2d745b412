#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_general.h>
#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/inventory.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VMS 4

static struct inventory inv;
static struct config_builder builder;
static struct steer_vm vm[VMS];

static void install_manifest(int64_t version, enum prl_code want)
{
	struct fleet_manifest m = {
		.version = version, .nroute = 2, .nservice = 1};

	m.route = calloc(2, sizeof(*m.route));
	m.service = calloc(1, sizeof(*m.service));
	strcpy(m.service[0].name, "s");
	m.service[0].cold_start_ms = 3000;
	m.service[0].cold_rate_milli = 6000;
	strcpy(m.route[0].name, "short");
	strcpy(m.route[0].host, "h");
	strcpy(m.route[0].prefix, "/a/");
	strcpy(m.route[1].name, "long");
	strcpy(m.route[1].host, "h");
	strcpy(m.route[1].prefix, "/a/b/");
	assert_int_equal(inventory_install_manifest(&inv, &m, NULL), want);
}

static struct fleet_upstream make_entry(const char *instance,
					const char *domain, int64_t started_ms,
					int64_t sequence)
{
	struct fleet_upstream u = {
		.slots = 6, .started_ms = started_ms, .sequence = sequence};

	strcpy(u.instance, instance);
	strcpy(u.service, "s");
	strcpy(u.domain, domain);
	strcpy(u.address, "10.0.0.1:80");
	return u;
}

static void update_upstream(const char *instance, const char *domain,
			    int64_t started_ms, int64_t sequence, int64_t now)
{
	struct fleet_upstream u =
		make_entry(instance, domain, started_ms, sequence);

	assert_int_equal(inventory_update_upstream(&inv, &u, now, NULL),
			 PRL_OK);
}

static int setup(void **state)
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

static int teardown(void **state)
{
	(void)state;
	inventory_finish(&inv);
	config_builder_finish(&builder);
	return 0;
}

static int64_t now_ms;

static struct steer_view *build_view(int self)
{
	return inventory_build_view(&inv, &builder, vm, VMS, vm[self].id,
				    now_ms);
}

static int count_upstreams(void)
{
	struct steer_view *v = build_view(0);
	int n = v->service[0]->nupstream;

	config_view_release(v);
	return n;
}

/* A view that is built before the manifest and the list of upstreams are
 * complete would make the VM refuse requests that it could serve. */
static void test_no_view_before_all_is_known(void **state)
{
	(void)state;
	assert_null(build_view(0));
	install_manifest(3, PRL_OK);
	assert_null(build_view(0));
	inv.list_complete = 1;
	assert_int_equal(count_upstreams(), 0);
}

/* An older manifest, or the same one again, must not replace the one in
 * force. */
static void test_manifest_never_reverts(void **state)
{
	(void)state;
	install_manifest(7, PRL_OK);
	install_manifest(5, PRL_E_STALE);
	install_manifest(7, PRL_E_STALE);
	assert_int_equal(inv.manifest.version, 7);
	install_manifest(9, PRL_OK);
	assert_int_equal(inv.manifest.version, 9);
}

static void test_removed_entry_is_gone(void **state)
{
	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 1, 1, 1000);
	update_upstream("i2", "n-a", 1, 1, 1000);
	inv.list_complete = 1;
	assert_int_equal(count_upstreams(), 2);
	assert_int_equal(inventory_schedule_removal(&inv, "i2", 2000), 1);
	assert_int_equal(inventory_remove_expired(&inv, 2000), 1);
	assert_int_equal(count_upstreams(), 1);
}

/* An entry may expire while the store is down and be registered again
 * afterwards, so its upstream stays usable until the removal time. */
static void test_lapsed_entry_is_kept_for_a_while(void **state)
{
	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 1, 1, 1000);
	update_upstream("i2", "n-a", 1, 1, 1000);
	inv.list_complete = 1;
	assert_int_equal(inventory_schedule_removal(&inv, "i2", 11000), 1);
	assert_int_equal(count_upstreams(), 2);
	assert_int_equal(inventory_remove_expired(&inv, 10999), 0);
	update_upstream("i2", "n-a", 1, 2, 10999);
	assert_int_equal(inventory_remove_expired(&inv, 20000), 0);
	assert_int_equal(count_upstreams(), 2);
	assert_int_equal(inventory_schedule_removal(&inv, "i2", 21000), 1);
	assert_int_equal(inventory_remove_expired(&inv, 21000), 1);
	assert_int_equal(count_upstreams(), 1);
	assert_int_equal(inventory_schedule_removal(&inv, "i9", 21000), 0);
}

/* An entry that is delivered late must not replace a newer entry, be it of the
 * same start of the upstream or of a later one. */
static void test_older_entries_count_nothing(void **state)
{
	struct fleet_upstream u;

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 50, 8, 0);
	inv.list_complete = 1;
	u = make_entry("i1", "n-a", 50, 7);
	u.leaving = 1;
	assert_int_equal(inventory_update_upstream(&inv, &u, 0, NULL),
			 PRL_E_STALE);
	u = make_entry("i1", "n-a", 40, 100);
	u.leaving = 1;
	assert_int_equal(inventory_update_upstream(&inv, &u, 0, NULL),
			 PRL_E_STALE);
	assert_int_equal(count_upstreams(), 1);
	/* A later start of the same instance begins a new sequence. */
	u = make_entry("i1", "n-a", 60, 1);
	u.leaving = 1;
	assert_int_equal(inventory_update_upstream(&inv, &u, 0, NULL), PRL_OK);
	assert_int_equal(count_upstreams(), 0);
}

/* The counters of an upstream's previous start, such as its failures, must not
 * be carried over to the next start of the same instance. */
static void test_new_start_has_counters_of_its_own(void **state)
{
	struct steer_view *v;
	uint64_t id;
	int index;

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 50, 8, 0);
	inv.list_complete = 1;
	v = build_view(0);
	index = v->service[0]->upstream[0].stats_index;
	id = v->service[0]->upstream[0].id;
	config_view_release(v);
	update_upstream("i1", "n-a", 60, 1, 100);
	v = build_view(0);
	assert_int_not_equal(v->service[0]->upstream[0].stats_index, index);
	assert_true(v->service[0]->upstream[0].id != id);
	/* A new start makes the upstream cold. */
	assert_int_equal(v->service[0]->upstream[0].cold_until_ms, 3100);
	config_view_release(v);
}

/* Upstreams of an evacuated failure domain must not be used, and must be
 * treated as cold when the domain comes back. */
static void test_evacuation(void **state)
{
	struct steer_view *v;

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 1, 1, 0);
	update_upstream("i2", "s-a", 1, 1, 0);
	inv.list_complete = 1;
	inventory_set_evacuated(&inv, "n-a", 1, 1000);
	assert_int_equal(count_upstreams(), 1);
	inventory_set_evacuated(&inv, "n-a", 0, 5000);
	assert_int_equal(count_upstreams(), 2);
	v = build_view(0);
	for (int i = 0; i < 2; i++)
		if (!strcmp(v->service[0]->upstream[i].instance, "i1"))
			assert_int_equal(
				v->service[0]->upstream[i].cold_until_ms, 8000);
	config_view_release(v);
}

/* The rates of all VMs add up to a cold upstream's limit, and exactly one VM is
 * its health checker, also after its region has lost VMs or all of them. */
static void test_cold_rate_is_divided(void **state)
{
	(void)state;
	install_manifest(3, PRL_OK);
	for (int i = 0; i < 20; i++) {
		char name[16];

		snprintf(name, sizeof(name), "i%d", i);
		update_upstream(name, i % 2 ? "n-b" : "s-a", 1, 1, 0);
	}
	inv.list_complete = 1;
	for (int lost = 0; lost < 3; lost++) {
		int64_t sum[20] = {0};
		int checkers[20] = {0};

		for (int i = 0; i < lost; i++)
			vm[i].state = STEER_GONE;
		for (int self = lost; self < VMS; self++) {
			struct steer_view *v = build_view(self);

			for (int i = 0; i < 20; i++) {
				sum[i] += v->service[0]
						  ->upstream[i]
						  .cold_rate_milli;
				checkers[i] += v->service[0]
						       ->upstream[i]
						       .is_health_checker;
			}
			config_view_release(v);
		}
		for (int i = 0; i < 20; i++) {
			assert_int_equal(sum[i], 6000);
			assert_int_equal(checkers[i], 1);
		}
	}
}

static struct inventory_upstream_key key_of_first(void)
{
	struct steer_view *v = build_view(0);
	struct inventory_upstream_key key = {"i1",
					     v->service[0]->upstream[0].id};

	config_view_release(v);
	return key;
}

static int report_limit(int64_t limit_milli, int64_t sent_ms, int64_t now)
{
	struct inventory_upstream_key key = key_of_first();

	return inventory_report_limit(&inv, &key, limit_milli, sent_ms, now);
}

static int64_t limited_until_ms(void)
{
	struct steer_view *v = build_view(0);
	int64_t until = v->service[0]->upstream[0].limited_until_ms;

	config_view_release(v);
	return until;
}

/* The parts of all VMs add up to the limit that an upstream names, also after
 * its region has lost VMs or all of them, and two VMs at most have one. */
/* The pace of cold upstreams and their health checks must not stay with VMs
 * that do not reach the service; the others divide the whole. */
static void test_isolated_vm_paces_cold_upstreams(void **state)
{
	const uint64_t service = prl_hash_string("s");
	int64_t sum = 0;
	int checkers = 0;

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-b", 1, 1, 0);
	inv.list_complete = 1;
	/* All VMs of the upstream's region, then all of the fleet. */
	for (int all = 0; all < 2; all++) {
		sum = 0;
		checkers = 0;
		for (int i = 0; i < VMS; i++) {
			int isolated = all || vm[i].region == vm[0].region;

			vm[i].isolated[0] = service;
			vm[i].nisolated = isolated;
		}
		for (int self = 0; self < VMS; self++) {
			struct steer_view *v = build_view(self);
			const struct steer_upstream *u =
				&v->service[0]->upstream[0];

			if (!all && vm[self].nisolated) {
				assert_int_equal(u->cold_rate_milli, 0);
				assert_int_equal(u->is_health_checker, 0);
			}
			sum += u->cold_rate_milli;
			checkers += u->is_health_checker;
			config_view_release(v);
		}
		assert_int_equal(sum, 6000);
		assert_int_equal(checkers, 1);
	}
}

static void test_rate_limit_is_divided(void **state)
{
	struct steer_view *v;

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "s-a", 1, 1, 0);
	inv.list_complete = 1;
	assert_int_equal(report_limit(2700, 900, 1000), 1);
	assert_int_equal(report_limit(2700, 1900, 2000), 0);
	v = build_view(0);
	assert_int_equal(v->service[0]->upstream[0].limit_resumes_ms, 4000);
	config_view_release(v);
	for (int lost = 0; lost < 3; lost++) {
		int64_t sum = 0;
		int senders = 0;

		for (int i = 0; i < lost; i++)
			vm[i].state = STEER_GONE;
		for (int self = lost; self < VMS; self++) {
			int64_t part;

			v = build_view(self);
			part = v->service[0]->upstream[0].limit_part_milli;
			sum += part;
			senders += part > 0;
			config_view_release(v);
		}
		assert_int_equal(sum, 2700);
		assert_in_range(senders, 1, 2);
	}
}

/* A limit ends with a response that names none, to a request that was sent
 * after the limit was last named; an earlier one may have been overtaken. */
static void test_response_from_before_the_limit_does_not_end_it(void **state)
{
	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 1, 1, 0);
	inv.list_complete = 1;
	assert_int_equal(report_limit(2700, 900, 1000), 1);
	assert_int_equal(report_limit(-1, 999, 1100), 0);
	assert_int_equal(limited_until_ms(), 21000);
	assert_int_equal(report_limit(2700, 1500, 2000), 0);
	assert_int_equal(limited_until_ms(), 22000);
	assert_int_equal(report_limit(-1, 2000, 2100), 1);
	assert_int_equal(limited_until_ms(), 0);
	assert_int_equal(report_limit(-1, 2500, 2600), 0);
}

/* A limit is of one start of an upstream. */
static void test_new_start_has_no_rate_limit(void **state)
{
	struct inventory_upstream_key of_another = {"i1", 1};

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 50, 1, 0);
	inv.list_complete = 1;
	assert_int_equal(
		inventory_report_limit(&inv, &of_another, 500, 900, 1000), 0);
	assert_int_equal(report_limit(2700, 900, 1000), 1);
	update_upstream("i1", "n-a", 50, 2, 1500);
	assert_int_equal(limited_until_ms(), 21000);
	update_upstream("i1", "n-a", 60, 1, 2000);
	assert_int_equal(limited_until_ms(), 0);
}

/* An upstream that said that it leaves, or wants no requests for a while, is as
 * before once it is started again, and not with another entry. */
static void test_only_a_new_start_takes_leaving_back(void **state)
{
	struct inventory_upstream_key key;
	struct steer_view *v;

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 50, 1, 0);
	inv.list_complete = 1;
	key = key_of_first();
	assert_int_equal(inventory_report_closed(&inv, &key, 9000), 1);
	assert_int_equal(inventory_report_closed(&inv, &key, 8000), 0);
	v = build_view(0);
	assert_int_equal(v->service[0]->upstream[0].closed_until_ms, 9000);
	config_view_release(v);
	assert_int_equal(inventory_report_leaving(&inv, &key), 1);
	assert_int_equal(inventory_report_leaving(&inv, &key), 0);
	assert_int_equal(count_upstreams(), 0);
	update_upstream("i1", "n-a", 50, 2, 1000);
	assert_int_equal(count_upstreams(), 0);
	update_upstream("i1", "n-a", 60, 1, 2000);
	assert_int_equal(count_upstreams(), 1);
	v = build_view(0);
	assert_int_equal(v->service[0]->upstream[0].closed_until_ms, 0);
	config_view_release(v);
	assert_int_equal(inventory_report_leaving(&inv, &key), 0);
}

/* An upstream is paused when it is found to be cold; a further report while it
 * is known to be cold extends the cold time but not the pause. */
static void test_found_cold_rests(void **state)
{
	struct steer_view *v;

	(void)state;
	install_manifest(3, PRL_OK);
	update_upstream("i1", "n-a", 1, 1, 0);
	inv.list_complete = 1;
	assert_int_equal(inventory_report_cold(&inv, "i2", 9000, 5000), 0);
	assert_int_equal(inventory_report_cold(&inv, "i1", 9000, 5000), 1);
	assert_int_equal(inventory_report_cold(&inv, "i1", 9000, 5010), 0);
	assert_int_equal(inventory_report_cold(&inv, "i1", 9020, 5500), 1);
	v = build_view(0);
	assert_int_equal(v->service[0]->upstream[0].cold_until_ms, 9020);
	assert_int_equal(v->service[0]->upstream[0].paused_until_ms, 5800);
	config_view_release(v);
}

static int64_t paused_until_ms(const struct steer_view *v, const char *instance)
{
	const struct steer_service *s = v->service[0];

	for (int i = 0; i < s->nupstream; i++)
		if (!strcmp(s->upstream[i].instance, instance))
			return s->upstream[i].paused_until_ms;
	fail_msg("upstream \"%s\" is not in the view", instance);
	return 0;
}

/* Adds three upstreams in one failure domain. */
static void add_domain_upstreams(void)
{
	install_manifest(3, PRL_OK);
	inv.list_complete = 1;
	update_upstream("i1", "n-a", 1, 1, 0);
	update_upstream("i2", "n-a", 1, 1, 0);
	update_upstream("i3", "n-a", 1, 1, 0);
}

/* When an upstream is found to be cold, the warm upstreams of its failure
 * domain are paused until they can have answered a probe. Upstreams that are
 * known to be cold, and those of other domains, are not. */
static void test_others_of_a_cold_domain_rest(void **state)
{
	struct steer_view *v;

	(void)state;
	add_domain_upstreams();
	update_upstream("i4", "n-b", 1, 1, 0);
	assert_int_equal(inventory_report_cold(&inv, "i3", 30000, 4000), 1);
	assert_int_equal(inventory_report_cold(&inv, "i1", 20000, 14000), 1);
	v = build_view(0);
	assert_int_equal(paused_until_ms(v, "i1"), 14800);
	assert_int_equal(paused_until_ms(v, "i2"), 15300);
	assert_int_equal(paused_until_ms(v, "i3"), 4800);
	assert_int_equal(paused_until_ms(v, "i4"), 0);
	config_view_release(v);
}

/* A rolling restart must not keep the whole failure domain paused. */
static void test_domain_rests_once_in_a_while(void **state)
{
	struct steer_view *v;

	(void)state;
	add_domain_upstreams();
	assert_int_equal(inventory_report_cold(&inv, "i1", 9000, 5000), 1);
	assert_int_equal(inventory_report_cold(&inv, "i2", 12000, 8000), 1);
	v = build_view(0);
	assert_int_equal(paused_until_ms(v, "i3"), 6300);
	config_view_release(v);
}

/* Each start of an upstream takes an index. The table must not run out of
 * indexes after many starts, nor reuse one within ten minutes of its last
 * use. */
static void test_counters_are_given_back(void **state)
{
	static int64_t used_ms[CONFIG_INDEXES_MAX];
	char name[24];

	(void)state;
	install_manifest(3, PRL_OK);
	inv.list_complete = 1;
	for (int i = 1; i <= 3 * CONFIG_INDEXES_MAX; i++) {
		struct steer_view *v;
		int index;

		now_ms = (int64_t)i * 1000;
		snprintf(name, sizeof(name), "i%d", i);
		update_upstream(name, "n-a", 1, 1, 0);
		v = build_view(0);
		assert_int_equal(v->service[0]->nupstream, 1);
		index = v->service[0]->upstream[0].stats_index;
		assert_in_range(index, 0, CONFIG_INDEXES_MAX - 1);
		if (used_ms[index])
			assert_true(now_ms - used_ms[index] >= 600000);
		used_ms[index] = now_ms;
		config_view_release(v);
		inventory_schedule_removal(&inv, name, now_ms);
		inventory_remove_expired(&inv, now_ms);
	}
	now_ms = 0;
}

/* The store returns from a copy: the entry of an upstream that has left, and
 * has been removed since, is there again. */
static void test_left_upstream_in_a_copy_is_not_used(void **state)
{
	(void)state;
	install_manifest(3, PRL_OK);
	inv.list_complete = 1;
	update_upstream("i1", "n-a", 50, 8, 0);
	inventory_schedule_removal(&inv, "i1", 1000);
	inventory_remove_expired(&inv, 1000);
	for (int sequence = 7; sequence <= 8; sequence++) {
		struct fleet_upstream u = make_entry("i1", "n-a", 50, sequence);

		assert_int_equal(
			inventory_update_upstream(&inv, &u, 2000, NULL),
			PRL_E_STALE);
	}
	assert_int_equal(count_upstreams(), 0);
	/* The upstream writes again, or is started again. */
	update_upstream("i1", "n-a", 50, 9, 3000);
	assert_int_equal(count_upstreams(), 1);
}

/* An entry that is read again, after a list or a return from a copy, must not
 * make its upstream cold from then on. */
static void test_entry_read_again_is_not_cold_again(void **state)
{
	struct fleet_upstream u = make_entry("i1", "n-a", 50, 8);
	struct steer_view *v;

	(void)state;
	install_manifest(3, PRL_OK);
	u.cold_time_left_ms = 3000;
	assert_int_equal(inventory_update_upstream(&inv, &u, 1000, NULL),
			 PRL_OK);
	inv.list_complete = 1;
	assert_int_equal(inventory_update_upstream(&inv, &u, 9000, NULL),
			 PRL_OK);
	v = build_view(0);
	assert_int_equal(v->service[0]->upstream[0].cold_until_ms, 4000);
	config_view_release(v);
}

/* An evacuation that a copy lacks goes on until its object can have been
 * written again. */
static void test_evacuation_goes_on_after_return_from_copy(void **state)
{
	(void)state;
	install_manifest(3, PRL_OK);
	inv.list_complete = 1;
	update_upstream("i1", "n-a", 1, 1, 0);
	inventory_set_evacuated(&inv, "n-a", 1, 1000);
	inventory_schedule_evacuation_end(&inv, "n-a", 3000);
	inventory_remove_expired(&inv, 2999);
	assert_int_equal(count_upstreams(), 0);
	inventory_set_evacuated(&inv, "n-a", 1, 2999);
	inventory_remove_expired(&inv, 3000);
	assert_int_equal(count_upstreams(), 0);
	inventory_schedule_evacuation_end(&inv, "n-a", 5000);
	assert_int_equal(inventory_remove_expired(&inv, 5000), 1);
	assert_int_equal(count_upstreams(), 1);
}

static void test_longest_prefix_comes_first(void **state)
{
	struct steer_view *v;

	(void)state;
	install_manifest(3, PRL_OK);
	inv.list_complete = 1;
	v = build_view(0);
	assert_string_equal(v->route[0].prefix, "/a/b/");
	assert_string_equal(steer_find_route(v, "h", "/a/x")->prefix, "/a/");
	config_view_release(v);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_no_view_before_all_is_known, setup, teardown),
		cmocka_unit_test_setup_teardown(test_manifest_never_reverts,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_removed_entry_is_gone,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_lapsed_entry_is_kept_for_a_while, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_older_entries_count_nothing, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_new_start_has_counters_of_its_own, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_evacuation, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_cold_rate_is_divided,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_isolated_vm_paces_cold_upstreams, setup, teardown),
		cmocka_unit_test_setup_teardown(test_rate_limit_is_divided,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_response_from_before_the_limit_does_not_end_it,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_new_start_has_no_rate_limit, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_only_a_new_start_takes_leaving_back, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_found_cold_rests, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			test_others_of_a_cold_domain_rest, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_domain_rests_once_in_a_while, setup, teardown),
		cmocka_unit_test_setup_teardown(test_counters_are_given_back,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_left_upstream_in_a_copy_is_not_used, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_entry_read_again_is_not_cold_again, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_evacuation_goes_on_after_return_from_copy, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_longest_prefix_comes_first,
						setup, teardown),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
