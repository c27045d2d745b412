/* Quotas of workspaces, with real processes: what upstreams run for one in the
 * sum of three VMs, and what is served of it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "caller.h"
#include "isolated.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/param.h>

#define VMS 3

/* Requests a second and burst of the workspace with a small quota, and those
 * that a later manifest lowers them to. */
#define RATE 20
#define BURST 10
#define LOW_RATE 6
#define LOW_BURST 4

/* What the bounds tolerate: overage in percent, and requests. */
#define OVERAGE_PERCENT 10
#define SLACK 10
#define WINDOW_MS 5000

/* Least part of a quota that must be served, in percent. */
#define USED_PERCENT 90

/* Time in which VMs agree on who adds up, and after which that one no longer
 * takes limits for used up that nobody asks for. */
#define SETTLE_MS 10000
#define FRESH_MS 6000

/* Duration of a test's demand, and the pause between two requests, in ms. */
#define DEMAND_MS 6000
#define PAUSE_MS 4

#define SERVED_MAX 4000

#define KEY_LINE(name) "Api-Key: quota-key-" name "\r\n"

static const char manifest_format[] =
	"{\"version\":%d,\"routes\":{"
	"\"a\":{\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2,\"public\":true},"
	"\"b\":{\"host\":\"h.example\",\"path_prefix\":\"/keyed/\","
	"\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"s\","
	"\"max_attempts\":2}},"
	"\"services\":{\"s\":{\"max_connections\":100,"
	"\"health_check_path\":\"/health\"},\"t\":{}},"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":{"
	"\"acme\":{\"api_keys\":[\"quota-key-acme\"],"
	"\"requests_per_s\":%d,\"burst_size\":%d},"
	"\"birch\":{\"api_keys\":[\"quota-key-birch\"],"
	"\"requests_per_s\":2000,\"burst_size\":2000},"
	"\"cedar\":{\"api_keys\":[\"quota-key-cedar\"]}}}";

/* A request that was served, on the clock of prl_now_ms. */
struct served {
	int64_t sent_ms;
	int64_t ended_ms;
};

/* What became of a workspace's requests. */
struct demand {
	int64_t began_ms;
	int64_t ended_ms;
	int64_t runs_before;
	int asked;
	int nserved;
	struct served served[SERVED_MAX];
};

static struct demand demand;
static struct caller caller[VMS + 1];
static int version = 10;

static void put_manifest(int rate, int burst)
{
	char text[sizeof(manifest_format) + 40];

	snprintf(text, sizeof(text), manifest_format, ++version, rate, burst);
	routes_put_object("config/main", text);
}

/* Returns the VM that adds up what this many VMs use, or 0. */
static int find_aggregator(int vms)
{
	for (int n = 1; n <= VMS; n++)
		if (harness_metric(METRICS_PORT(n), "usage_vms_heard") == vms)
			return n;
	return 0;
}

static int count_following(void)
{
	int following = 0;

	for (int n = 1; n <= VMS; n++)
		following +=
			harness_metric(METRICS_PORT(n), "usage_following") == 1;
	return following;
}

static void wait_until_settled(void)
{
	int64_t until_ms = prl_now_ms() + SETTLE_MS;

	while (!find_aggregator(VMS) || count_following() < VMS) {
		assert_true(prl_now_ms() < until_ms);
		harness_sleep_ms(100);
	}
	harness_sleep_ms(FRESH_MS);
}

static int setup(void **state)
{
	static const char *const name[] = {"", "q1", "q2", "q3"};

	routes_setup(state);
	routes_start_vm(VMS);
	for (int n = 1; n <= VMS; n++)
		caller_init(&caller[n], HTTP_PORT(n), name[n]);
	put_manifest(RATE, BURST);
	harness_sleep_ms(PROPAGATION_MS);
	return 0;
}

static struct call send_keyed(int n, const char *key_line)
{
	struct call_request req = {
		.method = "GET", .path = "/keyed/plain", .headers = key_line};

	return caller_send(&caller[n], &req);
}

static void begin_demand(void)
{
	/* VMs close connections that were idle meanwhile. */
	for (int n = 1; n <= VMS; n++)
		caller_close(&caller[n]);
	memset(&demand, 0, sizeof(demand));
	demand.runs_before = routes_runs_of_s();
	demand.began_ms = prl_now_ms();
}

