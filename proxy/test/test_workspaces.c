/* Keys and names of workspaces: what a caller needs, and what is passed on. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "caller.h"
#include "fixture.h"
#include "responses.h"
#include "scripted.h"
#include <cmocka.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which the listener reads a head that is not complete, in ms, with
 * a margin. */
#define HEAD_PART_MS 1200

static struct caller caller;
static struct caller relaying;
static struct caller_response response;
static int serial;

/* Head of the last request that arrived. */
static char head[SCRIPTED_HEAD_MAX];
static pthread_mutex_t head_lock = PTHREAD_MUTEX_INITIALIZER;

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	pthread_mutex_lock(&head_lock);
	strcpy(head, request->head);
	pthread_mutex_unlock(&head_lock);
	out->len = response_format(response_plain("GET"), request->id, 0,
				   out->bytes, sizeof(out->bytes));
	out->runs = 1;
}

static int setup(void **state)
{
	(void)state;
	caller.port = fixture_start(scripted_start(reply));
	relaying.port = fixture_relay_port();
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	caller_finish(&caller);
	caller_finish(&relaying);
	fixture_stop();
	scripted_stop();
	return 0;
}

static int add_workspaces(void **state)
{
	(void)state;
	fixture_set_workspaces("key-of-alpha");
	return 0;
}

/* Sends a request with these fields. Returns the status; 0 if a request that
 * was refused arrived somewhere. */
static int request(struct caller *c, const char *path, const char *fields)
{
	char id[SCRIPTED_ID_MAX];
	int arrived;

	snprintf(id, sizeof(id), "w%07d", ++serial);
	c->fields = fields;
	caller_request(c, "GET", path, id, 0, &response);
	arrived = scripted_count_arrivals(id);
	return arrived == (response.status == 200) ? response.status : 0;
}

static int count_in_head(const char *text)
{
	int n = 0;

	pthread_mutex_lock(&head_lock);
	for (const char *at = head; (at = strstr(at, text)); at++)
		n++;
	pthread_mutex_unlock(&head_lock);
	return n;
}

static void expect_name_and_no_key(const char *line)
{
	assert_int_equal(count_in_head(line), 1);
	assert_int_equal(count_in_head("X-Tenant-Name"), 1);
	assert_int_equal(count_in_head("key-of"), 0);
}

/* Without workspaces these are headers like all others. */
static void test_headers_of_no_workspace_are_dropped(void **state)
{
	(void)state;
	assert_int_equal(request(&caller, "/safe/a",
				 "Api-Key: k\r\nX-Tenant-Name: n\r\n"),
			 200);
	assert_int_equal(count_in_head("\r\nApi-Key: k"), 1);
	assert_int_equal(count_in_head("\r\nX-Tenant-Name: n"), 1);
	assert_int_equal(request(&caller, "/safe/a", ""), 200);
}

/* The name is that of the key, whatever the caller says. */
static void test_key_is_passed_on(void **state)
{
	(void)state;
	assert_int_equal(
		request(&caller, "/safe/a", "Api-Key: key-of-alpha\r\n"), 200);
	expect_name_and_no_key("\r\nX-Tenant-Name: alpha");
	assert_int_equal(request(&caller, "/safe/a",
				 "api-key: key-of-beta\r\n"
				 "x-tenant-name: alpha\r\n"),
			 200);
	expect_name_and_no_key("\r\nX-Tenant-Name: beta");
	assert_int_equal(count_in_head("x-tenant-name"), 0);
}

static void test_request_without_a_valid_key_runs(void **state)
{
	static const char *const fields[] = {
		"",
		"Api-Key:\r\n",
		"Api-Key: key-of-nobody\r\n",
		"Api-Key: Key-of-alpha\r\n",
		"Api-Key: key-of-alph\r\n",
		"Api-Key: key-of-alpha2\r\n",
		"Api-Key: key-of-alpha, key-of-beta\r\n",
		"Api-Key: key-of-alpha\r\nApi-Key: key-of-alpha\r\n",
		"Api-Key: key-of-alpha\r\napi-key: key-of-beta\r\n",
		"X-Tenant-Name: alpha\r\n",
		"Relay-Attempts: 2; workspace\r\nX-Tenant-Name: alpha\r\n",
	};
	char long_key[2048];

	(void)state;
	for (size_t i = 0; i < sizeof(fields) / sizeof(*fields); i++) {
		assert_int_equal(request(&caller, "/safe/a", fields[i]), 401);
		assert_string_equal(response.outcome, "not-run");
	}
	snprintf(long_key, sizeof(long_key), "Api-Key: %01500d\r\n", 7);
	assert_int_equal(request(&caller, "/safe/a", long_key), 401);
	assert_int_equal(request(&caller, "/none/a", ""), 404);
}

/* A public route needs no key, and its upstream learns of none. */
static void test_public_route_needs_a_key(void **state)
{
	(void)state;
	assert_int_equal(request(&caller, "/open/a", ""), 200);
	assert_int_equal(request(&caller, "/open/a",
				 "Api-Key: key-of-alpha\r\n"
				 "X-Tenant-Name: beta\r\n"),
			 200);
	assert_int_equal(count_in_head("X-Tenant-Name"), 0);
	assert_int_equal(count_in_head("Api-Key"), 0);
}

