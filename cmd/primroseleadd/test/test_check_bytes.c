/* Responses to health checks that end, or begin again, at any byte. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "check.h"
#include "control.h"
#include "scripted.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <string.h>

#define CHECK_TIMEOUT_MS 2000

/* Cases of a test that are reported one by one. */
#define REPORTS_MAX 5

#define OWN "X-Instance-Id: i-1\r\n"

/* A whole response to a check. */
struct response_kind {
	const char *name;
	const char *bytes;
	int status;
	/* The end of the connection ends it. */
	int is_until_close;
};

static const struct response_kind kinds[] = {
	{"healthy",
	 "HTTP/1.1 200 OK\r\n" OWN "X-Server-Load: 3,0,8\r\n"
	 "Content-Length: 2\r\n\r\nok",
	 200, 0},
	{"cold",
	 "HTTP/1.1 200 OK\r\n" OWN "X-Cold-Remaining-Ms: 4000\r\n"
	 "Content-Length: 0\r\n\r\n",
	 200, 0},
	{"limited",
	 "HTTP/1.1 200 OK\r\n" OWN "Server-Limit: 100\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	 200, 0},
	{"leaving",
	 "HTTP/1.1 503 Service Unavailable\r\n" OWN "Server-Leaving: 1\r\n"
	 "Content-Length: 0\r\n\r\n",
	 503, 0},
	{"busy",
	 "HTTP/1.1 429 Too Many Requests\r\n" OWN "X-Not-Executed: 1\r\n"
	 "Retry-After: 5\r\nContent-Length: 0\r\n\r\n",
	 429, 0},
	{"until close", "HTTP/1.1 200 OK\r\n" OWN "\r\nok", 200, 1},
};

/* The server's next reply; written while no check is in flight. */
static struct {
	const char *bytes;
	size_t len;
	enum scripted_end end;
	/* Sent once more before the response to the next check. */
	const char *surplus;
	size_t surplus_len;
	int is_late;
	int is_next;
	/* The check's id is put in for "%s". */
	int names_check;
	/* Bytes that follow the response. */
	size_t fill_len;
} plan;

static const char next_bytes[] =
	"HTTP/1.1 200 OK\r\n" OWN "X-Server-Load: 7,7,7\r\n"
	"Content-Length: 0\r\n\r\n";

static struct control control;
static struct check check;
static int port;
static int ended;
static int last_answered;
static int nfailed;

uint64_t control_random(void)
{
	static uint64_t n;

	return ++n;
}

static void append(struct scripted_reply *out, const char *bytes, size_t len)
{
	memcpy(out->bytes + out->len, bytes, len);
	out->len += len;
}

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	if (plan.is_next) {
		if (!plan.is_late && request->uses_before)
			append(out, plan.surplus, plan.surplus_len);
		append(out, next_bytes, strlen(next_bytes));
		return;
	}
	if (plan.names_check)
		out->len = (size_t)snprintf(out->bytes, sizeof(out->bytes),
					    plan.bytes, request->id);
	else
		append(out, plan.bytes, plan.len);
	out->end = plan.end;
	out->fill_len = plan.fill_len;
	if (!plan.is_late)
		return;
	memcpy(out->then, plan.surplus, plan.surplus_len);
	out->then_len = plan.surplus_len;
	out->then_delay_ms = 1;
}

static void on_done(struct check *k, int answered)
{
	(void)k;
	ended = 1;
	last_answered = answered;
}

/* Returns whether the upstream answered. */
static int run_check(void)
{
	struct prl_error err = {0};

	ended = 0;
	check.deadline_ms = prl_now_ms() + CHECK_TIMEOUT_MS;
	assert_int_equal(check_start(&check, &err), PRL_OK);
	while (!ended)
		loop_run_once(&control.loop, PRL_NEVER);
	return last_answered;
}

static void report(const char *what, const struct response_kind *k, size_t n)
{
	if (nfailed++ < REPORTS_MAX)
		print_message("%s: %s at byte %zu, status %d\n", what, k->name,
			      n, check.status);
}

/* Whether the check learned anything of the upstream. */
static int has_news(const struct check *k)
{
	struct fleet_response_meta none;

	platform_response_meta_init(&none);
	return k->status || k->response.instance[0] || k->response.not_run ||
	       k->response.leaving ||
	       k->response.cold_time_left_ms != none.cold_time_left_ms ||
	       k->response.rate_limit_milli != none.rate_limit_milli ||
	       k->response.retry_after_ms != none.retry_after_ms ||
	       k->response.slots != none.slots;
}

static void plan_response(const struct response_kind *k)
{
	memset(&plan, 0, sizeof(plan));
	plan.bytes = k->bytes;
	plan.len = strlen(k->bytes);
	plan.end = k->is_until_close ? SCRIPTED_CLOSE : SCRIPTED_KEEP;
}

static void test_whole_response_is_not_taken(void **state)
{
	(void)state;
	nfailed = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		plan_response(&kinds[i]);
		if (!run_check() || check.status != kinds[i].status ||
		    !has_news(&check))
			report("not taken", &kinds[i], plan.len);
	}
	assert_int_equal(nfailed, 0);
}

/* Number of bytes from which all that a check asks for is known: a body says
 * nothing, but if its end is known it must come. */
static size_t known_from(const struct response_kind *k)
{
	if (k->is_until_close)
		return (size_t)(strstr(k->bytes, "\r\n\r\n") + 4 - k->bytes);
	return strstr(k->bytes, "chunked") ? strlen(k->bytes) - 1
					   : strlen(k->bytes);
}

