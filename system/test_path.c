/* Requests from caller to upstream: complete responses, idempotency keys,
 * publications, and callers that disconnect. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "path.h"
#include <cmocka.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

static void test_answers_are_whole(void **state)
{
	const char *small[] = {"--requests=400", "--callers=8", NULL};
	const char *up[] = {"--requests=4", "--callers=2", "--method=PUT",
			    "--upload=67108864", NULL};
	const char *down[] = {"--requests=4", "--callers=2", "--size=67108864",
			      NULL};

	(void)state;
	path_run_load(small);
	assert_int_equal(harness_json_int(path_output, "ok"), 400);
	assert_int_equal(path_publish_and_wait(path_long_deadline_service), 0);
	path_run_load(up);
	assert_int_equal(harness_json_int(path_output, "ok"), 4);
	path_run_load(down);
	assert_int_equal(harness_json_int(path_output, "ok"), 4);
	assert_int_equal(path_publish_and_wait(path_service), 0);
}

/* A response that is streamed to the caller carries the outcome in its head. */
static void test_long_answer_says_that_it_ran(void **state)
{
	struct http_response resp = harness_send_request(&(struct http_request){
		.url = VM1_URL "/x?size=4194304", .host = "s"});

	(void)state;
	assert_int_equal(resp.status, 200);
	assert_string_equal(resp.outcome, "ran");
}

static void test_bad_requests_are_told(void **state)
{
	struct http_response resp;

	(void)state;
	resp = harness_send_request(
		&(struct http_request){.url = VM1_URL "/x", .host = "nobody"});
	assert_int_equal(resp.status, 404);
	assert_string_equal(resp.outcome, "not-run");
	resp = harness_send_request(
		&(struct http_request){.url = VM1_URL "/accept",
				       .host = "s",
				       .method = "POST",
				       .body = "x"});
	assert_int_equal(resp.status, 400);
	assert_string_equal(resp.outcome, "not-run");
	resp = harness_send_request(
		&(struct http_request){.url = VM1_URL "/-/lookup?service=zz"});
	assert_int_equal(resp.status, 404);
	resp = harness_send_request(
		&(struct http_request){.url = VM1_URL "/-/lookup?service=s"});
	assert_int_equal(resp.status, 200);
	assert_non_null(strstr(resp.body, "\"vms\":[{"));
	resp = harness_send_request(
		&(struct http_request){.url = VM1_URL "/-/zz"});
	assert_int_equal(resp.status, 404);
	resp = harness_send_request(
		&(struct http_request){.url = VM1_URL "/-/health"});
	assert_int_equal(resp.status, 200);
}

/* Deadlines that have passed, and some of which the distance from now is no
 * 64-bit number: nothing runs after them. */
static void test_passed_deadlines_are_kept(void **state)
{
	static const char *const passed[] = {
		"Request-Deadline: 0", "Request-Deadline: 1000",
		"Request-Deadline: -1",
		"Request-Deadline: -9223372036854775808",
		"Request-Deadline: -99999999999999999999999"};

	(void)state;
	for (size_t i = 0; i < sizeof(passed) / sizeof(passed[0]); i++) {
		const char *const headers[] = {passed[i], NULL};
		struct http_response resp = harness_send_request(&(
			struct http_request){
			.url = VM1_URL "/x", .host = "s", .headers = headers});

		print_message("%s: %d\n", passed[i], resp.status);
		assert_int_equal(resp.status, 504);
		assert_string_equal(resp.outcome, "not-run");
	}
}

/* A percent-encoded path matches the same never_twice rule as the plain one. */
static void test_escapes_do_not_hide_a_rule(void **state)
{
	struct http_request req = {.method = "POST",
				   .url = VM1_URL "/%61ccept?a=%20b&c",
				   .host = "s",
				   .body = "x"};

	(void)state;
	assert_int_equal(harness_send_request(&req).status, 400);
	req.idempotency_key = "escaped-1";
	assert_int_equal(harness_send_request(&req).status, 200);
	assert_int_equal(path_post_accept(2, "escaped-1").status, 409);
	assert_int_equal(path_runs_of_key("escaped-1"), 1);
}

struct duplicate_request {
	pthread_t thread;
	int vm;
	const char *key;
	struct http_response resp;
};

