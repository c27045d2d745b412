/* Pages of a VM that end early at any byte. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "command.h"
#include "scripted.h"
#include <apr_general.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

static const char text[] = "{\"vms\":[\"a\",\"b\"]}\n";

static const char *const heads[] = {
	"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n",
};
static const char *const tails[] = {"", "\r\n0\r\n\r"};

/* The server's next reply; written while no request is active. */
static struct {
	char bytes[1024];
	size_t len;
	enum scripted_end end;
} plan;

static struct command command;
static char address[PRL_ADDRESS_MAX];

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	(void)request;
	memcpy(out->bytes, plan.bytes, plan.len);
	out->len = plan.len;
	out->end = plan.end;
}

static void plan_page(const char *head, const char *tail)
{
	plan.len = (size_t)snprintf(plan.bytes, sizeof(plan.bytes), "%s%s%s",
				    head, text, tail);
	plan.end = SCRIPTED_CLOSE;
}

static enum prl_code fetch(char **page)
{
	return command_fetch_page(&command, address, "/-/status", page);
}

static void test_whole_page_is_not_taken(void **state)
{
	char *page;

	(void)state;
	for (int i = 0; i < 2; i++) {
		plan_page(heads[i], tails[i]);
		assert_int_equal(fetch(&page), PRL_OK);
		assert_string_equal(page, text);
	}
	plan_page("HTTP/1.1 503 Service Unavailable\r\n"
		  "Content-Length: 18\r\n\r\n",
		  "");
	assert_int_equal(fetch(&page), PRL_E_NOT_READY);
}

static void test_page_that_ends_early_is_taken_for_whole(void **state)
{
	int nfailed = 0;
	char *page;

	(void)state;
	for (int i = 0; i < 2; i++) {
		plan_page(heads[i], tails[i]);
		for (size_t len = plan.len; len--;) {
			plan.len = len;
			plan.end = SCRIPTED_CLOSE;
			nfailed += fetch(&page) != PRL_E_IO;
			plan.end = SCRIPTED_RESET;
			nfailed += fetch(&page) != PRL_E_IO;
		}
	}
	assert_int_equal(nfailed, 0);
}

static const char *const bad_statuses[] = {"000", "001", "099", "600", "999",
					   "2x0", "20",	 "0",	"-200"};

static void test_status_that_is_none_is_taken(void **state)
{
	char head[100];
	char *page;

	(void)state;
	for (size_t i = 0; i < sizeof(bad_statuses) / sizeof(bad_statuses[0]);
	     i++) {
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %s OK\r\nContent-Length: 18\r\n\r\n",
			 bad_statuses[i]);
		plan_page(head, "");
		plan.end = SCRIPTED_CLOSE;
		assert_int_equal(fetch(&page), PRL_E_IO);
	}
}

/* VMs give the length of their pages, so that a cut is seen; a page without it
 * may be cut anywhere. */
static void test_page_without_length_is_taken_for_whole(void **state)
{
	char *page;

	(void)state;
	plan_page("HTTP/1.1 200 OK\r\n\r\n", "");
	assert_int_equal(fetch(&page), PRL_E_IO);
}

static int setup(void **state)
{
	(void)state;
	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 scripted_start(reply));
	apr_initialize();
	return command_init(&command, address);
}

static int teardown(void **state)
{
	(void)state;
	command_finish(&command);
	apr_terminate();
	scripted_stop();
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_page_is_not_taken),
		cmocka_unit_test(test_page_that_ends_early_is_taken_for_whole),
		cmocka_unit_test(test_page_without_length_is_taken_for_whole),
		cmocka_unit_test(test_status_that_is_none_is_taken),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
