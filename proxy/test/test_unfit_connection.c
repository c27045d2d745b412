/* An attempt that finds a kept connection that may not be used. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "caller.h"
#include "fixture.h"
#include "responses.h"
#include "scripted.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <string.h>
#include <unistd.h>

/* Time in which a request must end whose upstream refuses connections, in ms.
 */
#define REFUSED_MAX_MS 1000

/* Pause before surplus bytes, and until they have arrived, in ms. */
#define SURPLUS_MS 2
#define ARRIVED_MS 50

static struct caller caller;

/* Each response is followed by bytes that make its connection unfit. */
static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	out->len = response_format(response_plain("GET"), request->id, 0,
				   out->bytes, sizeof(out->bytes));
	out->runs = 1;
	out->then[0] = 'x';
	out->then_len = 1;
	out->then_delay_ms = SURPLUS_MS;
}

static int setup(void **state)
{
	(void)state;
	caller.port = fixture_start(scripted_start(reply));
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	caller_finish(&caller);
	fixture_stop();
	return 0;
}

/* The attempt takes another connection in its place once; if that one can't be
 * made, the attempt has failed. */
static void test_attempt_connects_without_end(void **state)
{
	struct caller_response r;
	int64_t began_ms;

	(void)state;
	caller_request(&caller, "POST", "/once/a", "q0000001", 4, &r);
	assert_int_equal(r.status, 200);
	usleep(ARRIVED_MS * 1000);
	scripted_stop();
	began_ms = prl_now_ms();
	caller_request(&caller, "POST", "/once/b", "q0000002", 4, &r);
	assert_int_equal(r.status, 503);
	assert_string_equal(r.outcome, "not-run");
	assert_true(prl_now_ms() - began_ms < REFUSED_MAX_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_attempt_connects_without_end),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
