/* Responses that end, or begin again, at any byte, on the way from an upstream
 * and from another VM. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "faults.h"
#include <cmocka.h>

/* Another VM that is full has the last word; other refusals lead to the next
 * one. */
static int expected_status(const struct response_kind *k, enum fixture_hop to)
{
	return to == FIXTURE_PEER && !k->runs && k->status == 503
		       ? 503
		       : k->caller_status;
}

/* A proxy that rejected everything would pass all other cases. */
static void expect_whole_is_passed(enum fixture_hop to)
{
	fault_begin(to);
	for (int i = 0; i < response_nkind; i++) {
		struct caller_response r;
		int expected = expected_status(&response_kinds[i], to);

		fault_plan(&response_kinds[i]);
		r = fault_request("/once/a", fault.id);
		assert_true(scripted_count_arrivals(fault.id) > 0);
		if (response_kinds[i].caller_status != RESPONSE_ANY_STATUS &&
		    r.status != expected)
			fault_report("/once/a", fault.id, "not passed on", &r);
		fault_expect_next_served();
	}
	fault_finish();
}

static void test_whole_response_is_not_passed_on(void **state)
{
	(void)state;
	expect_whole_is_passed(FIXTURE_UPSTREAM);
	expect_whole_is_passed(FIXTURE_PEER);
}

static void cut(const struct response_kind *k, size_t len,
		enum scripted_end end, const char *path)
{
	fault_plan(k);
	fault.len = len;
	fault.end = end;
	fault_request(path, fault.id);
	fault_expect_next_served();
}

static void cut_at_every_byte(enum fixture_hop to)
{
	fault_begin(to);
	for (int i = 0; i < response_nkind; i++)
		for (size_t n = 0; fault_may_go_on(&response_kinds[i], n);
		     n++) {
			cut(&response_kinds[i], n, SCRIPTED_CLOSE, "/once/a");
			cut(&response_kinds[i], n, SCRIPTED_RESET, "/once/a");
			cut(&response_kinds[i], n, SCRIPTED_CLOSE, "/safe/a");
		}
	fault_finish();
}

static void test_response_of_an_upstream_that_ends_early_is_passed_on(void **s)
{
	(void)s;
	cut_at_every_byte(FIXTURE_UPSTREAM);
}

static void test_response_of_a_vm_that_ends_early_is_passed_on(void **state)
{
	(void)state;
	cut_at_every_byte(FIXTURE_PEER);
}

static void cut_early_at_every_byte(enum fixture_hop to)
{
	fault_begin(to);
	for (int i = 0; i < response_nkind; i++)
		for (size_t n = 1; fault_may_go_on(&response_kinds[i], n);
		     n++) {
			enum scripted_end end = SCRIPTED_CLOSE;

			fault_plan(&response_kinds[i]);
			if (n % 2)
				end = SCRIPTED_RESET;
			if (n < fault.len)
				fault.end = end;
			fault.len = n;
			fault.is_early = 1;
			fault_request("/once/a", fault.id);
			fault_expect_next_served();
		}
	fault_finish();
}

static void test_early_response_that_ends_early_is_passed_on(void **state)
{
	(void)state;
	cut_early_at_every_byte(FIXTURE_UPSTREAM);
	cut_early_at_every_byte(FIXTURE_PEER);
}

/* The next request follows at once, so that the bytes arrive before it, while
 * it is sent, or after it. */
static void repeat(const struct response_kind *k, size_t at, size_t len,
		   int when)
{
	char id[SCRIPTED_ID_MAX];

	fault_plan(k);
	fault.surplus = when;
	fault.surplus_at = at;
	fault.surplus_len = len;
	fault_request("/once/a", fault.id);
	fault_new_id(id);
	fault_request("/once/b", id);
	fault_expect_next_served();
}

static void repeat_at_every_byte(enum fixture_hop to, int when)
{
	fault_begin(to);
	for (int i = 0; i < response_nkind; i++) {
		size_t len = fault_length(&response_kinds[i]);

		if (response_kinds[i].ends_with_connection ||
		    response_kinds[i].is_head_request)
			continue;
		for (size_t n = 1; fault_may_go_on(&response_kinds[i], n);
		     n++) {
			repeat(&response_kinds[i], 0, n, when);
			repeat(&response_kinds[i], len - n, n, when);
		}
	}
	fault_finish();
}

