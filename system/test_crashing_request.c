/* A request that ends each upstream that runs it, sent again and again. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "returning.h"
#include <cmocka.h>
#include <signal.h>

/* Sendings after all VMs must know. */
#define SENDINGS 12

static void expect_no_more(const struct returning_request *q)
{
	int not_served;
	int more = returning_send_more(q, SENDINGS, &not_served);

	print_message("%s %s: %d more, %d others not served\n", q->method,
		      q->path, more, not_served);
	assert_in_range(more, 0, RETURNING_EXTRA_MAX);
	assert_int_equal(not_served, 0);
}

static void test_crashing_get_reaches_more_upstreams(void **state)
{
	const struct returning_request q = {.method = "GET",
					    .path = "/safe/get"};

	(void)state;
	returning_send_until_known(&q);
	expect_no_more(&q);
}

static void test_crashing_post_reaches_more_upstreams(void **state)
{
	const struct returning_request q = {
		.method = "POST", .path = "/once/post", .body = "a deposit"};

	(void)state;
	returning_send_until_known(&q);
	expect_no_more(&q);
}

/* VMs that start know nothing of before. */
static void test_crashing_request_reaches_more_after_restart(void **state)
{
	const struct returning_request q = {.method = "GET",
					    .path = "/safe/restart"};

	(void)state;
	returning_send_until_known(&q);
	for (int n = 1; n <= 2; n++)
		harness_kill(routes_vm_pid[n], SIGKILL);
	returning_wait(1000);
	for (int n = 1; n <= 2; n++)
		routes_start_vm(n);
	expect_no_more(&q);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crashing_get_reaches_more_upstreams),
		cmocka_unit_test(test_crashing_post_reaches_more_upstreams),
		cmocka_unit_test(
			test_crashing_request_reaches_more_after_restart),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, returning_setup, routes_teardown);
}
