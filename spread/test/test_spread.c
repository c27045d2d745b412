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
	struct spread_replica r;

	(void)state;
	spread_init(&r);
	assert_int_equal(spread_install(&r, "a", 5, "x", 1), PRL_OK);
	assert_int_equal(spread_install(&r, "a", 5, "y", 1), PRL_E_STALE);
	assert_int_equal(spread_install(&r, "a", 4, "y", 1), PRL_E_STALE);
	assert_string_equal(spread_find(&r, "a")->value, "x");
	assert_int_equal(spread_install(&r, "a", 6, "", 0), PRL_OK);
	assert_int_equal(spread_find(&r, "a")->len, 0);
	assert_int_equal(r.value_bytes, 0);
	spread_finish(&r);
}

/* A delta that does not follow the complete revision must not advance it, or
 * the missing changes would never be pulled. */
static void test_gap_is_seen(void **state)
{
	struct spread_replica r;

	(void)state;
	spread_init(&r);
	assert_int_equal(spread_advance(&r, 0, 5), PRL_OK);
	assert_int_equal(spread_advance(&r, 7, 8), PRL_E_STALE);
	assert_int_equal(r.complete_revision, 5);
	assert_int_equal(spread_advance(&r, 3, 8), PRL_OK);
	assert_int_equal(r.complete_revision, 8);
	assert_int_equal(spread_advance(&r, 1, 2), PRL_OK);
	assert_int_equal(r.complete_revision, 8);
	spread_finish(&r);
}

/* Applies deltas to one replica with losses, repetitions and in reverse order,
 * and to another completely and in order: whenever both have the same complete
 * revision, their contents must agree. */
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

/* An object that a list does not contain was removed, unless it is newer than
 * the list, of another kind, or removed already. */
static void test_what_a_list_lacks(void **state)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	struct spread_replica r;
	GPtrArray *found;

	(void)state;
	spread_init(&r);
	spread_install(&r, "k/a", 5, "x", 1);
	spread_install(&r, "k/b", 6, "x", 1);
	spread_install(&r, "k/c", 9, "x", 1);
	spread_install(&r, "k/d", 7, NULL, 0);
	spread_install(&r, "m/e", 3, "x", 1);
	g_hash_table_add(listed, "k/a");
	found = spread_missing_from_list(&r, "k/", 8, listed);
	assert_int_equal(found->len, 1);
	assert_string_equal(((struct spread_object *)found->pdata[0])->key,
			    "k/b");
	g_ptr_array_free(found, TRUE);
	g_hash_table_destroy(listed);
	spread_finish(&r);
}

/* Each VM but the root has exactly one parent, whatever the number of VMs. */
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

/* Removals are installed with the version of the response that tells of them,
 * which differs from VM to VM; replicas with the same objects are equal. */
static void test_live_digest_leaves_tombstones_out(void **state)
{
	struct spread_replica a;
	struct spread_replica b;

	(void)state;
	spread_init(&a);
	spread_init(&b);
	spread_install(&a, "x", 3, "1", 1);
	spread_install(&a, "y", 4, "1", 1);
	spread_install(&b, "x", 3, "1", 1);
	assert_true(a.live_digest != b.live_digest);
	spread_install(&a, "y", 6, "", 0);
	assert_true(a.live_digest == b.live_digest);
	spread_install(&b, "y", 9, "", 0);
	assert_true(a.live_digest == b.live_digest);
	assert_true(a.digest != b.digest);
	spread_install(&a, "y", 12, "2", 1);
	assert_true(a.live_digest != b.live_digest);
	spread_finish(&a);
	spread_finish(&b);
}

static enum spread_beat_action handle(struct spread_beats *b,
				      const struct spread_replica *r,
				      uint64_t digest, int64_t age_ms,
				      int64_t now)
{
	struct spread_beat beat = {.complete = 1,
				   .live_digest = digest,
				   .confirmed_ms = now - age_ms};

	return spread_handle_beat(b, r, &beat, SPREAD_LEARNER, 0, now);
}

/* A beat counts only if the store confirmed its sender's replica lately, and
 * confirms only an equal replica; one that stays different is pulled. */
