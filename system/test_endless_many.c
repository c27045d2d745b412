/* Many responses without end at once, in each framing: memory at its peak stays
 * bounded, and requests of others are served meanwhile. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The memory and the speed of a build with a sanitizer are not the product's:
 * the targets are checked in the release build, which system/endless.sh runs.
 */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define HAS_SANITIZER 1
#else
#define HAS_SANITIZER 0
#endif

/* Requests with such responses at once. */
#define COPIES 24

/* Largest growth of a VM's memory at its peak, in KB: a node's whole memory for
 * control. */
#define MEMORY_MAX_KB 32768

/* Target latency of the routes in the fixture's manifest, in ms. */
#define LATENCY_MAX_MS 500

/* Deadline of the routes, with a margin, in ms. */
#define TIMEOUT_MS 2500

/* Port on which a VM takes requests of other VMs. */
#define RELAY_PORT(n) (PORT_BASE + 100 + (n))

/* A caller, and the answer that it got. */
struct endless_call {
	pthread_t thread;
	int port;
	const char *path;
	/* The caller reads nothing. */
	int is_mute;
	int status;
	int64_t ms;
};

static _Atomic int over;
static _Atomic int64_t slowest_ms;
static _Atomic int ninnocent;
static _Atomic int nfailed;

static struct http_response request_at(int port, const char *path, int n)
{
	char url[120];
	char id[64];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 4000",
				 "Relayed-By: vm2", "Relay-Attempts: 1", NULL};

	snprintf(id, sizeof(id), "X-Request-Id: e%d-%s", n,
		 strrchr(path, '/') + 1);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	return harness_send_request(&(struct http_request){
		.url = url, .host = "h.example", .headers = headers});
}

/* A caller that sends a request and then reads nothing. */
static void send_mute(const struct endless_call *call)
{
	char text[300];
	int fd = harness_connect(call->port);
	int n = snprintf(text, sizeof(text),
			 "GET %s HTTP/1.1\r\nHost: h.example\r\n"
			 "X-Request-Id: mute\r\nRelayed-By: vm2\r\n"
			 "Relay-Attempts: 1\r\n\r\n",
			 call->path);

	if (fd < 0)
		return;
	send(fd, text, (size_t)n, MSG_NOSIGNAL);
	harness_sleep_ms(TIMEOUT_MS);
	close(fd);
}

static void *run_call(void *ctx)
{
	struct endless_call *call = ctx;
	int64_t begun_ms = prl_now_ms();

	if (call->is_mute)
		send_mute(call);
	else
		call->status = request_at(call->port, call->path, 1).status;
	call->ms = prl_now_ms() - begun_ms;
	return NULL;
}

/* Sends requests of others, one after the other, until "over" is set. */
static void *run_innocent(void *ctx)
{
	(void)ctx;
	while (!over) {
		int64_t begun_ms = prl_now_ms();
		struct http_response resp =
			request_at(HTTP_PORT(1), "/near/plain", ++ninnocent);
		int64_t ms = prl_now_ms() - begun_ms;

		nfailed += resp.status != 200;
		if (ms > slowest_ms)
			slowest_ms = ms;
		harness_sleep_ms(10);
	}
	return NULL;
}

/* Sets the peak to the memory in use now. */
static void reset_peak(void)
{
	char path[64];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/clear_refs",
		 (int)routes_vm_pid[1]);
	f = fopen(path, "w");
	assert_non_null(f);
	fputs("5", f);
	assert_int_equal(fclose(f), 0);
}

/* Waits until the upstreams that sent no answer are tried again. */
static void await_upstreams(void)
{
	for (int i = 0; i < 100; i++) {
		if (request_at(HTTP_PORT(1), "/safe/plain", i).status == 200)
			return;
		harness_sleep_ms(100);
	}
	fail_msg("the upstreams of the other requests did not come back");
}