static void test_surplus_bytes_answer_the_next_request(void **state)
{
	(void)state;
	repeat_at_every_byte(FIXTURE_UPSTREAM, FAULT_AT_ONCE);
	repeat_at_every_byte(FIXTURE_PEER, FAULT_AT_ONCE);
}

static void test_late_bytes_answer_the_next_request(void **state)
{
	(void)state;
	repeat_at_every_byte(FIXTURE_UPSTREAM, FAULT_LATE);
}

static void test_earlier_response_answers_the_next_request(void **state)
{
	(void)state;
	repeat_at_every_byte(FIXTURE_UPSTREAM, FAULT_WITH_NEXT);
	repeat_at_every_byte(FIXTURE_PEER, FAULT_WITH_NEXT);
}

/* The first part of a copy comes with the response, the rest later: what was
 * read along with the response is gone when the rest is read. */
static void test_bytes_in_two_parts_answer_the_next_request(void **state)
{
	(void)state;
	fault_begin(FIXTURE_UPSTREAM);
	for (int i = 0; i < response_nkind; i++) {
		size_t len = fault_length(&response_kinds[i]);

		if (response_kinds[i].ends_with_connection ||
		    response_kinds[i].is_head_request)
			continue;
		for (size_t n = 1; fault_may_go_on(&response_kinds[i], n + 1);
		     n++) {
			char id[SCRIPTED_ID_MAX];

			fault_plan(&response_kinds[i]);
			fault.surplus = FAULT_IN_TWO_PARTS;
			fault.surplus_at = n;
			fault.surplus_len = len - n;
			fault_request("/once/a", fault.id);
			fault_new_id(id);
			fault_request("/once/b", id);
			fault.surplus = FAULT_NO_SURPLUS;
			fault_expect_next_served();
		}
	}
	fault_finish();
}

/* The request itself comes again over the connection on which it was refused:
 * its id does not tell a copy of the refusal from its own response. */
static void test_refusal_sent_again_answers_the_retry(void **state)
{
	(void)state;
	fault_begin(FIXTURE_UPSTREAM);
	for (int i = 0; i < response_nkind; i++) {
		if (response_kinds[i].runs)
			continue;
		for (size_t n = 1; fault_may_go_on(&response_kinds[i], n);
		     n++) {
			fault_plan(&response_kinds[i]);
			fault.surplus = FAULT_WITH_NEXT;
			fault.surplus_len = n;
			fault_request("/once/a", fault.id);
			fault.surplus = FAULT_NO_SURPLUS;
			fault_expect_next_served();
		}
	}
	fault_finish();
}

/* A route may allow more attempts than there are upstreams left to try. */
static void test_request_that_ran_everywhere_is_told_as_not_run(void **state)
{
	(void)state;
	fault_begin(FIXTURE_UPSTREAM);
	for (int i = 0; i < response_nkind; i++)
		for (size_t n = 0; fault_may_go_on(&response_kinds[i], n);
		     n++) {
			fault_plan(&response_kinds[i]);
			fault.is_repeated = 1;
			if (n < fault.len)
				fault.end = SCRIPTED_CLOSE;
			fault.len = n;
			fault_request("/safe/a", fault.id);
			fault_expect_next_served();
		}
	fault_finish();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_response_is_not_passed_on),
		cmocka_unit_test(
			test_response_of_an_upstream_that_ends_early_is_passed_on),
		cmocka_unit_test(
			test_response_of_a_vm_that_ends_early_is_passed_on),
		cmocka_unit_test(
			test_early_response_that_ends_early_is_passed_on),
		cmocka_unit_test(test_surplus_bytes_answer_the_next_request),
		cmocka_unit_test(test_late_bytes_answer_the_next_request),
		cmocka_unit_test(
			test_earlier_response_answers_the_next_request),
		cmocka_unit_test(
			test_bytes_in_two_parts_answer_the_next_request),
		cmocka_unit_test(
			test_request_that_ran_everywhere_is_told_as_not_run),
		cmocka_unit_test(test_refusal_sent_again_answers_the_retry),
	};

	return cmocka_run_group_tests(tests, fault_setup, fault_teardown);
}
