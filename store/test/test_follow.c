/* How long ago the store confirmed what a follower knows. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "scripted.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/follow.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Time for which the process stands still, in ms. */
#define STANDSTILL_MS 1200

/* Time in which the server answers, in ms. */
#define ANSWER_MS 200

#define CALL_MAX_MS 5000

static const char list[] = "{\"items\":[],\"has_more\":false,"
			   "\"current_rev\":7}";
static const char events[] = "{\"events\":[],\"current_rev\":7}";

static struct loop loop;
static struct fetch_pool fetches;
static struct store store;
static struct store_follower follower;

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	const char *body = strstr(request->target, "watch=") ? events : list;

	out->len = (size_t)snprintf(out->bytes, sizeof(out->bytes),
				    "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n"
				    "Content-Length: %zu\r\n\r\n%s",
				    strlen(body), body);
}

static void on_change(struct store_follower *f, enum store_change change,
		      const char *name, const struct store_object *o)
{
	(void)f;
	(void)change;
	(void)name;
	(void)o;
}

static void tick(void)
{
	store_follower_tick(&follower, prl_now_ms(), 0);
}

static void run_until_call_ends(void)
{
	int64_t deadline_ms = prl_now_ms() + CALL_MAX_MS;

	while (follower.call_active && prl_now_ms() < deadline_ms)
		loop_run_once(&loop, prl_now_ms() + 10);
	assert_false(follower.call_active);
}

static int setup(void **state)
{
	static char address[32];
	struct prl_error err;

	(void)state;
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 scripted_start(reply));
	if (loop_init(&loop, &err) || fetch_pool_init(&fetches, &loop, &err))
		return -1;
	store_init(&store, &fetches, address);
	store_follower_init(&follower, &store, "servers");
	follower.on_change = on_change;
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	store_follower_finish(&follower);
	fetch_pool_finish(&fetches);
	loop_finish(&loop);
	scripted_stop();
	return 0;
}

/* What a store answered before the VM stood still says nothing of the time
 * since; others would take their own replica for fresh by it. */
static void test_answer_from_before_a_standstill_confirms_now(void **state)
{
	int64_t before_ms;

	(void)state;
	tick();
	run_until_call_ends();
	assert_true(prl_now_ms() - follower.confirmed_ms < ANSWER_MS);
	tick();
	loop_run_once(&loop, prl_now_ms() + 10);
	before_ms = prl_now_ms();
	tick();
	usleep(STANDSTILL_MS * 1000);
	run_until_call_ends();
	assert_true(follower.confirmed_ms <= before_ms + ANSWER_MS);
	assert_true(follower.confirmed_ms >= before_ms - ANSWER_MS);
}

static void test_answer_does_not_confirm(void **state)
{
	(void)state;
	tick();
	run_until_call_ends();
	assert_true(prl_now_ms() - follower.confirmed_ms < ANSWER_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_answer_from_before_a_standstill_confirms_now),
		cmocka_unit_test(test_answer_does_not_confirm),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
