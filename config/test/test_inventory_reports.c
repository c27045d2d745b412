#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "inventory_fixture.h"
#include <apr_general.h>
#include <cmocka.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <string.h>

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

int main(void)
{
	const struct CMUnitTest tests[] = {
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
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