static void *send_duplicate(void *arg)
{
	struct duplicate_request *dup = arg;

	dup->resp = path_post_accept(dup->vm, dup->key);
	return NULL;
}

/* Nine concurrent requests with one key through three VMs: one runs, the others
 * are rejected with 409. */
static void test_same_key_runs_once(void **state)
{
	(void)state;
	for (int round = 0; round < 10; round++) {
		struct duplicate_request dup[9];
		char key[32];
		int ok = 0;

		snprintf(key, sizeof(key), "same-%d", round);
		for (int i = 0; i < 9; i++) {
			dup[i] = (struct duplicate_request){.vm = 1 + i % 3,
							    .key = key};
			pthread_create(&dup[i].thread, NULL, send_duplicate,
				       &dup[i]);
		}
		for (int i = 0; i < 9; i++) {
			pthread_join(dup[i].thread, NULL);
			ok += dup[i].resp.status == 200;
			if (dup[i].resp.status != 200)
				assert_int_equal(dup[i].resp.status, 409);
		}
		assert_int_equal(ok, 1);
		assert_int_equal(path_runs_of_key(key), 1);
	}
}

/* The upstream runs the request and closes the connection without a response:
 * the outcome is unknown, and the key is not run again. */
static void test_closed_without_answer(void **state)
{
	struct http_response resp;

	(void)state;
	for (int i = 0; i < 3; i++)
		path_set_upstream(i, "close=1");
	resp = path_post_accept(1, "closed-1");
	assert_string_equal(resp.outcome, "unknown");
	assert_int_equal(resp.status, 502);
	assert_int_equal(path_runs_of_key("closed-1"), 1);
	resp = path_post_accept(2, "closed-1");
	assert_int_equal(resp.status, 409);
	assert_string_equal(resp.outcome, "unknown");
	assert_int_equal(path_runs_of_key("closed-1"), 1);
	for (int i = 0; i < 3; i++)
		path_set_upstream(i, "close=0");
}

/* A repeated request is rejected with the outcome and the status of the first
 * one, at every VM. */
static void test_replay_is_told_the_first_outcome(void **state)
{
	struct http_response resp = path_post_accept(1, "replay-1");

	(void)state;
	assert_int_equal(resp.status, 200);
	assert_string_equal(resp.outcome, "ran");
	for (int vm = 1; vm <= 3; vm++) {
		for (int tries = 0; tries < 50; tries++) {
			resp = path_post_accept(vm, "replay-1");
			if (!strcmp(resp.outcome, "ran"))
				break;
			harness_sleep_ms(20);
		}
		assert_int_equal(resp.status, 409);
		assert_string_equal(resp.outcome, "ran");
		assert_int_equal(resp.first_status, 200);
	}
	assert_int_equal(path_runs_of_key("replay-1"), 1);
}

/* An upstream that responds 503 with Request-Outcome: not-run did not run the
 * request. */
static void test_refusal_is_not_run(void **state)
{
	struct http_response resp;

	(void)state;
	for (int i = 0; i < 3; i++)
		path_set_upstream(i, "refuse=1");
	resp = path_post_accept(1, "refused-1");
	assert_int_equal(resp.status, 503);
	assert_string_equal(resp.outcome, "not-run");
	assert_int_equal(path_runs_of_key("refused-1"), 0);
	for (int i = 0; i < 3; i++)
		path_set_upstream(i, "refuse=0");
	/* The key is released once the claim log records the outcome. */
	resp = path_retry_accept(2, "refused-1", 980);
	assert_int_equal(resp.status, 200);
	assert_int_equal(path_runs_of_key("refused-1"), 1);
}

/* After an upstream was killed, at most 5 of 200 requests fail. */
static void test_dead_upstream_is_passed_over(void **state)
{
	const char *small[] = {"--requests=200", "--callers=4", NULL};

	(void)state;
	harness_kill(path_upstream_pid[0], SIGKILL);
	path_run_load(small);
	assert_true(harness_json_int(path_output, "ok") >= 195);
	path_upstream_pid[0] = fleet_start_upstream(UPSTREAM_PORT_BASE, 6);
}

