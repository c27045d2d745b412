#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/spread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void test_older_is_stale(void **state)
{
	struct spread_replica c;

	(void)state;
	spread_init(&c);
	assert_int_equal(spread_install(&c, "a", 5, "x", 1), PRL_OK);
	assert_int_equal(spread_install(&c, "a", 5, "y", 1), PRL_E_STALE);
	assert_int_equal(spread_install(&c, "a", 4, "y", 1), PRL_E_STALE);
	assert_string_equal(spread_find(&c, "a")->value, "x");
	assert_int_equal(spread_install(&c, "a", 6, "", 0), PRL_OK);
	assert_int_equal(spread_find(&c, "a")->len, 0);
	assert_int_equal(c.value_bytes, 0);
	spread_finish(&c);
}

static void test_gap_is_seen(void **state)
{
	struct spread_replica c;

	(void)state;
	spread_init(&c);
	assert_int_equal(spread_advance(&c, 0, 5), PRL_OK);
	assert_int_equal(spread_advance(&c, 7, 8), PRL_E_STALE);
	assert_int_equal(c.complete_revision, 5);
	assert_int_equal(spread_advance(&c, 3, 8), PRL_OK);
	assert_int_equal(c.complete_revision, 8);
	assert_int_equal(spread_advance(&c, 1, 2), PRL_OK);
	assert_int_equal(c.complete_revision, 8);
	spread_finish(&c);
}

/* Deltas that are lost, repeated and reordered, against one that gets all of
 * them in order: whenever "complete" reaches a revision, the copies agree. */
static void test_any_order_as_naive(void **state)
{
	(void)state;
	srand(4);
	for (int run = 0; run < 200; run++) {
		struct spread_replica source;
		struct spread_replica copy;
		char key[8];
		char value[16];

		spread_init(&source);
		spread_init(&copy);
		for (int64_t rev = 1; rev <= 60; rev++) {
			int64_t after = rand() % 4
						? source.complete_revision
						: source.complete_revision / 2;
			GPtrArray *found;

			snprintf(key, sizeof(key), "k%d", rand() % 7);
			snprintf(value, sizeof(value), "%d", rand());
			spread_install(&source, key, rev, value, strlen(value));
			spread_advance(&source, rev - 1, rev);
			if (rand() % 3 == 0)
				continue;
			found = spread_changed_since(&source, after);
			for (guint i = found->len; i > 0; i--) {
				const struct spread_object *o =
					g_ptr_array_index(found, i - 1);

				spread_install(&copy, o->key, o->version,
					       o->value, o->len);
			}
			g_ptr_array_free(found, TRUE);
			spread_advance(&copy, after, rev);
			if (copy.complete_revision != source.complete_revision)
				continue;
			assert_true(copy.digest == source.digest);
			assert_int_equal(copy.value_bytes, source.value_bytes);
		}
		spread_finish(&source);
		spread_finish(&copy);
	}
}

/* What a list lacks was removed, unless it is newer than the list, of another
 * kind, or removed already. */
static void test_what_a_list_lacks(void **state)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	struct spread_replica c;
	GPtrArray *found;

	(void)state;
	spread_init(&c);
	spread_install(&c, "k/a", 5, "x", 1);
	spread_install(&c, "k/b", 6, "x", 1);
	spread_install(&c, "k/c", 9, "x", 1);
	spread_install(&c, "k/d", 7, NULL, 0);
	spread_install(&c, "m/e", 3, "x", 1);
	g_hash_table_add(listed, "k/a");
	found = spread_missing_from_list(&c, "k/", 8, listed);
	assert_int_equal(found->len, 1);
	assert_string_equal(((struct spread_object *)found->pdata[0])->key,
			    "k/b");
	g_ptr_array_free(found, TRUE);
	g_hash_table_destroy(listed);
	spread_finish(&c);
}

/* Every VM of a tree has exactly one parent, also where a fan-out ends. */
static void test_tree_reaches_all_once(void **state)
{
	(void)state;
	for (int total = 1; total < 300; total++) {
		int reached[300] = {0};
		int child[8];

		for (int i = 0; i < total; i++) {
			int n = spread_tree_children(i, total, child, 8);

			for (int k = 0; k < n; k++)
				reached[child[k]]++;
		}
		assert_int_equal(reached[0], 0);
		for (int i = 1; i < total; i++)
			assert_int_equal(reached[i], 1);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_older_is_stale),
		cmocka_unit_test(test_gap_is_seen),
		cmocka_unit_test(test_any_order_as_naive),
		cmocka_unit_test(test_what_a_list_lacks),
		cmocka_unit_test(test_tree_reaches_all_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