static void test_workspace_is_served_outside_its_homes(void **state)
{
	(void)state;
	assert_int_equal(
		request(&caller, "/safe/a", "Api-Key: key-of-homeless\r\n"),
		503);
	assert_string_equal(response.outcome, "not-run");
	assert_int_equal(
		request(&caller, "/near/a", "Api-Key: key-of-remote\r\n"), 503);
	assert_string_equal(response.outcome, "not-run");
	assert_int_equal(
		request(&caller, "/safe/a", "Api-Key: key-of-remote\r\n"), 503);
	assert_int_equal(
		request(&caller, "/near/a", "Api-Key: key-of-beta\r\n"), 200);
}

/* Another VM gets the name in place of the key. */
static void test_key_is_relayed(void **state)
{
	(void)state;
	fixture_set_hop(FIXTURE_PEER);
	request(&caller, "/safe/a",
		"Api-Key: key-of-alpha\r\nRelay-Attempts: 9\r\n");
	expect_name_and_no_key("\r\nX-Tenant-Name: alpha");
	assert_int_equal(count_in_head("\r\nRelay-Attempts: 3; workspace"), 1);
	request(&caller, "/open/a", "Api-Key: key-of-alpha\r\n");
	assert_int_equal(count_in_head("workspace"), 0);
	assert_int_equal(count_in_head("key-of"), 0);
	fixture_set_hop(FIXTURE_UPSTREAM);
}

/* The name counts only where the other VM says that it is its own: VMs of an
 * earlier build pass on what the caller sent. */
static void test_name_of_a_caller_is_believed(void **state)
{
	(void)state;
	assert_int_equal(request(&relaying, "/safe/a",
				 "Relay-Attempts: 2; workspace\r\n"
				 "X-Tenant-Name: alpha\r\n"),
			 200);
	expect_name_and_no_key("\r\nX-Tenant-Name: alpha");
	assert_int_equal(count_in_head("Relay-"), 0);
	assert_int_equal(request(&relaying, "/safe/a",
				 "Relay-Attempts: 2\r\n"
				 "X-Tenant-Name: alpha\r\n"),
			 401);
	assert_string_equal(response.outcome, "not-run");
	assert_int_equal(request(&relaying, "/safe/a",
				 "Relay-Attempts: 2\r\n"
				 "Api-Key: key-of-beta\r\n"
				 "X-Tenant-Name: alpha\r\n"),
			 200);
	expect_name_and_no_key("\r\nX-Tenant-Name: beta");
}

/* The sender then tries another VM, which it does not after a 503. */
static void test_unknown_name_of_another_vm_runs(void **state)
{
	(void)state;
	assert_int_equal(request(&relaying, "/safe/a",
				 "Relay-Attempts: 2; workspace\r\n"
				 "X-Tenant-Name: gamma\r\n"),
			 404);
	assert_string_equal(response.outcome, "not-run");
	assert_int_equal(request(&relaying, "/safe/a",
				 "Relay-Attempts: 2; workspace\r\n"
				 "X-Tenant-Name: Alpha\r\n"),
			 404);
}

static void send_text(int fd, const char *text)
{
	size_t n = strlen(text);

	assert_int_equal(send(fd, text, n, MSG_NOSIGNAL), n);
}

/* The head may come long after the request's first line. */
static void test_key_of_an_older_version_is_valid(void **state)
{
	char text[1024] = "";

	(void)state;
	assert_int_equal(
		request(&caller, "/safe/a", "Api-Key: key-of-alpha\r\n"), 200);
	send_text(caller.fd, "GET /safe/a HTTP/1.1\r\nHost: h\r\n");
	usleep(HEAD_PART_MS * 1000);
	fixture_set_workspaces("another-key-of-alpha");
	send_text(caller.fd, "X-Request-Id: late\r\n"
			     "Api-Key: key-of-alpha\r\n\r\n");
	assert_true(recv(caller.fd, text, sizeof(text) - 1, 0) > 0);
	assert_memory_equal(text, "HTTP/1.1 401 ", 13);
	assert_int_equal(scripted_count_arrivals("late"), 0);
	caller_finish(&caller);
	assert_int_equal(request(&caller, "/safe/a",
				 "Api-Key: another-key-of-alpha\r\n"),
			 200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_headers_of_no_workspace_are_dropped),
		cmocka_unit_test_setup(test_key_is_passed_on, add_workspaces),
		cmocka_unit_test(test_request_without_a_valid_key_runs),
		cmocka_unit_test(test_public_route_needs_a_key),
		cmocka_unit_test(test_workspace_is_served_outside_its_homes),
		cmocka_unit_test(test_key_is_relayed),
		cmocka_unit_test(test_name_of_a_caller_is_believed),
		cmocka_unit_test(test_unknown_name_of_another_vm_runs),
		cmocka_unit_test(test_key_of_an_older_version_is_valid),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
