#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/metrics.h>
#include <string.h>

static void test_sum_over_threads(void **state)
{
	static struct metrics a;
	static struct metrics b;
	const struct metrics *both[] = {&a, &b};
	char text[8192];

	(void)state;
	metrics_add(&a, METRIC_LOOKUPS, 3);
	metrics_add(&b, METRIC_LOOKUPS, 4);
	metrics_set(&b, METRIC_RPC_SENT, 9);
	metrics_latency(&a, METRIC_REQUEST_TIME, 20);
	metrics_latency(&b, METRIC_REQUEST_TIME, 1000000000000);
	metrics_write(both, 2, text, sizeof(text));
	assert_non_null(strstr(text, "primroselead_lookups 7\n"));
	assert_non_null(strstr(text, "primroselead_rpc_sent 9\n"));
	assert_non_null(strstr(text, "primroselead_request_time_us_bucket"
				     "{le=\"24\"} 1\n"));
	assert_non_null(strstr(text, "primroselead_request_time_us_count 2\n"));
}

static void test_bounds_grow(void **state)
{
	(void)state;
	for (int i = 1; i < METRIC_BUCKETS; i++)
		assert_true(metrics_bound(i) > metrics_bound(i - 1));
}

static void test_text_is_cut_at_a_line(void **state)
{
	static struct metrics a;
	const struct metrics *one[] = {&a};
	char text[100];
	size_t n;

	(void)state;
	n = metrics_write(one, 1, text, sizeof(text));
	assert_true(n < sizeof(text));
	assert_int_equal(text[n - 1], '\n');
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sum_over_threads),
		cmocka_unit_test(test_bounds_grow),
		cmocka_unit_test(test_text_is_cut_at_a_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
