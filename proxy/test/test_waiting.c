/* Requests that wait at the VM while all upstreams are full. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "caller.h"
#include "fixture.h"
#include "responses.h"
#include "scripted.h"
#include <arpa/inet.h>
#include <cmocka.h>
#include <primroselead/clock.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Requests with which each upstream has as many connections as this VM may
 * open. */
#define FULL 1000

/* Time in which the queue follows a change, in ms. */
#define SETTLE_MS 2000

/* Time in which the queue is tried several times, in us. */
#define TRIES_US 60000

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
	(void)state;
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

static int wait_for_counter(enum metric which, int value)
{
	for (int ms = 0; ms < SETTLE_MS; ms++) {
		if (fixture_counter(which) >= value)
			return 1;
		usleep(1000);
	}
	return 0;
}

/* What is done once a request waits. */
struct action {
	void (*run)(void);
	/** Requests that have been queued by then. */
	int queued;
};

static void *run_when_queued(void *ctx)
{
	const struct action *a = ctx;

	if (wait_for_counter(METRIC_REQUESTS_QUEUED, a->queued))
		a->run();
	return NULL;
}

static void free_upstreams(void)
{
	fixture_add_outstanding(-FULL);
}

/* Sends a request while the upstreams are full, and acts once it waits. */
static void request_and_act(void (*run)(void), const char *id,
			    struct caller_response *out)
{
	struct action action = {
		.run = run,
		.queued = fixture_counter(METRIC_REQUESTS_QUEUED) + 1};
	pthread_t thread;

	fixture_add_outstanding(FULL);
	pthread_create(&thread, NULL, run_when_queued, &action);
	caller_request(&caller, "GET", "/safe/a", id, 0, out);
	pthread_join(thread, NULL);
}

static void test_waits_until_there_is_room(void **state)
{
	int started = fixture_counter(METRIC_QUEUE_STARTED);
	struct caller_response r;

	(void)state;
	request_and_act(free_upstreams, "w0000001", &r);
	assert_int_equal(r.status, 200);
	assert_int_equal(fixture_counter(METRIC_QUEUE_STARTED), started + 1);
}

/* Lets the queue try the request some times before there is room. */
static void free_upstreams_later(void)
{
	usleep(TRIES_US);
	free_upstreams();
}

/* A request counts once towards the retry budget, however often the queue tries
 * it. */
static void test_waiting_earns_one_deposit(void **state)
{
	int64_t deposits = fixture_retry_deposits();
	struct caller_response r;

	(void)state;
	request_and_act(free_upstreams_later, "w0000006", &r);
	assert_int_equal(r.status, 200);
	assert_int_equal(fixture_retry_deposits(), deposits + 1);
}

static void do_nothing(void)
{
}

/* The wait ends well before the deadline of 2 s. */
static void test_is_turned_away_as_not_run(void **state)
{
	int ended = fixture_counter(METRIC_QUEUE_ENDED);
	int64_t began_ms = prl_now_ms();
	struct caller_response r;

	(void)state;
	request_and_act(do_nothing, "w0000002", &r);
	assert_int_equal(r.status, 503);
	assert_string_equal(r.outcome, "not-run");
	assert_int_equal(fixture_counter(METRIC_QUEUE_ENDED), ended + 1);
	assert_true(prl_now_ms() - began_ms < 1500);
	free_upstreams();
}

static void test_planned_stop_refuses_at_once(void **state)
{
	struct caller_response r;

	(void)state;
	request_and_act(fixture_end_requests, "w0000004", &r);
	assert_int_equal(r.status, 503);
	assert_string_equal(r.outcome, "not-run");
	free_upstreams();
}

static int connect_to_proxy(void)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)caller.port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

/* A request whose caller has gone leaves the queue and is not sent. */
static void test_caller_that_leaves_is_removed(void **state)
{
	static const char request[] = "GET /safe/gone HTTP/1.1\r\nHost: h\r\n"
				      "X-Request-Id: w0000005\r\n\r\n";
	int queued = fixture_counter(METRIC_REQUESTS_QUEUED);
	int attempts = fixture_counter(METRIC_UPSTREAM_ATTEMPTS);
	int fd = connect_to_proxy();
	int idle = 0;

	(void)state;
	fixture_add_outstanding(FULL);
	assert_int_equal(send(fd, request, sizeof(request) - 1, 0),
			 sizeof(request) - 1);
	assert_true(wait_for_counter(METRIC_REQUESTS_QUEUED, queued + 1));
	close(fd);
	for (int ms = 0; ms < SETTLE_MS && !idle; ms++) {
		idle = fixture_is_idle();
		usleep(1000);
	}
	free_upstreams();
	usleep(50000);
	assert_true(idle);
	assert_int_equal(fixture_counter(METRIC_UPSTREAM_ATTEMPTS), attempts);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_waits_until_there_is_room),
		cmocka_unit_test(test_waiting_earns_one_deposit),
		cmocka_unit_test(test_is_turned_away_as_not_run),
		cmocka_unit_test(test_planned_stop_refuses_at_once),
		cmocka_unit_test(test_caller_that_leaves_is_removed),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
