/* Responses whose status is none that an answer may have: the caller gets none
 * of them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "faults.h"
#include <cmocka.h>
#include <glib.h>

static const char *const status_lines[] = {
	"HTTP/1.1 000 OK",  "HTTP/1.1 001 OK",
	"HTTP/1.1 099 OK",  "HTTP/1.1 600 OK",
	"HTTP/1.1 999 OK",  "HTTP/1.1 101 OK",
	"HTTP/1.1 2x0 OK",  "HTTP/1.1 x00 OK",
	"HTTP/1.1 20",	    "HTTP/1.1 20 OK",
	"HTTP/1.1 0 OK",    "HTTP/1.1 2000 OK",
	"HTTP/1.1 -200 OK", "HTTP/1.1 +200 OK",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
	"HTTP/1.1 200\tOK", "HTTP/1.1",
	"HTTP/1.1 ",	    "HTTP/1.x 200 OK",
	"HTTP/2.0 200 OK",  "HTTP/2 200",
	"HTTP/0.9 200 OK",  "HTTP/3 000",
	"HTTP/1.1 000",	    "HTTP/1.1 \xb2\xb3\xb9 OK",
	"ICY 200 OK",	    "RTSP/1.0 200 OK",
	"http/1.1 200 OK",  "000",
};

static const char *const frames[] = {
	"Content-Length: 19\r\n\r\n" RESPONSE_BODY,
	"Transfer-Encoding: chunked\r\n\r\n13\r\n" RESPONSE_BODY
	"\r\n0\r\n\r\n",
	"\r\n" RESPONSE_BODY,
	"Content-Length: 0\r\n\r\n",
};

#define NLINE (sizeof(status_lines) / sizeof(status_lines[0]))
#define NFRAME (sizeof(frames) / sizeof(frames[0]))

static void expect_refused(const struct response_kind *k, const char *path)
{
	struct caller_response r;

	fault_plan(k);
	/* A retry would be served. */
	fault.is_repeated = 1;
	fault.end = SCRIPTED_CLOSE;
	r = fault_request(path, fault.id);
	if (r.status != 502 || r.has_stamp)
		fault_report(path, fault.id, "not refused", &r);
	fault_expect_next_served();
}

static void expect_all_refused(enum fixture_hop to)
{
	char text[1024];
	struct response_kind k = {.runs = 1, .has_body = 1, .text = text};

	fault_begin(to);
	for (size_t i = 0; i < NLINE; i++)
		for (size_t n = 0; n < NFRAME; n++) {
			k.name = status_lines[i];
			g_strlcpy(text, status_lines[i], sizeof(text));
			g_strlcat(text, "\r\n" RESPONSE_ID RESPONSE_STAMP,
				  sizeof(text));
			g_strlcat(text, frames[n], sizeof(text));
			expect_refused(&k, "/once/a");
			expect_refused(&k, "/safe/a");
		}
	fault_finish();
}

static void test_upstream(void **state)
{
	(void)state;
	expect_all_refused(FIXTURE_UPSTREAM);
}

static void test_another_vm(void **state)
{
	(void)state;
	expect_all_refused(FIXTURE_PEER);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_upstream),
		cmocka_unit_test(test_another_vm),
	};

	return cmocka_run_group_tests(tests, fault_setup, fault_teardown);
}
