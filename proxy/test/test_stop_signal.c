/* A request that is read before a stop signal that was sent earlier, as after a
 * pause: one that would outlast the process is not begun. */
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
#include <signal.h>
#include <string.h>
#include <unistd.h>

/* Times until the process has to end, shorter and longer than the time-out of
 * the routes, in ms. */
#define SHORT_MS 500
#define LONG_MS 60000

static struct caller caller;

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	out->len = response_format(response_plain("GET"), request->id, 0,
				   out->bytes, sizeof(out->bytes));
	out->runs = 1;
}

static int setup(void **state)
{
	sigset_t set;

	(void)state;
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	caller.port = fixture_start(scripted_start(reply));
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	caller_finish(&caller);
	fixture_stop();
	scripted_stop();
	return 0;
}

static void expect_status(int status, const char *id)
{
	struct caller_response r;

	caller_request(&caller, "GET", "/safe/a", id, 0, &r);
	assert_int_equal(r.status, status);
	assert_int_equal(scripted_count_runs(id), status == 200);
}

static void test_request_behind_a_stop_signal(void **state)
{
	int64_t now = prl_now_ms();

	(void)state;
	fixture_set_end_if_signalled(now + SHORT_MS);
	expect_status(200, "t0000001");
	kill(getpid(), SIGTERM);
	expect_status(503, "t0000002");
	fixture_set_end_if_signalled(now + LONG_MS);
	expect_status(200, "t0000003");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_behind_a_stop_signal),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
