/* Two regions: link bandwidth, spill, shifts and their caps, measured by the
 * counters of the upstreams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "harness.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STORE_PORT TEST_PORT(8000)
#define PORT_BASE TEST_PORT(8100)
#define UPSTREAM_PORT_BASE TEST_PORT(8300)

static char out[65536];

static const struct vm_config vms[] = {
	{1, PORT_BASE, STORE_PORT, "norte", "norte-a", NULL, NULL, NULL},
	{2, PORT_BASE, STORE_PORT, "norte", "norte-b", NULL, NULL, NULL},
	{3, PORT_BASE, STORE_PORT, "sur", "sur-a", NULL, NULL, NULL},
};

/* Publishes a service file with both regions and further sections, and waits
 * until all VMs have installed it. */
static int publish(int norte_capacity, const char *more)
{
	char text[2048];
	const char *at;

	snprintf(text, sizeof(text),
		 "[service]\nname = s\ndeadline = 30000\nlookup_ttl = 300\n"
		 "warmup = 0\n"
		 "[region norte]\ncapacity = %d\nspill = sur\n"
		 "[region sur]\ncapacity = 40\nspill = norte\n"
		 "%s"
		 "[upstream s1]\nregion = sur\ndomain = a\n"
		 "address = " LOOPBACK "8301\nslots = 40\n%s",
		 norte_capacity,
		 norte_capacity ? "[upstream n1]\nregion = norte\ndomain = a\n"
				  "address = " LOOPBACK "8300\nslots = 40\n"
				: "",
		 more);
	harness_write_file("s.ini", text);
	assert_int_equal(harness_run(out, sizeof(out), "primroselead",
				     "publish", "--store=" LOOPBACK "8000",
				     harness_path("s.ini"), NULL),
			 0);
	at = strstr(out, "by version ");
	assert_non_null(at);
	for (int i = 1; i <= 3; i++)
		assert_true(fleet_wait_revision(
			PORT_BASE + i, strtoll(at + 11, NULL, 10), 15000));
	return 0;
}

static int64_t upstream_runs(int upstream)
{
	char url[96];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats",
		 UPSTREAM_PORT_BASE + upstream);
	harness_get(url, out, sizeof(out));
	return harness_json_int(out, "ran");
}

static int start_fleet(void **state)
{
	(void)state;
	fleet_start_store(STORE_PORT);
	fleet_start_upstream(UPSTREAM_PORT_BASE, 40);
	fleet_start_upstream(UPSTREAM_PORT_BASE + 1, 40);
	for (int i = 0; i < 3; i++)
		fleet_start_vm(&vms[i]);
	publish(40, "");
	harness_sleep_ms(3000);
	return 0;
}

static int stop_fleet(void **state)
{
	(void)state;
	harness_finish();
	return 0;
}

/* Undoes the changes of a test, also after a failure. */
static int restore_service(void **state)
{
	(void)state;
	publish(40, "");
	harness_sleep_ms(3000);
	return 0;
}

/* Region norte has no upstream, so its requests go to sur over a link of
 * 16 Mbit/s. Each of its two VMs gets half of that: 1 MB/s. */
static void test_link_rate(void **state)
{
	int64_t began;
	int64_t ms;

	(void)state;
	publish(0, "[link n]\nfrom = norte\nto = sur\nrate = 16\n");
	harness_sleep_ms(3000);
	began = prl_now_ms();
	assert_int_equal(harness_run(out, sizeof(out), "standin-load",
				     "--direct=" LOOPBACK "8101", "--service=s",
				     "--requests=3", "--callers=3", "--work=1",
				     "--size=1048576", NULL),
			 0);
	ms = prl_now_ms() - began;
	print_message("%s", out);
	assert_int_equal(harness_json_int(out, "ok"), 3);
	/* 3 MB at 1 MB/s, less the burst and one block of each transfer, which
	 * are not limited. */
	assert_true(ms > 2700);
	assert_true(ms < 9000);
	began = prl_now_ms();
	assert_int_equal(harness_run(out, sizeof(out), "standin-load",
				     "--direct=" LOOPBACK "8101", "--service=s",
				     "--requests=3", "--callers=3", "--work=1",
				     "--method=PUT", "--upload=1048576", NULL),
			 0);
	ms = prl_now_ms() - began;
	print_message("%s", out);
	assert_int_equal(harness_json_int(out, "ok"), 3);
	assert_true(ms > 2700);
}

