/* Responses of a service file's upstream that end, or begin again, at any byte;
 * from one that repeats the id of an attempt, and from one that does not. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "service_cases.h"
#include "service_fixture.h"
#include <cmocka.h>
#include <primroselead/claim.h>
#include <string.h>

static void cut(const struct service_kind *k, size_t len, enum scripted_end end,
		const char *path)
{
	service_plan(k);
	if (len < service_length(k))
		service_fault.end = end;
	service_fault.len = len;
	service_request(path, service_fault.id);
	service_expect_served("/safe/a");
}

static void cut_at_every_byte(int upstream_echoes)
{
	service_begin(upstream_echoes);
	for (int i = 0; i < service_nkind; i++)
		for (size_t n = 0; service_may_go_on(&service_kinds[i], n);
		     n++) {
			cut(&service_kinds[i], n, SCRIPTED_CLOSE, "/safe/a");
			if (service_kinds[i].is_head_request)
				continue;
			cut(&service_kinds[i], n, SCRIPTED_CLOSE, "/once/a");
			cut(&service_kinds[i], n, SCRIPTED_RESET, "/once/a");
		}
	service_finish();
}

static void test_response_that_ends_early_is_passed_on(void **state)
{
	(void)state;
	cut_at_every_byte(1);
	cut_at_every_byte(0);
	service_expect_no_failures();
}

static void repeat(const struct service_kind *k, size_t at, size_t len,
		   enum service_surplus when, const char *first,
		   const char *second)
{
	service_plan(k);
	service_fault.surplus = when;
	service_fault.surplus_at = at;
	service_fault.surplus_len = len;
	service_request(first, service_fault.id);
	service_send_next(second);
	service_fault.surplus = SERVICE_NO_SURPLUS;
	service_expect_served("/safe/a");
}

static void repeat_at_every_byte(int upstream_echoes, enum service_surplus when,
				 const char *second)
{
	service_begin(upstream_echoes);
	for (int i = 0; i < service_nkind; i++) {
		const struct service_kind *k = &service_kinds[i];
		size_t len = service_length(k);

		if (k->ends_with_connection || k->is_head_request)
			continue;
		for (size_t n = 1; service_may_go_on(k, n); n++) {
			const char *first = n % 2 ? "/safe/a" : "/once/a";

			repeat(k, 0, n, when, first, second);
			repeat(k, len - n, n, when, first, second);
		}
	}
	service_finish();
}

/* What comes before the next request is seen by its socket, whatever it is. */
static void repeat_whole(int upstream_echoes, enum service_surplus when,
			 const char *second)
{
	service_begin(upstream_echoes);
	for (int i = 0; i < service_nkind; i++) {
		const struct service_kind *k = &service_kinds[i];

		if (k->ends_with_connection || k->is_head_request)
			continue;
		for (size_t n = service_length(k); n > 0; n /= 2)
			repeat(k, 0, n, when, "/safe/a", second);
	}
	service_finish();
}

static void repeat_at_each_moment(int upstream_echoes, const char *second)
{
	repeat_whole(upstream_echoes, SERVICE_AT_ONCE, second);
	repeat_whole(upstream_echoes, SERVICE_LATE, second);
	repeat_at_every_byte(upstream_echoes, SERVICE_WITH_NEXT, second);
	service_expect_no_failures();
}

static void test_earlier_response_answers_a_request_that_runs_once(void **state)
{
	(void)state;
	repeat_at_each_moment(1, "/once/b");
}

static void test_earlier_response_answers_the_next_request(void **state)
{
	(void)state;
	repeat_at_each_moment(1, "/safe/b");
}

static void test_unnamed_response_answers_a_request_that_runs_once(void **state)
{
	(void)state;
	repeat_at_each_moment(0, "/once/b");
}

static void test_unnamed_response_refuses_the_next_request(void **state)
{
	(void)state;
	repeat_at_each_moment(0, "/safe/b");
}

/* A request that was answered is refused as well, as the next one arrives. No
 * retry hides that the refusal is taken for the next one's. */
static void refuse_at_every_byte(int upstream_echoes, const char *second)
{
	service_begin(upstream_echoes);
	for (int i = 0; i < service_nkind; i++) {
		if (service_kinds[i].runs)
			continue;
		for (size_t n = 1; service_may_go_on(&service_kinds[i], n);
		     n++) {
			service_plan(&service_kinds[0]);
			service_fault.surplus = SERVICE_WITH_NEXT;
			service_fault.surplus_kind = &service_kinds[i];
			service_fault.surplus_len = n;
			service_request("/safe/a", service_fault.id);
			service_spend_retries();
			service_send_next(second);
			service_fault.surplus = SERVICE_NO_SURPLUS;
			service_expect_served("/safe/a");
		}
	}
	service_finish();
}

static void test_refusal_of_an_earlier_request_refuses_the_next(void **state)
{
	(void)state;
	for (int named = 0; named <= 1; named++) {
		refuse_at_every_byte(named, "/safe/b");
		refuse_at_every_byte(named, "/once/b");
	}
	service_expect_no_failures();
}

