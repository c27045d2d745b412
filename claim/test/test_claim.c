#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/claim.h>
#include <stdlib.h>
#include <string.h>

static struct claim_shard shard;
static const struct claim_options options = {.retention_ms = 1000,
					     .segment_records = 4};

static struct claim_record make_record(uint64_t key, uint64_t token)
{
	return (struct claim_record){.key = {.high = 1, .low = key},
				     .token = token};
}

static int setup(void **state)
{
	(void)state;
	return claim_init(&shard, &options, NULL) != PRL_OK;
}

static int teardown(void **state)
{
	(void)state;
	claim_finish(&shard);
	return 0;
}

static void load_empty(void)
{
	assert_int_equal(claim_load_done(&shard, NULL, 0, NULL), PRL_OK);
}

static struct claim_answer next_answer(void)
{
	struct claim_answer a;

	assert_int_equal(claim_next_answer(&shard, &a), 1);
	return a;
}

/* Of two claims of a key that arrive together only the first is granted. */
static void test_first_is_granted(void **state)
{
	struct claim_record a = make_record(1, 10);
	struct claim_record b = make_record(1, 11);
	struct claim_write w;

	(void)state;
	claim_submit(&shard, &a, 100);
	claim_submit(&shard, &b, 101);
	load_empty();
	assert_int_equal(claim_next_action(&shard, 5, &w), CLAIM_WRITE);
	assert_int_equal(w.slot, 0);
	assert_int_equal(w.expected_version, 0);
	claim_write_done(&shard, 7, 5);
	assert_int_equal(next_answer().verdict, CLAIM_GRANTED);
	/* The second claim is answered from the stored first one. */
	assert_int_equal(claim_next_action(&shard, 5, &w), CLAIM_IDLE);
	assert_int_equal(next_answer().verdict, CLAIM_TAKEN);
}

/* A claim whose write took effect, but whose answer was lost, is granted when
 * the log shows its token; it must not be refused as taken by another. */
static void test_lost_answer_is_found_by_token(void **state)
{
	struct claim_record a = make_record(1, 10);
	struct claim_segment seg;
	struct claim_write w;
	char text[512];

	(void)state;
	claim_submit(&shard, &a, 100);
	load_empty();
	assert_int_equal(claim_next_action(&shard, 5, &w), CLAIM_WRITE);
	memcpy(text, w.text, w.len);
	text[w.len] = 0;
	claim_write_unsettled(&shard);
	assert_int_equal(claim_next_action(&shard, 5, &w), CLAIM_LOAD);
	seg = (struct claim_segment){
		.version = 3, .text = text, .len = strlen(text)};
	assert_int_equal(claim_load_done(&shard, &seg, 1, NULL), PRL_OK);
	assert_int_equal(claim_next_action(&shard, 5, &w), CLAIM_IDLE);
	assert_int_equal(next_answer().verdict, CLAIM_GRANTED);
}

/* Without the store claims are refused at once instead of left pending. */
static void test_store_down_refuses(void **state)
{
	struct claim_record a = make_record(1, 10);
	struct claim_write w;

	(void)state;
	claim_submit(&shard, &a, 100);
	assert_int_equal(claim_next_action(&shard, 0, &w), CLAIM_LOAD);
	claim_store_failed(&shard, PRL_E_STORE_DOWN);
	assert_int_equal(next_answer().verdict, CLAIM_REFUSED);
	assert_int_equal(claim_has_pending(&shard), 0);
}

static void complete_writes(int64_t wall, int64_t *version)
{
	struct claim_write w;

	while (claim_next_action(&shard, wall, &w) == CLAIM_WRITE)
		claim_write_done(&shard, ++*version, wall);
}

/* While all segments are within the retention time, claims are refused. After
 * it the oldest segment is reused and its keys are forgotten. */
static void test_full_ring(void **state)
{
	struct claim_answer a;
	int64_t version = 0;
	int granted = 0;
	int refused = 0;

	(void)state;
	load_empty();
	for (uint64_t k = 0; k < CLAIM_SEGMENT_SLOTS * 4 + 10; k++) {
		struct claim_record r = make_record(k, k + 1000);

		claim_submit(&shard, &r, k + 1);
		complete_writes(10, &version);
		while (claim_next_answer(&shard, &a)) {
			granted += a.verdict == CLAIM_GRANTED;
			refused += a.verdict == CLAIM_REFUSED;
			if (a.verdict == CLAIM_REFUSED)
				assert_int_equal(a.code, PRL_E_FULL);
		}
	}
	assert_int_equal(granted, CLAIM_SEGMENT_SLOTS * 4);
	assert_int_equal(refused, 10);
	assert_non_null(claim_find(&shard, make_record(0, 0).key));
	claim_submit(&shard,
		     &(struct claim_record){.key = {1, 9999}, .token = 5}, 7);
	complete_writes(10 + 1001, &version);
	assert_int_equal(next_answer().verdict, CLAIM_GRANTED);
	assert_null(claim_find(&shard, make_record(0, 0).key));
	assert_non_null(claim_find(&shard, make_record(5, 0).key));
}

/* A later claim of a key learns that the request ran, and its status; the key
 * is never free again. */
