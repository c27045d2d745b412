#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/steer.h>

/* Both halves of a digest count, and a key of several workspaces identifies
 * none. */
static void test_lookup(void **state)
{
	struct steer_workspace w[3] = {{.id = 5}, {.id = 7}, {.id = 9}};
	struct steer_key key[4] = {{{1, 8}, 2},
				   {{1, 9}, 0},
				   {{2, 1}, STEER_NONE},
				   {{UINT64_MAX, 0}, 1}};
	struct steer_view v = {
		.workspace = w, .nworkspace = 3, .key = key, .nkey = 4};
	const struct prl_hash128 none[] = {{0, 0}, {1, 7}, {1, 10},
					   {2, 2}, {3, 0}, {UINT64_MAX, 1}};

	(void)state;
	assert_ptr_equal(steer_find_workspace(&v, &key[0].digest), &w[2]);
	assert_ptr_equal(steer_find_workspace(&v, &key[1].digest), &w[0]);
	assert_null(steer_find_workspace(&v, &key[2].digest));
	assert_ptr_equal(steer_find_workspace(&v, &key[3].digest), &w[1]);
	for (size_t i = 0; i < sizeof(none) / sizeof(*none); i++)
		assert_null(steer_find_workspace(&v, &none[i]));
	for (int i = 0; i < 3; i++)
		assert_ptr_equal(steer_find_workspace_by_id(&v, w[i].id),
				 &w[i]);
	assert_null(steer_find_workspace_by_id(&v, 4));
	assert_null(steer_find_workspace_by_id(&v, 8));
	assert_null(steer_find_workspace_by_id(&v, 10));
	v.nkey = 0;
	v.nworkspace = 0;
	assert_null(steer_find_workspace(&v, &key[0].digest));
	assert_null(steer_find_workspace_by_id(&v, 5));
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(test_lookup)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