static void test_conflicting_publications(void **state)
{
	char text[2048];

	(void)state;
	snprintf(text, sizeof(text), "%s# changed\n", path_service);
	harness_write_file("s.ini", text);
	assert_int_equal(
		harness_run(path_output, sizeof(path_output), "primroselead",
			    "publish", "--store=" LOOPBACK "7000",
			    "--expect=999999", harness_path("s.ini"), NULL),
		7);
	assert_non_null(strstr(path_output, "version 999999 was expected"));
	assert_non_null(strstr(path_output, "is in force"));
}

static void test_bad_file_changes_nothing(void **state)
{
	char before[65536];
	char after[65536];

	(void)state;
	harness_run(before, sizeof(before), "primroselead", "show",
		    "--store=" LOOPBACK "7000", "s", NULL);
	assert_int_equal(path_publish("[service]\nname = s\ndeadlin = 1\n"), 3);
	assert_non_null(
		strstr(path_output, "nearest known key is \"deadline\""));
	harness_run(after, sizeof(after), "primroselead", "show",
		    "--store=" LOOPBACK "7000", "s", NULL);
	assert_string_equal(before, after);
}

/* The response to a write is lost: the command finds by reading that the write
 * took effect. */
static void test_lost_answer_is_settled(void **state)
{
	char text[2048];
	int64_t writes;

	(void)state;
	snprintf(text, sizeof(text), "%s# again\n", path_service);
	path_set_store_faults("lose=1");
	writes = harness_json_int(path_output, "writes");
	assert_int_equal(path_publish(text), 0);
	assert_non_null(strstr(path_output, "replaced by version"));
	path_set_store_faults("lose=0");
	assert_true(harness_json_int(path_output, "writes") > writes);
	harness_run(path_output, sizeof(path_output), "primroselead", "history",
		    "--store=" LOOPBACK "7000", "s", NULL);
	assert_non_null(strstr(path_output, "by test"));
}

static void test_status_shows_all(void **state)
{
	(void)state;
	assert_int_equal(harness_run(path_output, sizeof(path_output),
				     "primroselead", "status",
				     "--vm=" LOOPBACK "7101", NULL),
			 0);
	assert_non_null(strstr(path_output, "vm1"));
	assert_non_null(strstr(path_output, "vm3"));
	assert_non_null(strstr(path_output, "capacity 12"));
	assert_non_null(strstr(path_output, LOOPBACK "7302"));
}

/* When callers disconnect, their requests are cancelled and the upstreams'
 * slots are released. */
static void test_caller_leaves(void **state)
{
	struct http_response resp;
	char url[96];

	(void)state;
	for (int i = 0; i < 12; i++) {
		snprintf(url, sizeof(url), VM1_URL "/x?work=6000");
		resp = harness_send_request(&(struct http_request){
			.url = url, .host = "s", .timeout_ms = 100});
		assert_int_equal(resp.status, 0);
	}
	harness_sleep_ms(1000);
	assert_true(harness_metric(PORT_BASE + 1, "requests_cancelled") >= 10);
	assert_int_equal(path_upstream_stat(0, "running") +
				 path_upstream_stat(1, "running") +
				 path_upstream_stat(2, "running"),
			 0);
	resp = harness_send_request(
		&(struct http_request){.url = VM1_URL "/x", .host = "s"});
	assert_int_equal(resp.status, 200);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_answers_are_whole),
		cmocka_unit_test(test_long_answer_says_that_it_ran),
		cmocka_unit_test(test_bad_requests_are_told),
		cmocka_unit_test(test_escapes_do_not_hide_a_rule),
		cmocka_unit_test(test_same_key_runs_once),
		cmocka_unit_test(test_closed_without_answer),
		cmocka_unit_test(test_replay_is_told_the_first_outcome),
		cmocka_unit_test(test_refusal_is_not_run),
		cmocka_unit_test(test_dead_upstream_is_passed_over),
		cmocka_unit_test(test_conflicting_publications),
		cmocka_unit_test(test_bad_file_changes_nothing),
		cmocka_unit_test(test_passed_deadlines_are_kept),
		cmocka_unit_test(test_lost_answer_is_settled),
		cmocka_unit_test(test_status_shows_all),
		cmocka_unit_test(test_caller_leaves),
	};
	int rc;

	(void)argc;
	harness_init(argv[0]);
	rc = cmocka_run_group_tests(tests, path_setup, path_teardown);
	harness_finish();
	return rc;
}
