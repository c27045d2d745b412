/* A planned stop of a VM: what callers get from the stop signal until the
 * process is gone. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "caller.h"
#include "routes.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/* Time from the stop signal until the platform kills the process, in ms. */
#define GRACE_MS 6000

/* Last part of it, in ms: what ends before it must get its own answer. */
#define END_MARGIN_MS 800

/* First part of the stop, in ms, in which the VM may not have read the signal.
 */
#define SIGNAL_MS 150

/* Time in which a refusal must come, in ms, and its longest Retry-After. */
#define REFUSAL_MS 200
#define RETRY_AFTER_S 0.5

/* Time, in ms, after which a request that the VM has read whole counts as lost
 * if the connection is closed without an answer. */
#define LOSS_SLACK_MS 200

/* Time-out of the route /once/, in ms. */
#define ONCE_TIMEOUT_MS 1500

#define CALLS_MAX 4096

/* A thread that sends requests until the stop is over. */
struct sender {
	pthread_t thread;
	struct caller caller;
	struct call_request request;
	/* Pause between two requests, in ms; negative for a single request. */
	int pause_ms;
	/* Each request is sent over a new connection. */
	int new_connections;
	struct call call[CALLS_MAX];
	int ncall;
};

#define SENDERS_MAX 24
static struct sender senders[SENDERS_MAX];
static int nsender;
static _Atomic int is_over;
static int64_t signalled_ms;

static void *run_sender(void *ctx)
{
	struct sender *s = ctx;

	do {
		struct call call = caller_send(&s->caller, &s->request);

		if (call.end == CALL_UNSENT) {
			harness_sleep_ms(5);
			continue;
		}
		if (s->ncall < CALLS_MAX)
			s->call[s->ncall++] = call;
		if (s->new_connections)
			caller_close(&s->caller);
		if (s->pause_ms > 0)
			harness_sleep_ms(s->pause_ms);
	} while (s->pause_ms >= 0 && !is_over);
	caller_close(&s->caller);
	return NULL;
}

static struct sender *start_sender(const char *name, int port,
				   struct call_request request, int pause_ms)
{
	struct sender *s = &senders[nsender++];

	memset(s, 0, sizeof(*s));
	caller_init(&s->caller, port, name);
	s->request = request;
	s->pause_ms = pause_ms;
	s->new_connections = name[0] == 'n';
	assert_int_equal(pthread_create(&s->thread, NULL, run_sender, s), 0);
	return s;
}

static struct sender *start_call(const char *name, const char *method,
				 const char *path)
{
	struct call_request request = {.method = method, .path = path};

	return start_sender(name, HTTP_PORT(1), request, -1);
}

static void join_senders(void)
{
	is_over = 1;
	for (int i = 0; i < nsender; i++)
		pthread_join(senders[i].thread, NULL);
}

static int begin_test(void **state)
{
	(void)state;
	if (routes_vm_pid[1])
		harness_kill(routes_vm_pid[1], SIGKILL);
	nsender = 0;
	is_over = 0;
	routes_start_vm(1);
	harness_sleep_ms(300);
	return 0;
}

static void stop_vm(void)
{
	signalled_ms = prl_now_ms();
	kill(routes_vm_pid[1], SIGTERM);
}

/* Returns once all threads of the VM stand still. */
static void pause_vm(void)
{
	int status;

	kill(routes_vm_pid[1], SIGSTOP);
	assert_int_equal(waitpid(routes_vm_pid[1], &status, WUNTRACED),
			 routes_vm_pid[1]);
}

static void sleep_until(int ms)
{
	int64_t left_ms = signalled_ms + ms - prl_now_ms();

	if (left_ms > 0)
		harness_sleep_ms((int)left_ms);
}

/* The process must end by itself before the platform kills it. */
static void expect_end(void)
{
	assert_int_equal(harness_wait(routes_vm_pid[1]), 0);
	assert_in_range(prl_now_ms() - signalled_ms, 0, GRACE_MS - 1);
	routes_vm_pid[1] = 0;
	join_senders();
}

