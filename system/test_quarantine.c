/* Who is rejected beside a request that ends upstreams, and what becomes of the
 * quarantine when VMs stand still, start or can't reach the store. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "returning.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sendings after all VMs must know. */
#define SENDINGS 6

/* Callers that send the same request at the same time. */
#define COPIES 8

/* Time in which what an operator clears must be in force, in ms. */
#define CLEARED_MS 9000

/* Time in which a request must be in quarantine, in ms; upstreams that are slow
 * to come back take most of it. And the least Retry-After that tells of it, in
 * s. */
#define CONVICTED_MAX_MS 60000
#define QUARANTINED_S 60

/* Time in which upstreams are back and in use, in ms. */
#define RETURN_MS 3000

static char output[16384];

/* Whether VM n refuses the request since it is in quarantine. */
static int is_refused(int n, const struct returning_request *q)
{
	struct http_response resp = returning_send(n, q);

	return resp.status == 503 && resp.retry_after_s > QUARANTINED_S;
}

/* Sends the request at VMs 1 to n until all of them refuse it. */
static void convict(const struct returning_request *q, int n)
{
	int64_t until = prl_now_ms() + CONVICTED_MAX_MS;
	int refused;

	do {
		refused = 0;
		for (int i = 1; i <= n; i++)
			refused += is_refused(i, q);
		returning_wait(200);
	} while (refused < n && prl_now_ms() < until);
	assert_int_equal(refused, n);
	/* The upstreams that have ended come back. */
	returning_wait(RETURN_MS);
}

static void expect_no_more(const struct returning_request *q)
{
	int not_served;

	assert_in_range(returning_send_more(q, SENDINGS, &not_served), 0,
			RETURNING_EXTRA_MAX);
	assert_int_equal(not_served, 0);
}

static void expect_rejected(int n, const struct returning_request *q)
{
	int before = returning_ends;

	assert_true(is_refused(n, q));
	returning_wait(200);
	assert_int_equal(returning_ends, before);
}

static void expect_served(const struct returning_request *q)
{
	for (int n = 1; n <= 2; n++) {
		struct http_response resp = returning_send(n, q);

		assert_int_equal(resp.status, 200);
	}
}

/* What differs by path, method, caller or body alone is another request. */
static void test_other_request_is_rejected(void **state)
{
	struct returning_request q = {.method = "POST",
				      .path = "/safe/sibling?n=1",
				      .body = "a deposit",
				      .header = "Authorization: a"};

	(void)state;
	convict(&q, 2);
	expect_rejected(1, &q);
	expect_rejected(2, &q);
	q.is_harmless = 1;
	expect_rejected(1, &q);
	q.path = "/safe/sibling?n=2";
	expect_served(&q);
	q.path = "/safe/sibling?n=1";
	q.body = "a deposiT";
	expect_served(&q);
	q.body = "a deposit";
	q.header = "Authorization: b";
	expect_served(&q);
	q.header = "Authorization: a";
	q.method = "PUT";
	expect_served(&q);
}

/* A request is refused as the piece of its body arrives that tells it apart,
 * and more of the body than is buffered follows. */
static void test_refused_upload_gets_no_answer(void **state)
{
	static char body[700001];
	struct returning_request q = {.method = "POST",
				      .path = "/safe/large",
				      .body = body,
				      .header = "Authorization: a"};

	(void)state;
	memset(body, 'x', sizeof(body) - 1);
	convict(&q, 2);
	expect_rejected(1, &q);
	expect_rejected(2, &q);
}

struct copies {
	struct returning_request request;
	_Atomic int stopped;
	_Atomic int sent;
};

static void *send_copies(void *ctx)
{
	struct copies *copies = ctx;

	while (!atomic_load(&copies->stopped)) {
		returning_send(1 + atomic_fetch_add(&copies->sent, 1) % 2,
			       &copies->request);
		harness_sleep_ms(20);
	}
	return NULL;
}

static void test_copies_at_the_same_time_reach_more(void **state)
{
	struct copies copies = {
		.request = {.method = "GET", .path = "/safe/copies"}};
	pthread_t caller[COPIES];
	int before = returning_ends;
	int64_t until = prl_now_ms() + 10000;

	(void)state;
	for (int i = 0; i < COPIES; i++)
		pthread_create(&caller[i], NULL, send_copies, &copies);
	while (returning_ends < before + 3 && prl_now_ms() < until)
		returning_wait(20);
	returning_wait(RETURNING_KNOWN_MS);
	before = returning_ends;
	returning_wait(3000);
	atomic_store(&copies.stopped, 1);
	for (int i = 0; i < COPIES; i++)
		pthread_join(caller[i], NULL);
	print_message("%d copies, %d more\n", atomic_load(&copies.sent),
		      returning_ends - before);
	assert_in_range(returning_ends - before, 0, RETURNING_EXTRA_MAX);
}

