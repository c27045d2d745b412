#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/usage_aggregator.h>

#define NOW_MS 1000000
#define VMS 4
#define LIMIT 9
#define BURST_MILLI 8000

static const struct usage_rule rule = {
	.terms = {.rate_milli = 1000,
		  .burst_milli = BURST_MILLI,
		  .pace_ms = 1000},
	.window_ms = 5000,
};

static struct usage_aggregator a;

static int setup(void **state)
{
	(void)state;
	usage_aggregator_init(&a);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	usage_aggregator_finish(&a);
	return 0;
}

static const struct usage_vm *hear(uint64_t vm, uint32_t sequence, int64_t ms)
{
	struct usage_sender from = {vm, 1, sequence};

	return usage_aggregator_hear(&a, &from, VMS, NOW_MS + ms);
}

static int64_t report(uint64_t vm, uint32_t taken, uint32_t unconfirmed,
		      int64_t ms)
{
	struct usage_sender from = {vm, 1, (uint32_t)ms + 1};
	struct usage_counts counts = {.taken = taken,
				      .unconfirmed = unconfirmed};
	struct limit_usage since;

	assert_non_null(hear(vm, (uint32_t)ms + 1, ms));
	return usage_aggregator_add(&a, LIMIT, &rule, &from, &counts, &since,
				    NOW_MS + ms)
		.credit_milli;
}

/* An aggregator may still count a VM for a time after the VM has left it. */
static void test_vm_is_counted_late(void **state)
{
	(void)state;
	assert_int_equal(usage_vm_is_counted(hear(1, 1, 0), NOW_MS), 0);
	assert_int_equal(usage_aggregator_heard_permille(&a), 0);
	hear(1, 2, USAGE_HEARD_MS / 2);
	hear(1, 3, USAGE_HEARD_MS);
	assert_int_equal(usage_aggregator_heard_permille(&a), 1000 / VMS);
	/* Silence begins a new time. */
	assert_int_equal(usage_vm_is_counted(hear(1, 4, 3 * USAGE_HEARD_MS),
					     NOW_MS + 3 * USAGE_HEARD_MS),
			 0);
}

static void test_older_report_is_ignored(void **state)
{
	(void)state;
	assert_non_null(hear(1, 5, 0));
	assert_non_null(hear(1, 5, 1));
	assert_null(hear(1, 4, 2));
}

/* Until it has heard all VMs for a while, an aggregator knows of no limit that
 * it is not used. */
static void test_new_aggregator_vouches_for_nothing(void **state)
{
	uint64_t low[USAGE_LOW_MAX];

	(void)state;
	hear(1, 1, 0);
	assert_int_equal(usage_aggregator_list_low(&a, low, NOW_MS),
			 USAGE_ALL_LOW);
	for (uint32_t ms = 0; ms <= 6000; ms += 500)
		hear(1, 2 + ms, ms);
	assert_int_equal(usage_aggregator_list_low(&a, low, NOW_MS + 6000), 0);
}

/* Each token counts once, also those that the first counted report brings. */
static void test_tokens_count_once(void **state)
{
	int64_t before;

	(void)state;
	for (int64_t ms = 0; ms < 10000; ms += 500)
		for (uint64_t vm = 1; vm <= VMS; vm++)
			hear(vm, (uint32_t)ms + 1, ms);
	before = report(1, 100, 0, 10000);
	assert_int_equal(before, BURST_MILLI);
	assert_int_equal(report(1, 103, 3, 10000), before - 3000);
	assert_int_equal(report(1, 103, 3, 10000), before - 3000);
	assert_int_equal(report(2, 50, 2, 10000), before - 5000);
}

static struct limit_fleet new_fleet(int64_t ms)
{
	return (struct limit_fleet){
		.now_ms = NOW_MS + ms,
		.vms = VMS,
		.answered_ms = NOW_MS + ms,
		.heard_permille = 1000,
	};
}

