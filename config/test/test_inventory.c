#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "inventory_fixture.h"
#include <apr_general.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

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
