#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "model.h"
#include "quarantine_model.h"
#include <cmocka.h>

/* The seeds 1 to 300 include every seed that failed in the past. */
#define SEEDS 300
#define EVENTS 2000

/* Guards against violations of the invariants in oracle.c after any order of
 * events and failures: capacity exceeded, a key run twice, an invalid ledger, a
 * configuration that was not accepted, a shift beyond its cap, or a state that
 * does not recover. */
static void test_seeds(void **state)
{
	struct model_result sum = {0};

	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct model_input in = {.seed = seed, .events = EVENTS};
		struct model_result r;

		if (model_run(&in, &r))
			fail_msg("seed %llu, event %ld: %s",
				 (unsigned long long)seed, r.events, r.failure);
		sum.ran += r.ran;
		sum.claims_taken += r.claims_taken;
		sum.shifted += r.shifted;
		sum.late_writes += r.late_writes;
		sum.reclaimed += r.reclaimed;
	}
	/* The runs reach the cases that they are meant to test. */
	assert_true(sum.ran > 3000);
	assert_true(sum.claims_taken > 100);
	assert_true(sum.shifted > 30);
	assert_true(sum.late_writes > 100);
	assert_true(sum.reclaimed > 100);
}

#define QUARANTINE_SEEDS 200
#define QUARANTINE_RUN_MS 40000

/* Of the requests that are allowed, one in this many may be rejected. */
#define ALLOWED_PER_REJECTED 500

/* Guards against more than three ends of upstreams under a request once all VMs
 * must know, and against innocent requests that stay rejected, after any order
 * of kills, cuts, outages and lost messages. */
static void test_quarantine_seeds(void **state)
{
	struct quarantine_model_result sum = {0};

	(void)state;
	for (uint64_t seed = 1; seed <= QUARANTINE_SEEDS; seed++) {
		struct quarantine_model_result r;

		if (quarantine_model_run(seed, QUARANTINE_RUN_MS, &r))
			fail_msg("seed %llu: %s", (unsigned long long)seed,
				 r.failure);
		sum.ends += r.ends;
		sum.late_ends += r.late_ends;
		sum.faults += r.faults;
		sum.innocent += r.innocent;
		sum.innocent_rejected += r.innocent_rejected;
		sum.innocent_convicted += r.innocent_convicted;
	}
	print_message("%ld ends, %ld late, %ld faults, %ld of %ld innocent "
		      "requests rejected, %ld convicted\n",
		      sum.ends, sum.late_ends, sum.faults,
		      sum.innocent_rejected, sum.innocent,
		      sum.innocent_convicted);
	assert_true(sum.ends > 3 * QUARANTINE_SEEDS);
	assert_true(sum.faults > 5 * QUARANTINE_SEEDS);
	assert_true(sum.innocent_rejected * ALLOWED_PER_REJECTED <
		    sum.innocent);
	assert_int_equal(sum.innocent_convicted, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_seeds),
		cmocka_unit_test(test_quarantine_seeds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