static void test_outcome_is_kept(void **state)
{
	struct claim_record a = make_record(1, 10);
	struct claim_record again = make_record(1, 99);
	struct claim_answer got;
	int64_t version = 0;

	(void)state;
	load_empty();
	claim_submit(&shard, &a, 1);
	complete_writes(1, &version);
	assert_int_equal(next_answer().verdict, CLAIM_GRANTED);
	a.status = CLAIM_RAN;
	a.http_status = 201;
	claim_submit(&shard, &a, 0);
	/* A CLAIM_RAN record alone is written after its delay. */
	complete_writes(1, &version);
	assert_int_equal(claim_has_pending(&shard), 1);
	complete_writes(1 + CLAIM_OUTCOME_DELAY_MS, &version);
	assert_int_equal(claim_has_pending(&shard), 0);
	claim_submit(&shard, &again, 2);
	complete_writes(1, &version);
	got = next_answer();
	assert_int_equal(got.verdict, CLAIM_TAKEN);
	assert_int_equal(got.record.status, CLAIM_RAN);
	assert_int_equal(got.record.http_status, 201);
	/* A request that ran cannot be released. */
	a.status = CLAIM_RELEASED;
	claim_submit(&shard, &a, 0);
	complete_writes(1, &version);
	assert_int_equal(claim_find(&shard, a.key)->status, CLAIM_RAN);
}

/* A released key may be claimed by another request. */
static void test_release_frees_the_key(void **state)
{
	struct claim_record a = make_record(1, 10);
	struct claim_record b = make_record(1, 11);
	int64_t version = 0;

	(void)state;
	load_empty();
	claim_submit(&shard, &a, 1);
	complete_writes(1, &version);
	assert_int_equal(next_answer().verdict, CLAIM_GRANTED);
	a.status = CLAIM_RELEASED;
	claim_submit(&shard, &a, 0);
	claim_submit(&shard, &b, 2);
	complete_writes(1, &version);
	assert_int_equal(next_answer().verdict, CLAIM_GRANTED);
}

/* A segment that is not valid fails the load; if it was skipped, its keys could
 * be claimed again. */
static void test_bad_segments_are_refused(void **state)
{
	static const char *const bad[] = {
		"",
		"x\n",
		"0 0 0 1\n",
		"0 0 0 300\n",
		"-1 0 0 0\n",
		"1 0 0 0\n",
		"0 0 0 1\nzz\n",
		("0 0 0 1\n00000000000000010000000000000001 "
		 "0000000000000001 7 000\n")};
	struct prl_error err;
	struct claim_segment seg = {.slot = 0, .version = 1};

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		seg.text = bad[i];
		seg.len = strlen(bad[i]);
		assert_int_equal(claim_load_done(&shard, &seg, 1, &err),
				 PRL_E_PROTOCOL);
	}
	seg.slot = CLAIM_SEGMENT_SLOTS;
	assert_int_equal(claim_load_done(&shard, &seg, 1, &err),
			 PRL_E_PROTOCOL);
}

/* Claims beyond CLAIM_PENDING_MAX are refused and do not overflow the arrays.
 */
static void test_too_many_are_pending(void **state)
{
	struct claim_record r;
	int taken = 0;

	(void)state;
	for (uint64_t k = 0; k < CLAIM_PENDING_MAX + 5; k++) {
		r = make_record(k, k);
		taken += claim_submit(&shard, &r, k + 1) == PRL_OK;
	}
	assert_int_equal(taken, CLAIM_PENDING_MAX);
}

static struct claim_answer make_answer(int verdict, uint64_t token, int status)
{
	return (struct claim_answer){
		.verdict = (enum claim_verdict)verdict,
		.record = {.token = token, .status = (enum claim_status)status},
	};
}

/* An answer from another VM is a grant only if it names this claim. */
static void test_grant_of_another_claim_is_valid(void **state)
{
	struct claim_record claim = make_record(1, 10);
	struct claim_answer a = {0};

	(void)state;
	assert_false(claim_answer_is_valid(&a, &claim));
	a = make_answer(CLAIM_GRANTED, 11, CLAIM_OPEN);
	assert_false(claim_answer_is_valid(&a, &claim));
	a = make_answer(CLAIM_GRANTED, 10, CLAIM_RELEASED);
	assert_false(claim_answer_is_valid(&a, &claim));
	a = make_answer(CLAIM_REFUSED + 1, 10, CLAIM_OPEN);
	assert_false(claim_answer_is_valid(&a, &claim));
	a = make_answer(-1, 10, CLAIM_OPEN);
	assert_false(claim_answer_is_valid(&a, &claim));
	a = make_answer(CLAIM_TAKEN, 11, CLAIM_RELEASED + 1);
	assert_false(claim_answer_is_valid(&a, &claim));
	a = make_answer(CLAIM_GRANTED, 10, CLAIM_OPEN);
	assert_true(claim_answer_is_valid(&a, &claim));
	a = make_answer(CLAIM_TAKEN, 11, CLAIM_RAN);
	assert_true(claim_answer_is_valid(&a, &claim));
	a = make_answer(CLAIM_REFUSED, 10, CLAIM_OPEN);
	assert_true(claim_answer_is_valid(&a, &claim));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_grant_of_another_claim_is_valid),
		cmocka_unit_test_setup_teardown(test_first_is_granted, setup,
						teardown),
		cmocka_unit_test_setup_teardown(
			test_lost_answer_is_found_by_token, setup, teardown),
		cmocka_unit_test_setup_teardown(test_store_down_refuses, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_full_ring, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_outcome_is_kept, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_release_frees_the_key,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_bad_segments_are_refused,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_too_many_are_pending,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
