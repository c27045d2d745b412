#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "body.h"
#include "request.h"
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

/* Random writes and reads return the bytes in order, and the buffer never holds
 * more than its maximum size. */
static void test_body_is_a_queue(void **state)
{
	struct body_buffer b = {0};
	unsigned char next_in = 0;
	unsigned char next_out = 0;
	char buf[40000];

	(void)state;
	srand(7);
	for (int i = 0; i < 20000; i++) {
		size_t n = (size_t)rand() % sizeof(buf);
		size_t done;

		if (rand() % 2) {
			size_t room = body_writable(&b);

			for (size_t k = 0; k < n; k++)
				buf[k] = (char)(next_in + k);
			done = body_write(&b, buf, n);
			assert_int_equal(done, n < room ? n : room);
			next_in = (unsigned char)(next_in + done);
		} else {
			done = body_read(&b, buf, n);
			for (size_t k = 0; k < done; k++)
				assert_int_equal((unsigned char)buf[k],
						 (unsigned char)(next_out + k));
			next_out = (unsigned char)(next_out + done);
		}
		assert_true(b.len <= BODY_DEFAULT_MAX_BYTES);
	}
	body_finish(&b);
}

/* A retry sends the body again from its first byte. Once bytes have been
 * discarded, rewinding must fail, or the upstream would get a truncated body.
 */
static void test_short_body_can_be_read_again(void **state)
{
	struct body_buffer b = {0};
	char buf[BODY_DEFAULT_MAX_BYTES];

	(void)state;
	body_write(&b, "hello", 5);
	assert_int_equal(body_read(&b, buf, 3), 3);
	assert_int_equal(body_rewind(&b), 0);
	assert_int_equal(body_read(&b, buf, sizeof(buf)), 5);
	assert_memory_equal(buf, "hello", 5);
	memset(buf, 'x', sizeof(buf));
	body_write(&b, buf, sizeof(buf));
	assert_int_equal(body_rewind(&b), -1);
	body_finish(&b);
}

/* Forwarding a hop-by-hop header would change how the other side frames or
 * keeps its connection. The Connection header adds names, in any case; a prefix
 * of such a name is another header and must be forwarded. */
static void test_hop_by_hop(void **state)
{
	(void)state;
	assert_true(header_is_hop_by_hop("connection", NULL));
	assert_true(header_is_hop_by_hop("Transfer-Encoding", NULL));
	assert_true(header_is_hop_by_hop("X-Secret", "close, x-secret"));
	assert_false(header_is_hop_by_hop("X-Secre", "close, x-secret"));
	assert_false(header_is_hop_by_hop("Content-Type", "close"));
}

/* With a larger maximum size, a body beyond the default size can still be
 * retried; freeing the buffer between attempts must not lose that size. */
static void test_long_body_can_be_kept(void **state)
{
	struct body_buffer b = {.max_size = 100000};
	static char in[100000];
	static char out[100000];

	(void)state;
	for (size_t i = 0; i < sizeof(in); i++)
		in[i] = (char)(i * 7);
	assert_int_equal(body_write(&b, in, 70000), 70000);
	assert_int_equal(body_read(&b, out, 60000), 60000);
	assert_int_equal(body_write(&b, in + 70000, 30000), 30000);
	assert_int_equal(body_rewind(&b), 0);
	assert_int_equal(body_read(&b, out, sizeof(out)), 100000);
	assert_memory_equal(in, out, sizeof(in));
	body_finish(&b);
	assert_int_equal(b.max_size, 100000);
}

static struct fleet_response_meta valid_response(void)
{
	struct fleet_response_meta a = {.has_server_stamp = 1,
					.request_id = "r1"};

	return a;
}

/* Must not be passed on: a response that may belong to another request, and a
 * status that tells the caller that the request did not run unless the upstream
 * confirms that. The caller would take a wrong result or run the request twice.
 */
static void test_verdicts(void **state)
{
	struct fleet_response_meta a = valid_response();

	(void)state;
	assert_int_equal(verdict_for_response(&a, 200, "r1"), VERDICT_PASS);
	assert_int_equal(verdict_for_response(&a, 404, "r1"), VERDICT_PASS);
	assert_int_equal(verdict_for_response(&a, 500, "r1"), VERDICT_FAILED);
	/* A delayed or duplicated response carries the id of another request.
	 */
	assert_int_equal(verdict_for_response(&a, 200, "r2"), VERDICT_INVALID);
	/* Statuses that imply "not run" without the upstream confirming it. */
	assert_int_equal(verdict_for_response(&a, 503, "r1"),
			 VERDICT_AMBIGUOUS);
	assert_int_equal(verdict_for_response(&a, 429, "r1"),
			 VERDICT_AMBIGUOUS);
	assert_int_equal(verdict_for_response(&a, 408, "r1"),
			 VERDICT_AMBIGUOUS);
	a.not_run = 1;
	assert_int_equal(verdict_for_response(&a, 503, "r1"), VERDICT_REFUSED);
	assert_int_equal(verdict_for_response(&a, 400, "r1"), VERDICT_REFUSED);
	/* A refusal beside another status contradicts it. */
	assert_int_equal(verdict_for_response(&a, 200, "r1"), VERDICT_INVALID);
	assert_int_equal(verdict_for_response(&a, 500, "r1"), VERDICT_INVALID);
	a = valid_response();
	assert_int_equal(verdict_for_response(&a, 421, "r1"), VERDICT_REFUSED);
	/* Without an id, or with several, it may be any request's. */
	a.ambiguous_id = 1;
	assert_int_equal(verdict_for_response(&a, 421, "r1"), VERDICT_INVALID);
	assert_int_equal(verdict_for_response(&a, 200, "r1"), VERDICT_INVALID);
	a = valid_response();
	a.request_id[0] = 0;
	a.not_run = 1;
	assert_int_equal(verdict_for_response(&a, 503, "r1"), VERDICT_INVALID);
	assert_int_equal(verdict_for_response(&a, 421, "r1"), VERDICT_INVALID);
	a.not_run = 0;
	assert_int_equal(verdict_for_response(&a, 200, "r1"), VERDICT_INVALID);
	a = valid_response();
	a.has_server_stamp = 0;
	assert_int_equal(verdict_for_response(&a, 200, "r1"), VERDICT_INVALID);
	a = valid_response();
	a.body_encoded = 1;
	assert_int_equal(verdict_for_response(&a, 200, "r1"), VERDICT_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_body_can_be_kept),
		cmocka_unit_test(test_verdicts),
		cmocka_unit_test(test_body_is_a_queue),
		cmocka_unit_test(test_short_body_can_be_read_again),
		cmocka_unit_test(test_hop_by_hop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
