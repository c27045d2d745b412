#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/metrics.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

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
	metrics_record_latency(&a, METRIC_REQUEST_TIME, 20);
	metrics_record_latency(&b, METRIC_REQUEST_TIME, 1000000000000);
	metrics_format(both, 2, text, sizeof(text));
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
		assert_true(metrics_bucket_bound_us(i) >
			    metrics_bucket_bound_us(i - 1));
}

/* A truncated sample would be read as another name or value. */
static void test_text_is_cut_at_a_line(void **state)
{
	static struct metrics a;
	const struct metrics *one[] = {&a};
	char text[100];
	size_t n;

	(void)state;
	n = metrics_format(one, 1, text, sizeof(text));
	assert_true(n < sizeof(text));
	assert_int_equal(text[n - 1], '\n');
}

/* Runs a function with standard output redirected to a pipe and reads what the
 * pipe holds afterwards. */
static size_t capture_stdout(void (*run)(void), char *out, size_t size)
{
	int saved = dup(STDOUT_FILENO);
	int fds[2];
	ssize_t n;

	fflush(stdout);
	assert_int_equal(pipe(fds), 0);
	dup2(fds[1], STDOUT_FILENO);
	run();
	dup2(saved, STDOUT_FILENO);
	close(saved);
	close(fds[1]);
	n = read(fds[0], out, size - 1);
	close(fds[0]);
	out[n > 0 ? n : 0] = 0;
	return n > 0 ? (size_t)n : 0;
}

static void log_within_burst(void)
{
	for (int i = 0; i < 300; i++)
		log_event(LOG_LEVEL_INFO, "some", "k", "v", NULL);
}

static void log_over_burst(void)
{
	for (int i = 0; i < 20000; i++)
		log_event(LOG_LEVEL_INFO, "many", "k", "v", NULL);
}

static int count_lines(const char *text)
{
	int n = 0;

	for (; *text; text++)
		n += *text == '\n';
	return n;
}

/* Logging must not block when nobody reads the output: the lines exceed the 64
 * KiB of the pipe. The rate limit must bound the lines written. */
static void test_log_never_waits_and_is_bounded(void **state)
{
	static char text[300000];
	long long before = log_lost_lines();
	int64_t began;
	int64_t ms;

	(void)state;
	log_init("v");
	capture_stdout(log_within_burst, text, sizeof(text));
	assert_int_equal(count_lines(text), 300);
	assert_non_null(strstr(text, "\"event\":\"some\""));
	assert_int_equal(log_lost_lines(), before);
	began = prl_now_ms();
	capture_stdout(log_over_burst, text, sizeof(text));
	ms = prl_now_ms() - began;
	/* At most a burst of 400 and 200 lines per second; the pipe holds
	 * several hundred. */
	assert_true(count_lines(text) <= 401 + ms / 5);
	assert_true(count_lines(text) >= 300);
	usleep(50000);
	capture_stdout(log_within_burst, text, sizeof(text));
	capture_stdout(log_over_burst, text, sizeof(text));
	assert_non_null(strstr(text, "\"left_out\":\""));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_log_never_waits_and_is_bounded),
		cmocka_unit_test(test_sum_over_threads),
		cmocka_unit_test(test_bounds_grow),
		cmocka_unit_test(test_text_is_cut_at_a_line),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