/* Sends a request of the limited workspace to VM n. Returns 1 if it is served;
 * 0 if it is told to come back later. */
static int ask(int n)
{
	struct call call = send_keyed(n, KEY_LINE("acme"));

	demand.asked++;
	assert_int_equal(call.end, CALL_ANSWERED);
	if (call.status != 200) {
		assert_int_equal(call.status, 429);
		assert_string_equal(call.outcome, "not-run");
		assert_true(call.retry_after_s > 0);
		return 0;
	}
	assert_true(demand.nserved < SERVED_MAX);
	demand.served[demand.nserved++] = (struct served){
		.sent_ms = call.sent_ms, .ended_ms = call.ended_ms};
	return 1;
}

/* Sends requests to the VMs from "first" to "last" in turn. */
static void ask_for(int first, int last, int ms)
{
	int64_t until_ms = prl_now_ms() + ms;

	while (prl_now_ms() < until_ms) {
		for (int n = first; n <= last; n++)
			ask(n);
		harness_sleep_ms(PAUSE_MS);
	}
}

static void end_demand(void)
{
	demand.ended_ms = prl_now_ms();
	print_message("asked %d, served %d in %lld ms\n", demand.asked,
		      demand.nserved,
		      (long long)(demand.ended_ms - demand.began_ms));
}

/* Requests that the quota and the bounds allow within a time, in thousandths.
 */
static int64_t allowed_milli(int rate, int burst, int64_t ms)
{
	int64_t quota = rate * ms + burst * 1000;

	return quota + quota * OVERAGE_PERCENT / 100 + SLACK * 1000;
}

/* Fails the test if more ran than allowed within a window, or within any longer
 * time. Each request ran between its sending and its answer. */
static void expect_within(int rate, int burst)
{
	const struct served *s = demand.served;

	for (int i = 0; i < demand.nserved; i++)
		for (int k = i; k < demand.nserved; k++) {
			int64_t ms = s[k].ended_ms - s[i].sent_ms;

			assert_true(
				(k - i + 1) * 1000 <=
				allowed_milli(rate, burst, MAX(ms, WINDOW_MS)));
		}
}

/* Upstreams ran what was served, and "others" more, each once. */
static void expect_runs(int others)
{
	assert_int_equal(routes_runs_of_s() - demand.runs_before,
			 demand.nserved + others);
}

/* Fails the test if less than a part of the quota was served. A slow machine
 * may ask for less than that. */
static void expect_used(int rate, int percent)
{
	int64_t grown = rate * (demand.ended_ms - demand.began_ms) / 1000;

	assert_true(demand.nserved * 100 >= MIN(grown, demand.asked) * percent);
}

static void test_burst_at_one_vm(void **state)
{
	(void)state;
	wait_until_settled();
	begin_demand();
	for (int i = 0; i < BURST; i++)
		assert_true(ask(1));
	ask_for(1, 1, DEMAND_MS);
	end_demand();
	assert_true(demand.nserved < demand.asked);
	expect_within(RATE, BURST);
	expect_used(RATE, USED_PERCENT);
	expect_runs(0);
}

static void test_demand_at_all_vms(void **state)
{
	(void)state;
	harness_sleep_ms(FRESH_MS);
	begin_demand();
	ask_for(1, VMS, DEMAND_MS);
	end_demand();
	assert_true(demand.nserved < demand.asked);
	expect_within(RATE, BURST);
	expect_used(RATE, USED_PERCENT);
	expect_runs(0);
}

/* The other workspaces have a large quota and none. */
static void test_other_workspaces(void **state)
{
	int64_t until_ms = prl_now_ms() + DEMAND_MS / 2;
	int others = 0;

	(void)state;
	begin_demand();
	while (prl_now_ms() < until_ms) {
		for (int n = 1; n <= VMS; n++) {
			ask(n);
			assert_int_equal(
				send_keyed(n, KEY_LINE("birch")).status, 200);
			assert_int_equal(
				send_keyed(n, KEY_LINE("cedar")).status, 200);
			others += 2;
		}
		harness_sleep_ms(PAUSE_MS);
	}
	end_demand();
	assert_true(demand.nserved < demand.asked);
	expect_within(RATE, BURST);
	expect_runs(others);
}