/* With a retry left, the request would run twice. */
static void test_refusal_of_an_earlier_request_repeats_the_next(void **state)
{
	(void)state;
	for (int named = 0; named <= 1; named++) {
		service_begin(named);
		for (int i = 0; i < service_nkind; i++) {
			if (service_kinds[i].runs)
				continue;
			service_plan(&service_kinds[0]);
			service_fault.surplus = SERVICE_WITH_NEXT;
			service_fault.surplus_kind = &service_kinds[i];
			service_fault.surplus_len =
				service_length(&service_kinds[i]);
			service_request("/safe/a", service_fault.id);
			service_send_next("/once/b");
			service_fault.surplus = SERVICE_NO_SURPLUS;
			service_expect_served("/safe/a");
		}
		service_finish();
	}
	service_expect_no_failures();
}

/* Each kind without a fault, so that the other cases are not kept by
 * rejecting everything. */
static void test_whole_response_is_not_passed_on(void **state)
{
	static const int status[] = {200, 200, 200, 200, 204, 200, 200,
				     500, 503, 200, 200, 502, 503, 408};

	(void)state;
	for (int named = 0; named <= 1; named++) {
		service_begin(named);
		for (int i = 0; i < service_nkind; i++) {
			struct caller_response r;

			service_expect_served("/safe/a");
			service_plan(&service_kinds[i]);
			if (service_kinds[i].is_head_request)
				continue;
			r = service_request("/once/a", service_fault.id);
			/* On a connection that named attempts before. */
			if (named && i == service_nkind - 1)
				assert_int_equal(r.status, 502);
			else
				assert_int_equal(r.status, status[i]);
		}
		service_finish();
	}
	service_expect_no_failures();
}

static int count_connections_of_requests(int upstream_echoes, int n)
{
	int before;

	service_begin(upstream_echoes);
	service_send_next("/once/a");
	before = scripted_count_connections();
	for (int i = 0; i < n; i++)
		assert_int_equal(service_send_next("/once/a").status, 200);
	service_finish();
	service_expect_no_failures();
	return scripted_count_connections() - before;
}

static void test_requests_that_run_once_share_an_unnamed_connection(void **s)
{
	(void)s;
	assert_int_equal(count_connections_of_requests(0, 20), 20);
	assert_int_equal(count_connections_of_requests(1, 20), 0);
}

/* The upstream has named an attempt, but not over the connection that is kept.
 */
static void
test_request_that_runs_once_goes_over_an_unnamed_connection(void **s)
{
	int before;

	(void)s;
	service_begin(0);
	service_set_echoes(1);
	service_send_next("/once/a");
	service_set_echoes(0);
	before = scripted_count_connections();
	assert_int_equal(service_send_next("/once/b").status, 200);
	assert_int_equal(scripted_count_connections() - before, 1);
	service_finish();
	service_expect_no_failures();
}

static void test_id_of_a_caller_replaces_that_of_the_attempt(void **state)
{
	(void)state;
	service_begin(1);
	service_caller.fields = "Attempt-Id: mine\r\nattempt-id: other\r\n";
	for (int i = 0; i < 3; i++) {
		struct caller_response r;

		service_plan(&service_kinds[0]);
		r = service_request("/once/a", service_fault.id);
		assert_int_equal(r.status, 200);
		assert_false(r.has_attempt_id);
		assert_string_not_equal(service_fault.attempt_id, "mine");
		assert_string_not_equal(service_fault.attempt_id, "other");
		assert_string_not_equal(service_fault.attempt_id, "");
	}
	service_caller.fields = NULL;
	service_finish();
	service_expect_no_failures();
}

/* Such as one that a newer VM gives. */
static void test_claim_of_unknown_verdict_is_taken_for_granted(void **state)
{
	static const int unknown[] = {CLAIM_REFUSED, CLAIM_REFUSED + 1, -1};

	(void)state;
	service_begin(1);
	for (size_t i = 0; i < sizeof(unknown) / sizeof(*unknown); i++) {
		struct caller_response r;

		service_answer_claims(unknown[i]);
		service_plan(&service_kinds[0]);
		r = service_request("/once/a", service_fault.id);
		assert_int_equal(r.status, 503);
		assert_string_equal(r.outcome, "not-run");
		assert_int_equal(scripted_count_arrivals(service_fault.id), 0);
	}
	service_answer_claims(CLAIM_GRANTED);
	service_expect_served("/once/a");
	service_finish();
	service_expect_no_failures();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_response_is_not_passed_on),
		cmocka_unit_test(test_response_that_ends_early_is_passed_on),
		cmocka_unit_test(
			test_earlier_response_answers_a_request_that_runs_once),
		cmocka_unit_test(
			test_earlier_response_answers_the_next_request),
		cmocka_unit_test(
			test_unnamed_response_answers_a_request_that_runs_once),
		cmocka_unit_test(
			test_unnamed_response_refuses_the_next_request),
		cmocka_unit_test(
			test_refusal_of_an_earlier_request_refuses_the_next),
		cmocka_unit_test(
			test_refusal_of_an_earlier_request_repeats_the_next),
		cmocka_unit_test(
			test_requests_that_run_once_share_an_unnamed_connection),
		cmocka_unit_test(
			test_request_that_runs_once_goes_over_an_unnamed_connection),
		cmocka_unit_test(
			test_id_of_a_caller_replaces_that_of_the_attempt),
		cmocka_unit_test(
			test_claim_of_unknown_verdict_is_taken_for_granted),
	};

	return cmocka_run_group_tests(tests, service_setup, service_teardown);
}
