#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "body.h"
#include <cmocka.h>
#include <primroselead/proxy.h>
#include <string.h>

/* With the budget of all bodies used up, a first piece that is larger than the
 * default buffer is taken in parts: a write of nothing would never be resumed.
 */
static void test_first_piece_beyond_the_budget(void **state)
{
	static char piece[BODY_DEFAULT_MAX_BYTES + 4000];
	struct body_budget budget = {.used = 1 << 20, .max = 1 << 20};
	struct body_buffer b = {.max_size = 512 << 10, .budget = &budget};

	(void)state;
	assert_int_equal(body_write(&b, piece, sizeof(piece)),
			 BODY_DEFAULT_MAX_BYTES);
	assert_int_equal(body_write(&b, piece, 1), 0);
	assert_int_equal(body_read(&b, piece, 100), 100);
	assert_int_equal(body_write(&b, piece, 200), 100);
	body_finish(&b);
	assert_int_equal(budget.used, 1 << 20);
}

/* Memory beyond the default buffer is taken from the budget, and given back. */
static void test_budget_is_kept(void **state)
{
	static char piece[64 << 10];
	struct body_budget budget = {.max = 1 << 20};
	struct body_buffer b = {.max_size = 512 << 10, .budget = &budget};

	(void)state;
	assert_int_equal(body_write(&b, piece, sizeof(piece)), sizeof(piece));
	assert_true(budget.used >= sizeof(piece) - BODY_DEFAULT_MAX_BYTES);
	body_finish(&b);
	assert_int_equal(budget.used, 0);
}

/* As much can be written as is said to be writable, also when the budget is
 * used up. */
static void test_writable_follows_the_budget(void **state)
{
	static char piece[64 << 10];
	struct body_budget budget = {.max = 1 << 20};
	struct body_buffer b = {.max_size = 64 << 10, .budget = &budget};

	(void)state;
	assert_int_equal(body_writable(&b), 64 << 10);
	budget.used = budget.max;
	assert_int_equal(body_writable(&b), BODY_DEFAULT_MAX_BYTES);
	assert_int_equal(body_write(&b, piece, BODY_DEFAULT_MAX_BYTES),
			 BODY_DEFAULT_MAX_BYTES);
	assert_int_equal(body_writable(&b), 0);
	budget.used = 0;
	assert_int_equal(body_writable(&b), 48 << 10);
	assert_int_equal(body_write(&b, piece, 48 << 10), 48 << 10);
	body_finish(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_piece_beyond_the_budget),
		cmocka_unit_test(test_budget_is_kept),
		cmocka_unit_test(test_writable_follows_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
