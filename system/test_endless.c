/* Upstreams that send bytes without end, in a head or a body, until the
 * connection is closed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest growth of a VM's memory over all cases, in KB. */
#define MEMORY_MAX_KB 8192

/* Most bytes that upstreams may send of a head, in all attempts of one request,
 * and of a body: what is read, and what the sockets hold of each attempt. */
#define HEAD_MAX_BYTES (24 << 20)
#define BODY_MAX_BYTES (80 << 20)

/* Deadline of the route, with a margin, in ms. */
#define TIMEOUT_MS 2500

static long memory_kb(pid_t pid)
{
	char path[64];
	char line[128];
	long kb = -1;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		if (!strncmp(line, "VmRSS:", 6))
			sscanf(line + 6, "%ld", &kb);
	if (f)
		fclose(f);
	return kb;
}

static int64_t endless_bytes(void)
{
	return routes_upstream_stat(UPSTREAM_PORT(1), "endless_bytes") +
	       routes_upstream_stat(UPSTREAM_PORT(2), "endless_bytes");
}

/* Waits until the upstreams send nothing more. Returns what they have sent. */
static int64_t settled_bytes(void)
{
	int64_t before;
	int64_t now = endless_bytes();

	do {
		before = now;
		harness_sleep_ms(200);
		now = endless_bytes();
	} while (now != before);
	return now;
}

static void expect_bounded(const char *path, int64_t bytes_max)
{
	long memory_before = memory_kb(routes_vm_pid[1]);
	int64_t bytes_before = settled_bytes();
	int64_t started_ms = prl_now_ms();
	struct http_response resp = routes_request("GET", path);
	int64_t ms = prl_now_ms() - started_ms;
	int64_t bytes = settled_bytes() - bytes_before;
	long growth = memory_kb(routes_vm_pid[1]) - memory_before;

	print_message("%s: status %d, %lld ms, %lld bytes, %ld KB\n", path,
		      resp.status, (long long)ms, (long long)bytes, growth);
	assert_int_not_equal(resp.status, 200);
	assert_in_range(ms, 0, TIMEOUT_MS);
	assert_in_range(bytes, 1, bytes_max);
	assert_true(growth < MEMORY_MAX_KB);
	/* The VM goes on. */
	resp = routes_request("GET", "/safe/plain");
	routes_expect_complete(&resp);
}

static void test_line_without_end(void **state)
{
	(void)state;
	expect_bounded("/safe/endless-line", HEAD_MAX_BYTES);
}

static void test_head_without_end(void **state)
{
	(void)state;
	expect_bounded("/safe/endless-head", HEAD_MAX_BYTES);
}

static void test_informational_responses_without_end(void **state)
{
	(void)state;
	expect_bounded("/safe/endless-early", HEAD_MAX_BYTES);
}

static void test_body_without_end(void **state)
{
	(void)state;
	expect_bounded("/safe/endless-body", BODY_MAX_BYTES);
}

static void test_rejection_without_end(void **state)
{
	(void)state;
	expect_bounded("/safe/endless-shed", HEAD_MAX_BYTES);
}

/* Under ASan, freed memory is kept for a while and would count as growth. */
static void shrink_asan_quarantine(void)
{
	const char *options = getenv("ASAN_OPTIONS");
	char text[256];

	snprintf(text, sizeof(text), "%s:quarantine_size_mb=1",
		 options ? options : "");
	setenv("ASAN_OPTIONS", text, 1);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_line_without_end),
		cmocka_unit_test(test_head_without_end),
		cmocka_unit_test(test_informational_responses_without_end),
		cmocka_unit_test(test_body_without_end),
		cmocka_unit_test(test_rejection_without_end),
	};

	(void)argc;
	shrink_asan_quarantine();
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, routes_setup, routes_teardown);
}