/* Returns how often the upstreams ran a request. */
static int count_runs(const char *id)
{
	static char text[1 << 20];
	char line[48];
	char url[80];
	int n = 0;

	snprintf(line, sizeof(line), "%s ", id);
	for (int i = 1; i <= 2; i++) {
		snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/runs",
			 UPSTREAM_PORT(i));
		assert_int_equal(harness_get(url, text, sizeof(text)), 200);
		for (char *at = strtok(text, "\n"); at; at = strtok(NULL, "\n"))
			if (!strncmp(at, line, strlen(line)))
				n += atoi(at + strlen(line));
	}
	return n;
}

static int is_refused(const struct call *c)
{
	return c->status == 503 && !strcmp(c->outcome, "not-run");
}

static int is_complete(const struct call *c)
{
	return c->end == CALL_ANSWERED && c->status == 200 &&
	       c->has_server_stamp;
}

static void print_call(const struct call *c)
{
	print_message("%s %s: sent at %d, ended at %d, end %d, status %d %s, "
		      "ran %d times\n",
		      c->id, c->path, (int)(c->sent_ms - signalled_ms),
		      (int)(c->ended_ms - signalled_ms), c->end, c->status,
		      c->outcome, count_runs(c->id));
}

/* Returns 1 if what became of the request breaks a promise. */
static int is_broken(const struct call *c)
{
	int runs = count_runs(c->id);

	if (!strncmp(c->path, "/once/", 6) && runs > 1)
		return 1;
	if (c->end == CALL_BROKEN)
		return runs || c->ended_ms > c->sent_ms + LOSS_SLACK_MS;
	if (c->status == 503)
		return runs || strcmp(c->outcome, "not-run") != 0;
	return 0;
}

/* Refusals of a VM that stops come at once and send the caller elsewhere. */
static int is_bad_refusal(const struct call *c)
{
	return is_refused(c) && c->sent_ms > signalled_ms + SIGNAL_MS &&
	       (c->ended_ms > c->sent_ms + REFUSAL_MS || !c->closes ||
		c->retry_after_s < 0 || c->retry_after_s > RETRY_AFTER_S);
}

/* Returns the number of requests that the stop failed. All that were sent after
 * it began must get a refusal or their own answer, which says that the
 * connection closes. */
static int count_failures(const struct sender *s)
{
	int failed = 0;

	for (int i = 0; i < s->ncall; i++) {
		const struct call *c = &s->call[i];
		int late = c->sent_ms > signalled_ms + SIGNAL_MS &&
			   c->end == CALL_ANSWERED &&
			   ((!is_refused(c) && !is_complete(c)) || !c->closes);

		if (!is_broken(c) && !is_bad_refusal(c) && !late)
			continue;
		failed++;
		print_call(c);
	}
	return failed;
}

static void expect_no_failures(void)
{
	int failed = 0;

	for (int i = 0; i < nsender; i++)
		failed += count_failures(&senders[i]);
	assert_int_equal(failed, 0);
}

/* Requests that were sent in a part of the stop must be refused, or not be. */
static int expect_in_part(const struct sender *s, int from_ms, int to_ms,
			  int refused)
{
	int n = 0;

	for (int i = 0; i < s->ncall; i++) {
		const struct call *c = &s->call[i];

		if (c->sent_ms < signalled_ms + from_ms ||
		    c->sent_ms >= signalled_ms + to_ms ||
		    c->end != CALL_ANSWERED)
			continue;
		n++;
		if (is_refused(c) != refused)
			print_call(c);
		assert_int_equal(is_refused(c), refused);
	}
	print_message("%s: %d requests from %d to %d ms\n", s->caller.name, n,
		      from_ms, to_ms);
	return n;
}