/* Requests that run where another one ends the upstream. */
static void test_innocent_request_is_rejected(void **state)
{
	static const struct returning_request crash = {.method = "GET",
						       .path = "/safe/guilty"};
	struct copies innocent = {.request = {.method = "GET",
					      .path = "/safe/after-150",
					      .is_harmless = 1}};
	pthread_t caller[COPIES];
	int not_served;

	(void)state;
	for (int i = 0; i < COPIES; i++)
		pthread_create(&caller[i], NULL, send_copies, &innocent);
	convict(&crash, 2);
	atomic_store(&innocent.stopped, 1);
	for (int i = 0; i < COPIES; i++)
		pthread_join(caller[i], NULL);
	returning_send_more(&crash, SENDINGS, &not_served);
	assert_int_equal(not_served, 0);
	expect_served(&innocent.request);
}

/* Responses are lost, but no upstream ends. */
static void test_lost_responses_convict(void **state)
{
	const struct returning_request q = {
		.method = "GET", .path = "/safe/close", .is_harmless = 1};
	char page[65536];
	char url[80];
	int lost = 0;

	(void)state;
	for (int i = 0; i < 24; i++) {
		lost += returning_send(1 + i % 2, &q).status == 502;
		returning_wait(200);
	}
	assert_in_range(lost, 4, 24);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/-/status",
		 METRICS_PORT(1));
	harness_get(url, page, sizeof(page));
	harness_sleep_ms(300);
	harness_get(url, page, sizeof(page));
	assert_null(strstr(page, "safe/close"));
}

/* A VM that stands still while the others learn. */
static void test_paused_vm_sends_more(void **state)
{
	const struct returning_request q = {.method = "GET",
					    .path = "/safe/paused"};

	(void)state;
	kill(routes_vm_pid[2], SIGSTOP);
	convict(&q, 1);
	kill(routes_vm_pid[2], SIGCONT);
	returning_wait(RETURNING_KNOWN_MS);
	expect_rejected(2, &q);
	expect_no_more(&q);
}

/* The store is away from before the first end until after a VM has started. */
static void test_vm_that_starts_without_the_store_sends_more(void **state)
{
	const struct returning_request q = {.method = "GET",
					    .path = "/safe/no-store"};

	(void)state;
	routes_set_store_faults("down_ms=600000");
	convict(&q, 2);
	harness_kill(routes_vm_pid[2], SIGKILL);
	returning_wait(500);
	routes_start_vm(2);
	expect_rejected(2, &q);
	routes_set_store_faults("down_ms=0");
	returning_wait(RETURNING_KNOWN_MS + 6000);
	for (int n = 1; n <= 2; n++)
		harness_kill(routes_vm_pid[n], SIGKILL);
	returning_wait(500);
	for (int n = 1; n <= 2; n++)
		routes_start_vm(n);
	expect_rejected(1, &q);
	expect_rejected(2, &q);
}

static int run_command(const char *option)
{
	char store[64];

	snprintf(store, sizeof(store), "--store=127.0.0.1:%d", STORE_PORT);
	return harness_run(output, sizeof(output), "primroselead", "quarantine",
			   store, "--by=test", option, NULL);
}

static void test_operator_can_not_clear(void **state)
{
	struct returning_request q = {.method = "GET",
				      .path = "/safe/cleared?secret=7"};
	int64_t until;
	char option[80];
	char *line;

	(void)state;
	convict(&q, 2);
	assert_int_equal(run_command(NULL), 0);
	line = strstr(output, "GET h.example/safe/cleared\n");
	assert_non_null(line);
	while (line > output && line[-1] != '\n')
		line--;
	snprintf(option, sizeof(option), "--clear=%.32s", line);
	assert_int_equal(run_command(option), 0);
	until = prl_now_ms() + CLEARED_MS;
	q.is_harmless = 1;
	for (int n = 1; n <= 2; n++)
		while (returning_send(n, &q).status != 200 &&
		       prl_now_ms() < until)
			returning_wait(200);
	expect_served(&q);
	returning_wait(3000);
	assert_int_equal(run_command(NULL), 0);
	assert_null(strstr(output, "safe/cleared"));
	assert_int_not_equal(run_command("--clear=0123"), 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_other_request_is_rejected),
		cmocka_unit_test(test_refused_upload_gets_no_answer),
		cmocka_unit_test(test_copies_at_the_same_time_reach_more),
		cmocka_unit_test(test_innocent_request_is_rejected),
		cmocka_unit_test(test_paused_vm_sends_more),
		cmocka_unit_test(
			test_vm_that_starts_without_the_store_sends_more),
		cmocka_unit_test(test_operator_can_not_clear),
		cmocka_unit_test(test_lost_responses_convict),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, returning_setup, routes_teardown);
}
