#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/stop.h>

#define SIGNAL_MS 100000
#define GRACE_MS 6000

static void test_process_is_killed_before_its_end(void **state)
{
	int64_t end_ms = limit_stop_end(SIGNAL_MS, GRACE_MS);

	(void)state;
	assert_true(end_ms <= SIGNAL_MS + GRACE_MS - 500);
	assert_true(end_ms >= SIGNAL_MS + GRACE_MS - 1000);
}

static void test_short_grace_ends_before_the_signal(void **state)
{
	(void)state;
	assert_int_equal(limit_stop_end(SIGNAL_MS, 0), SIGNAL_MS);
	assert_int_equal(limit_stop_end(SIGNAL_MS, 100), SIGNAL_MS);
}

static void test_request_outlasts_the_process(void **state)
{
	int64_t end_ms = limit_stop_end(SIGNAL_MS, GRACE_MS);

	(void)state;
	assert_true(limit_stop_admits(end_ms, SIGNAL_MS));
	assert_true(limit_stop_admits(end_ms, end_ms));
	assert_false(limit_stop_admits(end_ms, end_ms + 1));
	assert_false(limit_stop_admits(end_ms, PRL_NEVER));
}

static void test_request_refused_without_a_stop(void **state)
{
	(void)state;
	assert_true(limit_stop_admits(PRL_NEVER, SIGNAL_MS));
	assert_true(limit_stop_admits(PRL_NEVER, PRL_NEVER));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_process_is_killed_before_its_end),
		cmocka_unit_test(test_short_grace_ends_before_the_signal),
		cmocka_unit_test(test_request_outlasts_the_process),
		cmocka_unit_test(test_request_refused_without_a_stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
