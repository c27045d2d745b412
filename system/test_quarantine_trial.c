/* What becomes of a request in quarantine after a minute: one sending in the
 * whole fleet shows whether upstreams still end under it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "returning.h"
#include <cmocka.h>
#include <primroselead/clock.h>

/* Time after the begin of the quarantine in which the trial must come, in ms.
 */
#define TRIAL_TO_MS 75000

#define INTERVAL_MS 250

static struct returning_request guilty = {.method = "GET",
					  .path = "/safe/guilty"};
static struct returning_request mended = {.method = "GET",
					  .path = "/safe/mended"};

/* Sends both at both VMs until a time. */
static void send_until(int64_t until_ms)
{
	while (prl_now_ms() < until_ms) {
		for (int n = 1; n <= 2; n++) {
			returning_send(n, &guilty);
			returning_send(n, &mended);
		}
		returning_wait(INTERVAL_MS);
	}
}

static void test_trials_end_more_than_one_upstream(void **state)
{
	int64_t begun_ms;
	int before;

	(void)state;
	returning_send_until_known(&mended);
	returning_send_until_known(&guilty);
	begun_ms = prl_now_ms();
	mended.is_harmless = 1;
	before = returning_ends;
	send_until(begun_ms + TRIAL_TO_MS);
	assert_int_equal(returning_ends - before, 1);
}

/* The trial of the other one was answered, so all VMs send it again. */
static void test_request_that_ends_no_more_stays_in_quarantine(void **state)
{
	(void)state;
	for (int n = 1; n <= 2; n++) {
		assert_int_equal(returning_send(n, &mended).status, 200);
		assert_int_equal(returning_send(n, &guilty).status, 503);
	}
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_trials_end_more_than_one_upstream),
		cmocka_unit_test(
			test_request_that_ends_no_more_stays_in_quarantine),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, returning_setup, routes_teardown);
}