static void test_requests_of_a_planned_stop_are_cut(void **state)
{
	const struct call_request safe = {.method = "GET",
					  .path = "/safe/plain"};
	const struct call_request once = {.method = "POST",
					  .path = "/once/after-1000"};
	const struct call_request upload = {
		.method = "POST", .path = "/up/after-1500", .body_bytes = 2000};
	struct sender *kept_safe;
	struct sender *kept_upload;
	struct sender *new_once[3];

	(void)state;
	kept_safe = start_sender("kept-safe", HTTP_PORT(1), safe, 20);
	start_sender("kept-once", HTTP_PORT(1), once, 1);
	start_sender("new-safe", HTTP_PORT(1), safe, 50);
	new_once[0] = start_sender("new-once0", HTTP_PORT(1), once, 1);
	harness_sleep_ms(350);
	new_once[1] = start_sender("new-once1", HTTP_PORT(1), once, 1);
	harness_sleep_ms(350);
	new_once[2] = start_sender("new-once2", HTTP_PORT(1), once, 1);
	kept_upload = start_sender("kept-upload", HTTP_PORT(1), upload, 30);
	harness_sleep_ms(300);
	stop_vm();
	sleep_until(1000);
	kill(routes_vm_pid[1], SIGHUP);
	sleep_until(2000);
	kill(routes_vm_pid[1], SIGTERM);
	expect_end();
	expect_no_failures();
	assert_true(expect_in_part(kept_safe, 0, 3000, 0) > 20);
	assert_true(expect_in_part(kept_upload, SIGNAL_MS, GRACE_MS, 1) > 20);
	for (int i = 0; i < 3; i++) {
		expect_in_part(new_once[i], 0,
			       GRACE_MS - END_MARGIN_MS - ONCE_TIMEOUT_MS, 0);
		expect_in_part(new_once[i], GRACE_MS - ONCE_TIMEOUT_MS,
			       GRACE_MS, 1);
	}
}

/* What was taken before the stop and ends in its time gets its own answer, and
 * the rest an answer that says what is known. */
static void test_request_taken_before_a_stop_is_cut(void **state)
{
	struct call_request late_body = {.method = "POST",
					 .path = "/up/plain",
					 .body_bytes = 30000,
					 .body_after_ms = 2500};
	struct sender *upload;
	struct sender *slow;
	struct sender *mute;
	struct sender *stalled;

	(void)state;
	stalled = start_call("stalled", "POST", "/up/stalled");
	upload = start_sender("upload", HTTP_PORT(1), late_body, -1);
	slow = start_call("slow", "POST", "/up/after-4500");
	mute = start_call("mute", "POST", "/up/mute");
	harness_sleep_ms(300);
	stop_vm();
	expect_end();
	for (int i = 0; i < nsender; i++)
		print_call(&senders[i].call[0]);
	assert_true(is_complete(&upload->call[0]));
	assert_true(is_complete(&slow->call[0]));
	assert_int_equal(mute->call[0].end, CALL_ANSWERED);
	assert_int_equal(mute->call[0].status, 502);
	assert_string_equal(mute->call[0].outcome, "unknown");
	/* An answer that has begun can only be broken off. */
	assert_int_equal(stalled->call[0].status, 200);
	assert_int_equal(stalled->call[0].end, CALL_BROKEN);
	assert_true(mute->call[0].ended_ms - signalled_ms >
		    GRACE_MS - END_MARGIN_MS);
}

/* A request that did not run is not sent again if it can't end in time. */
static void test_retry_in_a_stop_is_cut(void **state)
{
	int64_t before = routes_upstream_stat(UPSTREAM_PORT(1), "refused") +
			 routes_upstream_stat(UPSTREAM_PORT(2), "refused");
	struct sender *s;

	(void)state;
	s = start_call("retried", "POST", "/up/shed-1500");
	harness_sleep_ms(300);
	stop_vm();
	expect_end();
	print_call(&s->call[0]);
	assert_true(is_refused(&s->call[0]));
	assert_true(s->call[0].closes);
	assert_int_equal(
		routes_upstream_stat(UPSTREAM_PORT(1), "refused") +
			routes_upstream_stat(UPSTREAM_PORT(2), "refused") -
			before,
		1);
}

static void test_relayed_request_of_a_stop_is_cut(void **state)
{
	const struct call_request upload = {
		.method = "POST",
		.path = "/up/after-1500",
		.headers = "Relay-Attempts: 2\r\nRelayed-By: vm2\r\n"
			   "X-Deadline-Remaining-Ms: 20000\r\n"};
	const struct call_request once = {
		.method = "POST",
		.path = "/once/plain",
		.headers = "Relay-Attempts: 2\r\nRelayed-By: vm2\r\n"
			   "X-Deadline-Remaining-Ms: 1500\r\n"};
	struct sender *relayed_upload;
	struct sender *relayed_once;

	(void)state;
	start_call("slow", "POST", "/up/after-4500");
	relayed_upload = start_sender("kept-far", PORT_BASE + 101, upload, 30);
	relayed_once = start_sender("kept-near", PORT_BASE + 101, once, 30);
	harness_sleep_ms(300);
	stop_vm();
	expect_end();
	expect_no_failures();
	assert_true(expect_in_part(relayed_upload, SIGNAL_MS, GRACE_MS, 1) >
		    20);
	assert_true(expect_in_part(relayed_once, SIGNAL_MS, 3000, 0) > 20);
}