static void test_beats_confirm_equal_replicas(void **state)
{
	struct spread_beats b = {0};
	struct spread_replica r;
	int64_t now = 100000;

	(void)state;
	spread_init(&r);
	assert_true(spread_must_read(&b, SPREAD_LEARNER, now, now));
	assert_int_equal(handle(&b, &r, 0, 3000, now), SPREAD_BEAT_NONE);
	assert_true(spread_must_read(&b, SPREAD_LEARNER, now, now));
	assert_int_equal(handle(&b, &r, 0, 100, now), SPREAD_BEAT_CONFIRMS);
	assert_false(spread_must_read(&b, SPREAD_LEARNER, now - 100, now));
	assert_true(spread_must_read(&b, SPREAD_READER, now - 100, now));
	assert_int_equal(handle(&b, &r, 7, 0, now + 10), SPREAD_BEAT_NONE);
	assert_int_equal(handle(&b, &r, 7, 0, now + 150), SPREAD_BEAT_NONE);
	assert_int_equal(handle(&b, &r, 7, 0, now + 300), SPREAD_BEAT_PULL);
	assert_int_equal(handle(&b, &r, 7, 0, now + 310), SPREAD_BEAT_NONE);
	assert_int_equal(handle(&b, &r, 0, 0, now + 320), SPREAD_BEAT_CONFIRMS);
	assert_int_equal(handle(&b, &r, 7, 0, now + 900), SPREAD_BEAT_NONE);
	spread_finish(&r);
}

/* Beats that waited while the VM stood still say nothing of now: it reads the
 * store until the next one. */
static void test_beats_received_while_standing_still(void **state)
{
	struct spread_beats b = {0};
	struct spread_replica r;
	int64_t now = 100000;

	(void)state;
	spread_init(&r);
	assert_int_equal(handle(&b, &r, 0, 0, now), SPREAD_BEAT_CONFIRMS);
	assert_false(spread_must_read(&b, SPREAD_LEARNER, now, now));
	spread_forget_beats(&b, now);
	assert_true(spread_must_read(&b, SPREAD_LEARNER, now, now));
	assert_int_equal(handle(&b, &r, 0, 0, now + 50), SPREAD_BEAT_NONE);
	assert_true(spread_must_read(&b, SPREAD_LEARNER, now, now + 50));
	assert_int_equal(handle(&b, &r, 0, 0, now + 400), SPREAD_BEAT_CONFIRMS);
	assert_false(
		spread_must_read(&b, SPREAD_LEARNER, now + 400, now + 400));
	spread_finish(&r);
}

/* Each VM reads the store before a change that its bounds concern is late,
 * also if all readers end at once or their replica is no longer confirmed. */
static void test_silence_is_noticed_in_time(void **state)
{
	struct spread_replica r;
	int64_t now = 100000;

	(void)state;
	spread_init(&r);
	for (uint64_t random = 0; random < 1000; random++) {
		struct spread_beats b = {0};
		struct spread_beat beat = {.confirmed_ms = now};

		spread_handle_beat(&b, &r, &beat, SPREAD_LEARNER, random, now);
		assert_false(
			spread_must_read(&b, SPREAD_LEARNER, now, now + 800));
		assert_true(
			spread_must_read(&b, SPREAD_LEARNER, now, now + 1250));
		spread_handle_beat(&b, &r, &beat, SPREAD_STANDBY, random, now);
		assert_true(
			spread_must_read(&b, SPREAD_STANDBY, now, now + 600));
		spread_handle_beat(&b, &r, &beat, SPREAD_LEARNER, random,
				   now + 1700);
		assert_true(
			spread_must_read(&b, SPREAD_LEARNER, now, now + 2000));
	}
	spread_finish(&r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_older_is_stale),
		cmocka_unit_test(test_gap_is_seen),
		cmocka_unit_test(test_any_order_as_naive),
		cmocka_unit_test(test_what_a_list_lacks),
		cmocka_unit_test(test_tree_reaches_all_once),
		cmocka_unit_test(test_live_digest_leaves_tombstones_out),
		cmocka_unit_test(test_beats_confirm_equal_replicas),
		cmocka_unit_test(test_beats_received_while_standing_still),
		cmocka_unit_test(test_silence_is_noticed_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
