/* Responses that come, whole or not, while the body of their request is still
 * written, and whose connection is closed or reset then. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "faults.h"
#include <cmocka.h>

/* More than the sockets and the buffers on the way hold. */
#define BODY_BYTES (8 << 20)

/* Time in ms in which the rest of the body is written before the end. */
#define WRITTEN_MS 2

/* More than the VM holds of a response before it passes a part on. */
#define FILL_BYTES 300000

static void answer(const struct response_kind *k, size_t len,
		   enum scripted_end end, int delay_ms)
{
	fault_plan(k);
	fault.len = len;
	fault.end = end;
	fault.end_delay_ms = delay_ms;
	fault.is_early = 1;
	fault.body_bytes = BODY_BYTES;
	fault_request("/once/a", fault.id);
	fault_expect_next_served();
}

static void end_at_every_byte(enum fixture_hop to, enum scripted_end end,
			      int delay_ms)
{
	fault_begin(to);
	for (int i = 0; i < response_nkind; i++)
		for (size_t n = 0; fault_may_go_on(&response_kinds[i], n); n++)
			if (!response_kinds[i].is_head_request)
				answer(&response_kinds[i], n, end, delay_ms);
	fault_finish();
}

static void test_close_at_once(void **state)
{
	(void)state;
	end_at_every_byte(FIXTURE_UPSTREAM, SCRIPTED_CLOSE, 0);
	end_at_every_byte(FIXTURE_PEER, SCRIPTED_CLOSE, 0);
}

static void test_reset_at_once(void **state)
{
	(void)state;
	end_at_every_byte(FIXTURE_UPSTREAM, SCRIPTED_RESET, 0);
	end_at_every_byte(FIXTURE_PEER, SCRIPTED_RESET, 0);
}

static void test_close_while_the_body_is_written(void **state)
{
	(void)state;
	end_at_every_byte(FIXTURE_UPSTREAM, SCRIPTED_CLOSE, WRITTEN_MS);
	end_at_every_byte(FIXTURE_PEER, SCRIPTED_CLOSE, WRITTEN_MS);
}

static void test_reset_while_the_body_is_written(void **state)
{
	(void)state;
	end_at_every_byte(FIXTURE_UPSTREAM, SCRIPTED_RESET, WRITTEN_MS);
	end_at_every_byte(FIXTURE_PEER, SCRIPTED_RESET, WRITTEN_MS);
}

static const struct response_kind *kind_until_close(void)
{
	for (int i = 0; i < response_nkind; i++)
		if (response_kinds[i].ends_with_connection)
			return &response_kinds[i];
	return NULL;
}

/* Part of the answer has been passed on before it breaks off. */
static void break_off(int delay_ms, int is_http_1_0, int is_sent_in_chunks,
		      size_t fill_len)
{
	struct caller_response r;

	fault_plan(kind_until_close());
	fault.end = SCRIPTED_RESET;
	fault.end_delay_ms = delay_ms;
	fault.is_early = 1;
	fault.body_bytes = BODY_BYTES;
	fault.fill_len = fill_len;
	fault.is_http_1_0 = is_http_1_0;
	fault.is_sent_in_chunks = is_sent_in_chunks;
	r = fault_request("/once/a", fault.id);
	if (r.is_complete && r.status < 300)
		fault_report("/once/a", fault.id, "a part passed as whole", &r);
	fault_expect_next_served();
}

static void break_off_at_many_times(enum fixture_hop to)
{
	fault_begin(to);
	for (int ms = 0; ms < 20; ms++)
		for (int how = 0; how < 8; how++)
			break_off(ms, how & 1, how >> 1 & 1,
				  how & 4 ? FILL_BYTES : 1000);
	fault_finish();
}

static void test_reset_within_a_body_without_a_length(void **state)
{
	(void)state;
	break_off_at_many_times(FIXTURE_UPSTREAM);
	break_off_at_many_times(FIXTURE_PEER);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_close_at_once),
		cmocka_unit_test(test_reset_at_once),
		cmocka_unit_test(test_close_while_the_body_is_written),
		cmocka_unit_test(test_reset_while_the_body_is_written),
		cmocka_unit_test(test_reset_within_a_body_without_a_length),
	};

	return cmocka_run_group_tests(tests, fault_setup, fault_teardown);
}