static void expect_harmless(int port, const char *path, int is_mute)
{
	static struct endless_call calls[COPIES];
	pthread_t innocent;
	long before;

	await_upstreams();
	reset_peak();
	before = harness_peak_kb(routes_vm_pid[1]);
	over = 0;
	slowest_ms = 0;
	ninnocent = 0;
	nfailed = 0;
	pthread_create(&innocent, NULL, run_innocent, NULL);
	for (int i = 0; i < COPIES; i++) {
		calls[i] = (struct endless_call){
			.port = port, .path = path, .is_mute = is_mute};
		pthread_create(&calls[i].thread, NULL, run_call, &calls[i]);
	}
	for (int i = 0; i < COPIES; i++)
		pthread_join(calls[i].thread, NULL);
	over = 1;
	pthread_join(innocent, NULL);
	print_message("%s%s: status %d, %lld ms; growth at the peak %ld KB; "
		      "%d others, %d not served, slowest %lld ms\n",
		      path, is_mute ? " (not read)" : "", calls[0].status,
		      (long long)calls[0].ms,
		      harness_peak_kb(routes_vm_pid[1]) - before, ninnocent,
		      nfailed, (long long)slowest_ms);
	for (int i = 0; i < COPIES; i++)
		assert_in_range(calls[i].ms, 0, 2 * TIMEOUT_MS);
	assert_int_equal(nfailed, 0);
	assert_true(ninnocent > 0);
	if (HAS_SANITIZER)
		return;
	assert_true(harness_peak_kb(routes_vm_pid[1]) - before <=
		    MEMORY_MAX_KB);
	assert_in_range(slowest_ms, 0, LATENCY_MAX_MS);
}

/* Routes to upstreams of "s", which send the responses, and to one of "t" for
 * others, each with slots for all requests. */
static const char manifest[] =
	"{\"version\":100,\"routes\":{"
	"\"a\":{\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2},"
	"\"b\":{\"host\":\"h.example\",\"path_prefix\":\"/near/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"t\","
	"\"max_attempts\":2}},"
	"\"services\":{\"s\":{\"max_connections\":400,"
	"\"health_check_path\":\"/health\"},"
	"\"t\":{\"max_connections\":400}},"
	"\"limits\":{\"max_header_bytes\":16384}}";

static void put_upstream(const char *instance, const char *service, int port)
{
	char key[40];
	char text[300];

	snprintf(key, sizeof(key), "servers/%s", instance);
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"norte-a\",\"version\":\"v1\",\"slots\":64,"
		 "\"state\":\"ready\",\"cold_remaining_ms\":0,"
		 "\"sequence\":2,\"born\":1700000000000}",
		 service, port);
	routes_put_object(key, text);
}

static int setup(void **state)
{
	if (routes_setup(state))
		return -1;
	put_upstream("i-1", "s", UPSTREAM_PORT(1));
	put_upstream("i-2", "s", UPSTREAM_PORT(2));
	put_upstream("i-3", "t", UPSTREAM_PORT(3));
	routes_put_object("config/main", manifest);
	harness_sleep_ms(PROPAGATION_MS);
	return 0;
}

static const char *const paths[] = {
	"/safe/endless-line",	"/safe/endless-head",  "/safe/endless-early",
	"/safe/endless-body",	"/safe/endless-shed",  "/safe/endless-chunks",
	"/safe/endless-ext",	"/safe/endless-size",  "/safe/endless-trailer",
	"/safe/endless-length", "/safe/endless-extra",
};

#define NPATH (sizeof(paths) / sizeof(paths[0]))

static void test_callers_that_read(void **state)
{
	(void)state;
	for (size_t i = 0; i < NPATH; i++)
		expect_harmless(HTTP_PORT(1), paths[i], 0);
}

static void test_callers_that_read_nothing(void **state)
{
	(void)state;
	for (size_t i = 0; i < NPATH; i++)
		expect_harmless(HTTP_PORT(1), paths[i], 1);
}

static void test_requests_of_another_vm(void **state)
{
	(void)state;
	for (size_t i = 0; i < NPATH; i++)
		expect_harmless(RELAY_PORT(1), paths[i], 0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_callers_that_read),
		cmocka_unit_test(test_callers_that_read_nothing),
		cmocka_unit_test(test_requests_of_another_vm),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
