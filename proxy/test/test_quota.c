#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "quota.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <string.h>

#define WORKSPACE 7
#define RATE_MILLI 10000
#define BURST_MILLI 5000

static struct proxy proxy;
static struct proxy_thread thread;
static struct shared_limit quota[2];
static struct steer_workspace workspace[] = {
	{.id = 3, .stats_index = 1},
	{.id = WORKSPACE,
	 .rate_milli = RATE_MILLI,
	 .burst_milli = BURST_MILLI,
	 .stats_index = 0},
};
static struct steer_service service = {.name = "s"};
static struct steer_service *services[] = {&service};
static struct steer_view view = {
	.service = services,
	.nservice = 1,
	.workspace = workspace,
	.nworkspace = 2,
	.nactive = 1,
};

static int setup(void **state)
{
	(void)state;
	memset(quota, 0, sizeof(quota));
	memset(&proxy, 0, sizeof(proxy));
	proxy.quota = quota;
	proxy.nthread = 1;
	memset(&thread, 0, sizeof(thread));
	thread.proxy = &proxy;
	thread.view = &view;
	thread.unfinished.nstarted = 1;
	return 0;
}

static struct proxy_request new_request(uint64_t workspace_id)
{
	return (struct proxy_request){
		.thread = &thread,
		.view = &view,
		.routed = 1,
		.workspace_id = workspace_id,
	};
}

/* Returns how many of n requests are admitted. */
static int admit(int n, uint64_t workspace_id)
{
	int admitted = 0;

	for (int i = 0; i < n; i++) {
		struct proxy_request r = new_request(workspace_id);

		admitted += quota_admit(&r);
	}
	return admitted;
}

static void set_credit(int64_t credit_milli)
{
	atomic_store(&quota[0].growth_milli, RATE_MILLI);
	atomic_store(&quota[0].pace_ms, 100);
	atomic_store(&quota[0].credit_milli, credit_milli);
	atomic_store(&quota[0].burst_milli, credit_milli);
}

static void test_request_over_the_quota(void **state)
{
	struct proxy_request r = new_request(WORKSPACE);

	(void)state;
	set_credit(BURST_MILLI);
	assert_in_range(admit(50, WORKSPACE), 4, 8);
	while (quota_admit(&r))
		;
	assert_int_equal(r.state, REQUEST_FAILED);
	assert_int_equal(r.status, MHD_HTTP_TOO_MANY_REQUESTS);
	assert_int_equal(r.outcome, OUTCOME_NOT_RUN);
	assert_true(r.retry_after_ms > 0);
	assert_true(
		atomic_load(
			&thread.metrics.counter[METRIC_REQUESTS_OVER_QUOTA]) >
		40);
}

/* A workspace without a limit, an unknown one and none at all. */
static void test_request_without_a_quota(void **state)
{
	(void)state;
	assert_int_equal(admit(1000, 3), 1000);
	assert_int_equal(admit(1000, 99), 1000);
	assert_int_equal(admit(1000, 0), 1000);
}

static void test_relayed_request_counts_once(void **state)
{
	struct proxy_request r = new_request(WORKSPACE);

	(void)state;
	set_credit(BURST_MILLI);
	r.relayed = 1;
	for (int i = 0; i < 100; i++)
		assert_int_equal(quota_admit(&r), 1);
	assert_int_equal(shared_limit_usage(&quota[0]).taken, 0);
}

static void test_request_that_does_not_run(void **state)
{
	struct proxy_request r = new_request(WORKSPACE);

	(void)state;
	set_credit(BURST_MILLI);
	assert_int_equal(quota_admit(&r), 1);
	assert_int_equal(shared_limit_usage(&quota[0]).taken, 1);
	quota_finish(&r);
	quota_finish(&r);
	assert_int_equal(shared_limit_usage(&quota[0]).taken, 0);
	assert_int_equal(quota_admit(&r), 1);
	r.outcome = OUTCOME_UNKNOWN;
	quota_finish(&r);
	assert_int_equal(shared_limit_usage(&quota[0]).taken, 1);
}

static void begin_hold(struct proxy_request *r)
{
	*r = new_request(WORKSPACE);
	r->has_body = 1;
	strcpy(r->service_name, "s");
	assert_int_equal(quota_admit(r), 1);
	unfinished_dispatch(r);
	assert_true(unfinished_is_held(r));
}

/* A request whose body has not come holds no token, and needs one to start. */
static void test_request_that_is_held(void **state)
{
	struct proxy_request r;

	(void)state;
	set_credit(BURST_MILLI);
	begin_hold(&r);
	assert_int_equal(shared_limit_usage(&quota[0]).taken, 0);
	set_credit(-BURST_MILLI);
	unfinished_ended(&r);
	assert_false(unfinished_is_held(&r));
	assert_null(thread.unfinished.first);
	assert_int_equal(r.state, REQUEST_FAILED);
	assert_int_equal(r.status, MHD_HTTP_TOO_MANY_REQUESTS);
	quota_finish(&r);
	assert_int_equal(shared_limit_usage(&quota[0]).taken, 0);
}

/* Places that come free do not let held requests start beyond the quota. */
static void test_held_requests_start_within_the_quota(void **state)
{
	struct proxy_request r[3];

	(void)state;
	set_credit(BURST_MILLI);
	for (int i = 0; i < 3; i++)
		begin_hold(&r[i]);
	set_credit(-BURST_MILLI);
	thread.unfinished.nstarted = 0;
	unfinished_sweep(&thread);
	assert_null(thread.unfinished.first);
	assert_int_equal(thread.unfinished.nstarted, 0);
	for (int i = 0; i < 3; i++)
		assert_int_equal(r[i].status, MHD_HTTP_TOO_MANY_REQUESTS);
	assert_int_equal(shared_limit_usage(&quota[0]).taken, 0);
}

/* A VM that was paused does not know what the others have taken. */
static void test_old_values_are_not_used(void **state)
{
	(void)state;
	set_credit(BURST_MILLI);
	atomic_store(&proxy.limits_until_ms, prl_now_ms() - 1);
	assert_int_equal(admit(10, WORKSPACE), 0);
	atomic_store(&proxy.limits_until_ms, prl_now_ms() + 60000);
	assert_true(admit(10, WORKSPACE) > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_request_over_the_quota, setup),
		cmocka_unit_test_setup(test_request_without_a_quota, setup),
		cmocka_unit_test_setup(test_relayed_request_counts_once, setup),
		cmocka_unit_test_setup(test_request_that_does_not_run, setup),
		cmocka_unit_test_setup(test_request_that_is_held, setup),
		cmocka_unit_test_setup(
			test_held_requests_start_within_the_quota, setup),
		cmocka_unit_test_setup(test_old_values_are_not_used, setup),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
