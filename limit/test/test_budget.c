#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/budget.h>
#include <stdlib.h>

/* In any period at most the burst and the fraction of its requests pass. */
static void test_budget_holds_in_every_span(void **state)
{
	struct limit_budget budget = {0};
	static int passed[5000];
	int total = 0;

	(void)state;
	srand(17);
	limit_budget_set_burst(&budget, 6);
	for (int i = 0; i < 5000; i++) {
		limit_budget_deposit(&budget, 200);
		for (int k = rand() % 4; k; k--)
			passed[i] += limit_budget_withdraw(&budget);
		total += passed[i];
	}
	for (int from = 0; from < 5000; from += 7) {
		int sum = 0;

		for (int i = from; i < 5000 && i < from + 400; i++) {
			sum += passed[i];
			assert_true(sum <= 6 + (i - from + 1) / 5 + 1);
		}
	}
	assert_true(total > 900);
}

/* Credit not used in a long period without sends is limited to the burst. */
static void test_budget_after_a_calm(void **state)
{
	struct limit_budget budget = {0};
	int passed = 0;

	(void)state;
	limit_budget_set_burst(&budget, 6);
	for (int i = 0; i < 2000; i++)
		limit_budget_deposit(&budget, 200);
	for (int i = 0; i < 100; i++)
		passed += limit_budget_withdraw(&budget);
	assert_int_equal(passed, 6);
}

/* Events keep their rate; a rate of 0 stops them. */
static void test_rate(void **state)
{
	struct limit_rate r = {0};
	int n = 0;

	(void)state;
	for (int64_t now = 0; now < 1000000; now += 1000)
		if (limit_rate_allows(&r, now)) {
			limit_rate_record(&r, 3450, now);
			n++;
		}
	assert_in_range(n, 3, 4);
	limit_rate_record(&r, 0, 0);
	assert_false(limit_rate_allows(&r, INT64_MAX - 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_budget_holds_in_every_span),
		cmocka_unit_test(test_budget_after_a_calm),
		cmocka_unit_test(test_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