static int64_t update(struct limit_follower *f, struct shared_limit *l,
		      const struct limit_fleet *fleet)
{
	limit_follower_update(f, l, fleet);
	return shared_limit_credit(l);
}

/* An unused limit has the credit of the VMs that are heard. */
static void test_unused_limit(void **state)
{
	struct limit_fleet fleet = new_fleet(0);
	struct limit_follower f = {.terms = rule.terms};
	struct shared_limit l = {0};

	(void)state;
	assert_int_equal(update(&f, &l, &fleet), BURST_MILLI);
	assert_int_equal(shared_limit_take(&l), 1);
	assert_int_equal(shared_limit_credit(&l), BURST_MILLI - 1000);
	assert_int_equal(update(&f, &l, &fleet), BURST_MILLI - 1000);
	fleet.heard_permille = 500;
	assert_int_equal(update(&f, &l, &fleet), BURST_MILLI / 2 - 1000);
	fleet.is_low = 1;
	assert_true(update(&f, &l, &fleet) <= BURST_MILLI / VMS);
}

static void test_retries_wait_for_an_answer(void **state)
{
	struct limit_fleet fleet = new_fleet(0);
	struct limit_follower f = {.terms = shared_limit_retry_terms(200, 180)};
	struct shared_limit l = {0};
	int64_t part = f.terms.burst_milli / VMS;
	struct limit_report r;

	(void)state;
	assert_true(update(&f, &l, &fleet) <= part);
	r = limit_follower_report(&f, &l, NOW_MS);
	limit_follower_handle_answer(
		&f, &r, &(struct limit_answer){.credit_milli = 20000});
	assert_int_equal(update(&f, &l, &fleet), 20000);
}

/* What a VM knew is no longer used if a question about the limit is lost,
 * though other answers come. */
static void test_question_is_lost(void **state)
{
	struct limit_fleet fleet = new_fleet(0);
	struct limit_follower f = {.terms = rule.terms};
	struct shared_limit l = {0};

	(void)state;
	assert_int_equal(update(&f, &l, &fleet), BURST_MILLI);
	limit_follower_report(&f, &l, NOW_MS);
	fleet = new_fleet(200);
	assert_int_equal(update(&f, &l, &fleet), BURST_MILLI);
	fleet = new_fleet(900);
	assert_true(update(&f, &l, &fleet) <= BURST_MILLI / VMS);
}

static void test_aggregator_is_silent(void **state)
{
	struct limit_fleet fleet = new_fleet(0);
	struct limit_follower f = {.terms = rule.terms};
	struct shared_limit l = {0};

	(void)state;
	assert_int_equal(update(&f, &l, &fleet), BURST_MILLI);
	fleet.now_ms += USAGE_RELIED_MS + 1;
	assert_true(update(&f, &l, &fleet) <= BURST_MILLI / VMS);
}

/* The struct shared_limit may have been that of another limit before. */
static void test_limit_takes_over_counts(void **state)
{
	struct limit_fleet fleet = new_fleet(0);
	struct limit_follower f = {.terms = rule.terms};
	struct shared_limit l = {.taken = 1000, .burst_milli = BURST_MILLI};
	struct limit_report r;

	(void)state;
	update(&f, &l, &fleet);
	r = limit_follower_report(&f, &l, NOW_MS);
	assert_int_equal(r.unconfirmed, 0);
	assert_int_equal(r.usage.taken, 1000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_vm_is_counted_late, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_older_report_is_ignored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_new_aggregator_vouches_for_nothing, setup,
			teardown),
		cmocka_unit_test_setup_teardown(test_tokens_count_once, setup,
						teardown),
		cmocka_unit_test(test_unused_limit),
		cmocka_unit_test(test_retries_wait_for_an_answer),
		cmocka_unit_test(test_question_is_lost),
		cmocka_unit_test(test_aggregator_is_silent),
		cmocka_unit_test(test_limit_takes_over_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
