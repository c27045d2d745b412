#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/response_head.h>
#include <string.h>

/* Reads a text line by line as libcurl passes it on: only complete lines. */
static void read_text(struct response_head *h, const char *text, size_t len)
{
	const char *end;

	response_head_init(h);
	while ((end = memchr(text, '\n', len))) {
		size_t n = (size_t)(end - text) + 1;

		response_head_read(h, text, n);
		text += n;
		len -= n;
	}
}

static enum response_stage stage_of(const char *text)
{
	struct response_head h;

	read_text(&h, text, strlen(text));
	return h.stage;
}

#define FIELDS "X-Request-Id: a1\r\nContent-Length: 12\r\n"

static const char *const whole_heads[] = {
	"HTTP/1.1 200 OK\r\n" FIELDS "\r\n",
	"HTTP/1.0 200\r\n" FIELDS "\r\n",
	"HTTP/1.1 500 Internal Server Error\r\nX-Empty:\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" FIELDS "\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: b\r\n\r\nHTTP/1.1 204 No\r\n\r\n",
	"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n",
};

/* A connection that ends at any byte of a head leaves no complete one. */
static void test_head_that_ends_early_is_no_success(void **state)
{
	struct response_head h;

	(void)state;
	for (size_t i = 0; i < sizeof(whole_heads) / sizeof(*whole_heads);
	     i++) {
		size_t len = strlen(whole_heads[i]);

		for (size_t n = 0; n < len; n++) {
			read_text(&h, whole_heads[i], n);
			assert_int_not_equal(h.stage, RESPONSE_IN_BODY);
			assert_int_equal(response_head_result(&h, CURLE_OK),
					 CURLE_PARTIAL_FILE);
		}
		read_text(&h, whole_heads[i], len);
		assert_int_equal(h.stage, RESPONSE_IN_BODY);
		assert_int_equal(response_head_result(&h, CURLE_OK), CURLE_OK);
		assert_int_equal(response_head_result(&h, CURLE_RECV_ERROR),
				 CURLE_RECV_ERROR);
	}
}

static void expect_no_success(const char *first, size_t len, const char *next)
{
	struct response_head h;
	char text[400];

	memcpy(text, first, len);
	strcpy(text + len, next);
	read_text(&h, text, strlen(text));
	assert_int_not_equal(h.stage, RESPONSE_IN_BODY);
}

/* A head that breaks off on a kept connection runs into the next response. The
 * status would be that of the first, the fields those of the second. */
static void test_two_heads_that_run_into_each_other(void **state)
{
	const char *first = "HTTP/1.1 200 OK\r\nDate: x\r\n" FIELDS;
	const char *next = "HTTP/1.1 500 Error\r\n" FIELDS "\r\n";

	(void)state;
	for (size_t n = 1; n <= strlen(first); n++)
		expect_no_success(first, n, next);
}

static void test_malformed_heads(void **state)
{
	(void)state;
	assert_int_equal(stage_of("\x01\x02 none\r\n"), RESPONSE_MALFORMED);
	assert_int_equal(stage_of("\r\n"), RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 2000 OK\r\n"), RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 20 OK\r\n"), RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 099 OK\r\n"), RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/2 200\r\n"), RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 101 Switching\r\n"),
			 RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 200 OK\r\n folded\r\n"),
			 RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 200 OK\r\nno colon\r\n"),
			 RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 200 OK\r\n: b\r\n"),
			 RESPONSE_MALFORMED);
	assert_int_equal(stage_of("HTTP/1.1 200 OK\r\na: b\rc\r\n"),
			 RESPONSE_MALFORMED);
}

/* With two framings the body's end depends on the reader. */
static void test_ambiguous_framing(void **state)
{
	static const char *const fields[] = {
		"Content-Length: 12\r\nContent-Length: 5\r\n",
		"Content-Length: 12\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 12\r\n",
		"Transfer-Encoding: gzip\r\n",
		"Content-Length: -1\r\n",
		"Content-Length: 5, 5\r\n",
		"Content-Length:\r\n",
		"Content-Length: 99999999999999999999\r\n",
	};
	char text[200];

	(void)state;
	for (size_t i = 0; i < sizeof(fields) / sizeof(*fields); i++) {
		strcpy(text, "HTTP/1.1 200 OK\r\n");
		strcat(text, fields[i]);
		assert_int_equal(stage_of(text), RESPONSE_MALFORMED);
	}
}

static void test_fields_behind_the_body_change_nothing(void **state)
{
	struct response_head h;
	const char *text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			   "\r\n";

	(void)state;
	read_text(&h, text, strlen(text));
	assert_int_equal(response_head_read(&h, "Content-Length: 5\r\n", 19),
			 RESPONSE_TRAILER);
	assert_int_equal(h.framing, RESPONSE_CHUNKED);
	assert_int_equal(h.length, -1);
	assert_int_equal(h.stage, RESPONSE_IN_BODY);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_head_that_ends_early_is_no_success),
		cmocka_unit_test(test_two_heads_that_run_into_each_other),
		cmocka_unit_test(test_malformed_heads),
		cmocka_unit_test(test_ambiguous_framing),
		cmocka_unit_test(test_fields_behind_the_body_change_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