/* One VM hears nothing of the others, which go on later with what they knew. */
static void test_others_are_paused(void **state)
{
	(void)state;
	harness_sleep_ms(FRESH_MS);
	begin_demand();
	ask_for(1, VMS, DEMAND_MS / 3);
	for (int n = 2; n <= VMS; n++) {
		caller_close(&caller[n]);
		kill(routes_vm_pid[n], SIGSTOP);
	}
	ask_for(1, 1, DEMAND_MS);
	for (int n = 2; n <= VMS; n++)
		kill(routes_vm_pid[n], SIGCONT);
	ask_for(1, VMS, DEMAND_MS);
	end_demand();
	expect_within(RATE, BURST);
	expect_runs(0);
}

static void test_limit_is_lowered(void **state)
{
	(void)state;
	put_manifest(LOW_RATE, LOW_BURST);
	ask_for(1, VMS, PROPAGATION_MS + WINDOW_MS);
	begin_demand();
	ask_for(1, VMS, DEMAND_MS);
	end_demand();
	expect_within(LOW_RATE, LOW_BURST);
	expect_used(LOW_RATE, USED_PERCENT);
	expect_runs(0);
	put_manifest(RATE, BURST);
	harness_sleep_ms(PROPAGATION_MS);
}

/* The part of the VM that is lost is withheld, since others can't
 * tell that from one that they do not reach. */
static void test_aggregator_is_lost(void **state)
{
	int lost;
	int first;
	int last;

	(void)state;
	wait_until_settled();
	lost = find_aggregator(VMS);
	assert_in_range(lost, 1, VMS);
	first = lost == 1 ? 2 : 1;
	last = lost == VMS ? VMS - 1 : VMS;
	begin_demand();
	ask_for(lost, lost, DEMAND_MS / 6);
	harness_kill(routes_vm_pid[lost], SIGKILL);
	for (int64_t until_ms = prl_now_ms() + 2 * DEMAND_MS;
	     prl_now_ms() < until_ms;) {
		ask(first);
		ask(last);
		harness_sleep_ms(PAUSE_MS);
	}
	end_demand();
	expect_within(RATE, BURST);
	expect_used(RATE, USED_PERCENT * (VMS - 1) / VMS);
	expect_runs(0);
	routes_start_vm(lost);
}

/* Requests that another VM passes on count once. Runs last, since it gives a VM
 * another store. */
static void test_relayed_requests(void **state)
{
	int64_t relays;

	(void)state;
	harness_kill(routes_vm_pid[ISOLATED_VM], SIGKILL);
	isolated_start();
	routes_use_store(ISOLATED_STORE_PORT);
	put_manifest(RATE, BURST);
	routes_use_store(STORE_PORT);
	put_manifest(RATE, BURST);
	wait_until_settled();
	isolated_cut();
	relays = harness_metric(METRICS_PORT(ISOLATED_VM), "relays_sent");
	begin_demand();
	ask_for(ISOLATED_VM, ISOLATED_VM, DEMAND_MS);
	end_demand();
	relays = harness_metric(METRICS_PORT(ISOLATED_VM), "relays_sent") -
		 relays;
	assert_true(relays * 100 >= demand.nserved * USED_PERCENT);
	assert_true(demand.nserved < demand.asked);
	expect_within(RATE, BURST);
	expect_used(RATE, USED_PERCENT);
	expect_runs(0);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burst_at_one_vm),
		cmocka_unit_test(test_demand_at_all_vms),
		cmocka_unit_test(test_other_workspaces),
		cmocka_unit_test(test_others_are_paused),
		cmocka_unit_test(test_limit_is_lowered),
		cmocka_unit_test(test_aggregator_is_lost),
		cmocka_unit_test(test_relayed_requests),
	};

	(void)argc;
	harness_init(argv[0]);
	routes_more_sections = "[bound 2]\nis = quota_window_s=5\n"
			       "[bound 3]\nis = quota_overage=0.1\n"
			       "[bound 4]\nis = quota_slack=10\n";
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