/* Under load the shifted part of norte's requests, as sur's upstream counts
 * it, exceeds 8 % and never the cap of 20 %. */
static void test_shift_stays_under_its_cap(void **state)
{
	const char *args[] = {"--vm=" LOOPBACK "8101",
			      "--service=s",
			      "--region=norte",
			      "--ms=9000",
			      "--callers=12",
			      "--blocks=400",
			      "--work=5",
			      NULL};
	int64_t norte = upstream_runs(0);
	int64_t sur = upstream_runs(1);
	int64_t moved = 0;
	int64_t total = 0;
	pid_t load;

	(void)state;
	publish(40, "[shift]\nfrom = norte\nto = sur\ncap = 200\n"
		    "step = 100\npace = 1000\n");
	load = harness_spawn("standin-load", args);
	for (int i = 0; i < 40; i++) {
		harness_sleep_ms(200);
		/* Read the shifted requests first: requests that run
		 * between the two reads only raise the total. */
		moved = upstream_runs(1) - sur;
		total = upstream_runs(0) - norte + moved;
		assert_true(moved * 1000 <= total * 200);
	}
	assert_int_equal(harness_wait(load), 0);
	print_message("moved %lld of %lld\n", (long long)moved,
		      (long long)total);
	assert_true(total > 1000);
	assert_true(moved * 1000 > total * 80);
	/* After the shift is reversed no request is shifted. */
	publish(40, "[shift]\nfrom = norte\nto = sur\ncap = 200\n"
		    "step = 200\npace = 500\nstate = back\n");
	harness_sleep_ms(4000);
	sur = upstream_runs(1);
	assert_int_equal(harness_run(out, sizeof(out), "standin-load",
				     "--vm=" LOOPBACK "8101", "--service=s",
				     "--region=norte", "--requests=500",
				     "--callers=8", "--blocks=400", NULL),
			 0);
	assert_int_equal(upstream_runs(1), sur);
}

/* At three times the capacity of both regions, the requests at an upstream
 * never exceed its capacity; after the overload latency is normal at once. */
static void test_overload(void **state)
{
	const char *args[] = {"--vm=" LOOPBACK "8101," LOOPBACK "8103",
			      "--service=s",
			      "--ms=8000",
			      "--callers=300",
			      "--rate=2400",
			      "--work=50",
			      NULL};
	char url[96];
	int64_t most = 0;
	pid_t load;

	(void)state;
	publish(20, "");
	harness_sleep_ms(3000);
	load = harness_spawn("standin-load", args);
	for (int i = 0; i < 35; i++) {
		int64_t running;

		harness_sleep_ms(200);
		snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats",
			 UPSTREAM_PORT_BASE);
		harness_get(url, out, sizeof(out));
		running = harness_json_int(out, "running") +
			  harness_json_int(out, "queued");
		if (running > most)
			most = running;
	}
	harness_wait(load);
	print_message("most at norte's upstream: %lld\n", (long long)most);
	assert_true(most > 10);
	assert_true(most <= 20);
	assert_int_equal(harness_run(out, sizeof(out), "standin-load",
				     "--vm=" LOOPBACK "8101", "--service=s",
				     "--requests=300", "--callers=8", NULL),
			 0);
	assert_int_equal(harness_json_int(out, "ok"), 300);
	assert_true(harness_json_int(out, "p99_us") < 100000);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(test_link_rate, restore_service),
		cmocka_unit_test(test_shift_stays_under_its_cap),
		cmocka_unit_test(test_overload),
	};
	int rc;

	(void)argc;
	harness_init(argv[0]);
	rc = cmocka_run_group_tests(tests, start_fleet, stop_fleet);
	harness_finish();
	return rc;
}