static void cut_at_every_byte(const struct response_kind *k,
			      enum scripted_end end)
{
	plan_response(k);
	plan.end = end;
	for (size_t n = 0; n < known_from(k); n++) {
		plan.len = n;
		if (run_check())
			report("taken for whole", k, n);
		else if (has_news(&check))
			report("news of a broken response", k, n);
	}
}

static void test_response_that_ends_early_is_taken_for_whole(void **state)
{
	(void)state;
	nfailed = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		cut_at_every_byte(&kinds[i], SCRIPTED_CLOSE);
		cut_at_every_byte(&kinds[i], SCRIPTED_RESET);
	}
	assert_int_equal(nfailed, 0);
}

static void repeat(const struct response_kind *k, size_t at, size_t len,
		   int is_late)
{
	plan_response(k);
	plan.surplus = k->bytes + at;
	plan.surplus_len = len;
	plan.is_late = is_late;
	if (!run_check() || check.status != k->status)
		report("not taken", k, len);
	plan.is_next = 1;
	if (!run_check() || check.status != 200 || check.response.slots != 7)
		report("the next check has another's response", k, len);
}

static void test_earlier_response_answers_the_next_check(void **state)
{
	(void)state;
	nfailed = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		size_t len = strlen(kinds[i].bytes);

		for (size_t n = 1; n <= len && !kinds[i].is_until_close; n++) {
			repeat(&kinds[i], 0, n, 0);
			repeat(&kinds[i], len - n, n, 0);
			repeat(&kinds[i], n % 2 ? 0 : len - n, n, 1);
		}
	}
	assert_int_equal(nfailed, 0);
}

/* A response that names another instance, or another request, is not the
 * upstream's. */
static void test_response_of_another_is_taken(void **state)
{
	static const char *const others[] = {
		"HTTP/1.1 200 OK\r\nX-Instance-Id: i-2\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" OWN "X-Request-Id: health-other\r\n"
		"Content-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n" OWN "\r\n"
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	};

	(void)state;
	memset(&plan, 0, sizeof(plan));
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		plan.bytes = others[i];
		plan.len = strlen(others[i]);
		assert_int_equal(run_check(), 0);
	}
}

static const char *const bad_statuses[] = {"000", "001", "099", "600", "999",
					   "2x0", "20",	 "0",	"-200"};

static void test_status_that_is_none_is_taken(void **state)
{
	char text[200];

	(void)state;
	memset(&plan, 0, sizeof(plan));
	plan.bytes = text;
	plan.end = SCRIPTED_CLOSE;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_statuses); i++) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 %s OK\r\n" OWN "Content-Length: 0\r\n\r\n",
			 bad_statuses[i]);
		plan.len = strlen(text);
		assert_int_equal(run_check(), 0);
		assert_int_equal(check.status, 0);
	}
}

static void test_response_of_two_is_taken(void **state)
{
	static const char *const both[] = {
		"HTTP/1.1 200 OK\r\n" OWN "X-Request-Id: health-other\r\n"
		"X-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Instance-Id: i-2\r\n" OWN
		"X-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
	};

	(void)state;
	memset(&plan, 0, sizeof(plan));
	plan.names_check = 1;
	plan.bytes = "HTTP/1.1 200 OK\r\n" OWN "X-Request-Id: %s\r\n"
		     "Content-Length: 0\r\n\r\n";
	assert_int_equal(run_check(), 1);
	for (size_t i = 0; i < G_N_ELEMENTS(both); i++) {
		plan.bytes = both[i];
		if (run_check())
			fail_msg("response %zu was taken", i);
	}
}

/* A response that does not end must not be collected without end. */
static void test_response_is_received_without_a_bound(void **state)
{
	static const char *const responses[] = {
		"HTTP/1.1 200 OK\r\n" OWN "\r\n",
		"HTTP/1.1 200 OK\r\n" OWN "X-Fill: ",
	};

	(void)state;
	memset(&plan, 0, sizeof(plan));
	plan.fill_len = 1 << 20;
	plan.end = SCRIPTED_CLOSE;
	for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
		plan.bytes = responses[i];
		plan.len = strlen(responses[i]);
		assert_int_equal(run_check(), 0);
		assert_int_not_equal(check.result, CURLE_OK);
		assert_int_equal(check.status, 0);
	}
}

static int setup(void **state)
{
	(void)state;
	port = scripted_start(reply);
	check.control = &control;
	check.done = on_done;
	snprintf(check.instance, sizeof(check.instance), "i-1");
	snprintf(check.address, sizeof(check.address), "127.0.0.1:%d", port);
	check.path = g_strdup("/health");
	return loop_init(&control.loop, NULL) ||
	       fetch_pool_init(&control.fetch_pool, &control.loop, NULL);
}

static int teardown(void **state)
{
	(void)state;
	fetch_pool_finish(&control.fetch_pool);
	loop_finish(&control.loop);
	scripted_stop();
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_response_is_not_taken),
		cmocka_unit_test(
			test_response_that_ends_early_is_taken_for_whole),
		cmocka_unit_test(test_earlier_response_answers_the_next_check),
		cmocka_unit_test(test_response_of_another_is_taken),
		cmocka_unit_test(test_status_that_is_none_is_taken),
		cmocka_unit_test(test_response_of_two_is_taken),
		cmocka_unit_test(test_response_is_received_without_a_bound),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
