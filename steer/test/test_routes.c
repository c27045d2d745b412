#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/steer.h>
#include <string.h>

static struct steer_route routes[4];

/* The longest prefix of the host wins, whatever its case and port; a part of a
 * host name does not match. */
static void test_longest_prefix_of_the_host(void **state)
{
	static const char *const rows[][2] = {{"a.example", "/long/er/"},
					      {"a.example", "/long/"},
					      {"b.example", "/long/"},
					      {"b.example", "/"}};
	struct steer_view v = {.route = routes, .nroute = 4};

	(void)state;
	for (int i = 0; i < 4; i++) {
		routes[i].host = rows[i][0];
		routes[i].prefix = rows[i][1];
	}
	assert_ptr_equal(steer_find_route(&v, "a.example", "/long/er/x"),
			 &routes[0]);
	assert_ptr_equal(steer_find_route(&v, "A.Example:8080", "/long/e"),
			 &routes[1]);
	assert_ptr_equal(steer_find_route(&v, "b.example", "/other"),
			 &routes[3]);
	assert_null(steer_find_route(&v, "a.example", "/other"));
	assert_null(steer_find_route(&v, "a.exampl", "/long/"));
	assert_null(steer_find_route(&v, "c.example", "/long/"));
}

/* Splits get requests in proportion to their weights, one without a weight
 * none. */
static void test_splits_keep_their_weights(void **state)
{
	struct fleet_split split[3] = {{.weight_milli = 90000},
				       {.weight_milli = 10000}};
	struct steer_route r = {.nsplit = 3, .split = split};
	int64_t credit[3] = {0};
	int n[3] = {0};

	(void)state;
	for (int i = 0; i < 50; i++)
		n[steer_next_split(&r, credit)]++;
	assert_int_equal(n[0], 45);
	assert_int_equal(n[1], 5);
	assert_int_equal(n[2], 0);
	split[0].weight_milli = 0;
	split[1].weight_milli = 0;
	assert_int_equal(steer_next_split(&r, credit), STEER_NONE);
}

/* Active VMs of the region are returned, or of all regions if too few. */
static void test_nearby_vms_of_the_region(void **state)
{
	struct steer_vm vms[5] = {{.region = 0},
				  {.region = 0},
				  {.region = 1},
				  {.region = 1},
				  {.region = 1}};
	struct steer_view v = {.vm = vms, .nvm = 5, .nregion = 2};
	int vm[STEER_NEARBY_MAX];

	(void)state;
	v.first_vm[1] = 2;
	for (int r = 2; r <= STEER_REGIONS_MAX; r++)
		v.first_vm[r] = 5;
	assert_int_equal(steer_nearby_vms(&v, 0, vm), 2);
	assert_int_equal(steer_nearby_vms(&v, 1, vm), 3);
	vms[0].state = STEER_LEAVING;
	/* A region with one VM cannot survive its loss: all are returned. */
	assert_int_equal(steer_nearby_vms(&v, 0, vm), 4);
	assert_int_equal(steer_nearby_vms(&v, STEER_NONE, vm), 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix_of_the_host),
		cmocka_unit_test(test_splits_keep_their_weights),
		cmocka_unit_test(test_nearby_vms_of_the_region),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