/* The grace time runs from the signal, also while the VM stands still. */
static void test_stop_of_a_paused_vm_is_killed(void **state)
{
	struct sender *mute;

	(void)state;
	mute = start_call("mute-paused", "POST", "/up/mute");
	harness_sleep_ms(300);
	pause_vm();
	stop_vm();
	harness_sleep_ms(2500);
	kill(routes_vm_pid[1], SIGCONT);
	expect_end();
	print_call(&mute->call[0]);
	assert_int_equal(mute->call[0].end, CALL_ANSWERED);
	assert_int_equal(mute->call[0].status, 502);
}

/* A request that came while the VM stood still and was told to stop is not
 * begun if it can't end in time. */
static void test_request_of_a_pause_is_cut(void **state)
{
	struct sender *slow;
	struct sender *fast;
	int64_t continued_ms;

	(void)state;
	start_call("open", "POST", "/up/after-5000");
	harness_sleep_ms(300);
	pause_vm();
	slow = start_call("paused-slow", "POST", "/up/after-2500");
	fast = start_call("paused-fast", "POST", "/once/plain");
	harness_sleep_ms(200);
	stop_vm();
	harness_sleep_ms(800);
	continued_ms = prl_now_ms();
	kill(routes_vm_pid[1], SIGCONT);
	expect_end();
	print_call(&slow->call[0]);
	print_call(&fast->call[0]);
	assert_true(is_refused(&slow->call[0]));
	assert_in_range(slow->call[0].ended_ms - continued_ms, 0, REFUSAL_MS);
	assert_int_equal(count_runs(slow->call[0].id), 0);
	assert_true(is_complete(&fast->call[0]));
}

#define UPLOADS 16

/* Slots of each upstream, so that all uploads are sent on before their bodies
 * have come: half of them is divided among the VMs. */
#define MANY_SLOTS 64

/* Bodies that end about when the process does, 20 ms apart: the VM waits a
 * little for those that are too late for the upstream. */
static void test_body_at_the_end_of_a_stop_is_cut(void **state)
{
	static char name[UPLOADS][16];
	int answered_last = 0;

	(void)state;
	routes_put_slots("i-1", "s", UPSTREAM_PORT(1), MANY_SLOTS, 90);
	routes_put_slots("i-2", "s", UPSTREAM_PORT(2), MANY_SLOTS, 90);
	harness_sleep_ms(PROPAGATION_MS);
	for (int i = 0; i < UPLOADS; i++) {
		struct call_request upload = {.method = "POST",
					      .path = "/up/plain",
					      .body_bytes = 100,
					      .body_after_ms = 5600 + 20 * i};

		snprintf(name[i], sizeof(name[i]), "late%d", i);
		start_sender(name[i], HTTP_PORT(1), upload, -1);
	}
	harness_sleep_ms(300);
	stop_vm();
	expect_end();
	for (int i = 0; i < UPLOADS; i++)
		answered_last +=
			senders[i].ncall && senders[i].call[0].status == 502;
	print_message("%d last answers\n", answered_last);
	assert_true(answered_last > 0);
}

static int setup(void **state)
{
	routes_drain_ms = 5000;
	return routes_setup(state);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_requests_of_a_planned_stop_are_cut,
				       begin_test),
		cmocka_unit_test_setup(test_request_taken_before_a_stop_is_cut,
				       begin_test),
		cmocka_unit_test_setup(test_retry_in_a_stop_is_cut, begin_test),
		cmocka_unit_test_setup(test_relayed_request_of_a_stop_is_cut,
				       begin_test),
		cmocka_unit_test_setup(test_stop_of_a_paused_vm_is_killed,
				       begin_test),
		cmocka_unit_test_setup(test_request_of_a_pause_is_cut,
				       begin_test),
		cmocka_unit_test_setup(test_body_at_the_end_of_a_stop_is_cut,
				       begin_test),
	};

	(void)argc;
	harness_init(argv[0]);
	return cmocka_run_group_tests(tests, setup, routes_teardown);
}
