#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/quarantine.h>
#include <stdlib.h>
#include <string.h>

#define MINUTE_MS ((int64_t)60000)
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * HOUR_MS)

static struct quarantine table;
static int64_t now_ms;

static struct prl_hash128 digest_of(uint64_t n)
{
	return (struct prl_hash128){n * 0x9e3779b97f4a7c15u, n};
}

static int setup(void **state)
{
	(void)state;
	memset(&table, 0, sizeof(table));
	now_ms = 50000;
	return 0;
}

static enum quarantine_change crash(uint64_t request, uint64_t upstream)
{
	struct prl_hash128 digest = digest_of(request);

	now_ms += 10;
	return quarantine_crashed(&table, &digest, request, upstream,
				  "GET h.example/a", now_ms);
}

static enum quarantine_verdict enter(uint64_t request)
{
	struct prl_hash128 digest = digest_of(request);

	return quarantine_enter(&table, &digest, now_ms);
}

static void leave(uint64_t request)
{
	struct prl_hash128 digest = digest_of(request);

	quarantine_leave(&table, &digest);
}

static enum quarantine_change clear(uint64_t request)
{
	struct prl_hash128 digest = digest_of(request);

	return quarantine_clear(&table, &digest, now_ms);
}

static int may_retry(uint64_t request, uint64_t upstream)
{
	struct prl_hash128 digest = digest_of(request);

	return quarantine_may_retry(&table, &digest, upstream);
}

static struct quarantine_entry *find(uint64_t request)
{
	struct prl_hash128 digest = digest_of(request);

	return quarantine_find(&table, &digest);
}

static void test_request_is_sent_after_three_crashes(void **state)
{
	(void)state;
	assert_int_equal(enter(1), QUARANTINE_PASS);
	assert_int_equal(crash(1, 30), QUARANTINE_SUSPECTED);
	assert_int_equal(enter(1), QUARANTINE_WATCH);
	assert_int_equal(crash(1, 10), QUARANTINE_SUSPECTED);
	assert_int_equal(enter(1), QUARANTINE_ALONE);
	assert_int_equal(crash(1, 20), QUARANTINE_BEGUN);
	leave(1);
	assert_int_equal(enter(1), QUARANTINE_REJECT);
	assert_int_equal(enter(2), QUARANTINE_PASS);
	assert_true(quarantine_has_head(&table, 1));
	assert_false(quarantine_has_head(&table, 2));
}

/* One upstream ends once, by however many it is reported. */
static void test_one_crash_counts_twice(void **state)
{
	(void)state;
	assert_int_equal(crash(1, 10), QUARANTINE_SUSPECTED);
	for (int i = 0; i < 5; i++)
		assert_int_equal(crash(1, 10), QUARANTINE_UNCHANGED);
	assert_int_equal(enter(1), QUARANTINE_WATCH);
}

static void test_copies_of_a_suspect_run_together(void **state)
{
	(void)state;
	crash(1, 10);
	assert_int_equal(enter(1), QUARANTINE_WATCH);
	assert_int_equal(enter(1), QUARANTINE_WATCH);
	crash(1, 20);
	assert_int_equal(enter(1), QUARANTINE_ALONE);
	assert_int_equal(enter(1), QUARANTINE_BUSY);
	leave(1);
	assert_int_equal(enter(1), QUARANTINE_ALONE);
}

static void test_suspect_is_sent_again_after_a_second_crash(void **state)
{
	(void)state;
	assert_true(may_retry(1, 10));
	crash(1, 10);
	assert_true(may_retry(1, 10));
	assert_false(may_retry(1, 20));
	clear(1);
	assert_true(may_retry(1, 20));
}

/* Innocent requests meet ends of upstreams, too. */
static void test_answered_request_stays_a_suspect(void **state)
{
	(void)state;
	for (uint64_t i = 1; i < 100; i++) {
		crash(1, i);
		assert_int_equal(clear(1), QUARANTINE_CLEARED);
		assert_int_equal(enter(1), QUARANTINE_PASS);
		assert_int_equal(clear(1), QUARANTINE_UNCHANGED);
	}
	assert_int_equal(find(1)->record.clearance, 99);
}

/* What a request has ended for which it is convicted says nothing of others. */
static void test_bystander_is_convicted(void **state)
{
	(void)state;
	crash(2, 10);
	crash(2, 20);
	crash(3, 40);
	for (uint64_t i = 10; i <= 30; i += 10)
		crash(1, i);
	assert_int_equal(enter(1), QUARANTINE_REJECT);
	assert_int_equal(enter(2), QUARANTINE_PASS);
	assert_int_equal(enter(3), QUARANTINE_WATCH);
	assert_int_equal(crash(2, 50), QUARANTINE_SUSPECTED);
	assert_int_equal(enter(2), QUARANTINE_WATCH);
}

static struct quarantine_answers answers;

static void note_answer(uint64_t request)
{
	struct prl_hash128 digest = digest_of(request << 32);

	quarantine_answers_note(&answers, &digest, now_ms);
}

static int answer_speaks(uint64_t request)
{
	struct prl_hash128 digest = digest_of(request << 32);

	return quarantine_answers_speak(&answers, &digest, now_ms);
}

/* Upstreams that end together are put down to others after an answer, for ten
 * seconds; those that end later are not. */
static void test_answer_speaks_for_a_request_too_often(void **state)
{
	(void)state;
	memset(&answers, 0, sizeof(answers));
	assert_false(answer_speaks(1));
	note_answer(1);
	/* Another request in the same place. */
	assert_false(answer_speaks(2));
	assert_true(answer_speaks(1));
	assert_true(answer_speaks(1));
	now_ms += 2000;
	assert_true(answer_speaks(1));
	now_ms += 1000;
	assert_false(answer_speaks(1));
	note_answer(1);
	now_ms += 10000;
	assert_true(answer_speaks(1));
	note_answer(1);
	now_ms += 11000;
	assert_false(answer_speaks(1));
}

static void make_record(struct quarantine_record *r, uint64_t request,
			int64_t clearance, uint64_t first, int ncrash)
{
	memset(r, 0, sizeof(*r));
	r->digest = digest_of(request);
	r->clearance = clearance;
	r->ncrash = ncrash;
	for (int i = 0; i < ncrash; i++)
		r->crash[i] = first + (uint64_t)i;
}

static enum quarantine_change merge(uint64_t request, int64_t clearance,
				    uint64_t first, int ncrash)
{
	struct quarantine_record r;

	make_record(&r, request, clearance, first, ncrash);
	return quarantine_merge(&table, &r, now_ms);
}

/* The three ends may be known to three VMs, one each. */
static void test_crashes_that_others_saw_do_not_count(void **state)
{
	(void)state;
	crash(1, 10);
	assert_int_equal(merge(1, 0, 20, 1), QUARANTINE_SUSPECTED);
	assert_int_equal(merge(1, 0, 20, 1), QUARANTINE_UNCHANGED);
	assert_int_equal(merge(1, 0, 30, 1), QUARANTINE_BEGUN);
	assert_int_equal(enter(1), QUARANTINE_REJECT);
}

static void test_older_record_undoes_a_clearance(void **state)
{
	(void)state;
	merge(1, 0, 10, 3);
	assert_int_equal(clear(1), QUARANTINE_CLEARED);
	assert_int_equal(merge(1, 0, 10, 3), QUARANTINE_OUTDATED);
	assert_int_equal(enter(1), QUARANTINE_PASS);
	assert_int_equal(merge(1, 2, 10, 3), QUARANTINE_BEGUN);
	assert_int_equal(merge(1, 3, 0, 0), QUARANTINE_CLEARED);
	assert_int_equal(enter(1), QUARANTINE_PASS);
}

static int same_state(const struct quarantine_record *a,
		      const struct quarantine_record *b)
{
	int same = a->clearance == b->clearance && a->ncrash == b->ncrash &&
		   a->ntrial == b->ntrial && a->kept_era == b->kept_era;

	/* Beyond three, which crashes are kept does not matter. */
	return same && (a->ncrash == QUARANTINE_CRASHES ||
			!memcmp(a->crash, b->crash,
				(size_t)a->ncrash * sizeof(a->crash[0])));
}

/* Records of one request merge to the same in any order, however often. */
static void test_merged_records_depend_on_order(void **state)
{
	static struct quarantine other;

	(void)state;
	srand(7);
	for (int round = 0; round < 3000; round++) {
		struct quarantine_record r[6];

		setup(NULL);
		memset(&other, 0, sizeof(other));
		for (int i = 0; i < 6; i++) {
			make_record(&r[i], 1, rand() % 3,
				    1 + (uint64_t)(rand() % 4), rand() % 3);
			r[i].ntrial = r[i].ncrash ? rand() % 3 : 0;
			r[i].kept_era = r[i].ncrash ? rand() % 3 : 0;
		}
		for (int i = 0; i < 6; i++)
			quarantine_merge(&table, &r[i], now_ms);
		for (int i = 0; i < 12; i++)
			quarantine_merge(&other, &r[(i * 5 + 3) % 6], now_ms);
		assert_true(same_state(&table.entry[0].record,
				       &other.entry[0].record));
	}
}

/* Requests with fewer crashes never take the place of one with more. */
static void test_flood_of_suspects_drops_a_convicted_one(void **state)
{
	(void)state;
	for (uint64_t i = 1; i <= 3; i++)
		crash(1, i);
	crash(2, 1);
	crash(2, 2);
	for (uint64_t i = 100; i < 100 + 3 * QUARANTINE_ENTRIES_MAX; i++)
		crash(i, i);
	assert_int_equal(table.nentry, QUARANTINE_ENTRIES_MAX);
	assert_int_equal(enter(1), QUARANTINE_REJECT);
	assert_int_equal(enter(2), QUARANTINE_ALONE);
	/* Nor do they keep the newest ones out. */
	assert_non_null(find(99 + 3 * QUARANTINE_ENTRIES_MAX));
	assert_null(find(100));
}

static void test_full_table_of_convicted_ones_refuses_a_new_one(void **state)
{
	(void)state;
	for (uint64_t i = 1; i <= QUARANTINE_ENTRIES_MAX + 5; i++) {
		now_ms++;
		merge(i, 0, 10, 3);
	}
	assert_int_equal(table.nentry, QUARANTINE_ENTRIES_MAX);
	assert_int_equal(enter(QUARANTINE_ENTRIES_MAX + 5), QUARANTINE_REJECT);
	assert_int_equal(crash(9000, 1), QUARANTINE_UNCHANGED);
	assert_int_equal(enter(QUARANTINE_ENTRIES_MAX), QUARANTINE_REJECT);
}

static void test_trial_is_due_early_or_unasked(void **state)
{
	struct quarantine_entry *e;

	(void)state;
	merge(1, 0, 10, 3);
	now_ms += MINUTE_MS - 1;
	enter(1);
	assert_null(quarantine_due_trial(&table, now_ms));
	now_ms += 1;
	assert_null(quarantine_due_trial(&table, now_ms));
	assert_int_equal(enter(1), QUARANTINE_REJECT);
	e = quarantine_due_trial(&table, now_ms);
	assert_ptr_equal(e, find(1));
	quarantine_open_trial(e, 1, now_ms);
	assert_null(quarantine_due_trial(&table, now_ms));
	assert_int_equal(enter(1), QUARANTINE_ALONE);
	assert_int_equal(enter(1), QUARANTINE_REJECT);
	leave(1);
	assert_int_equal(enter(1), QUARANTINE_REJECT);
}

/* In the first day after the quarantine began. */
static void test_more_than_three_trials_in_a_day(void **state)
{
	int64_t end_ms;
	int trials = 0;

	(void)state;
	merge(1, 0, 10, 3);
	end_ms = now_ms + DAY_MS;
	for (; now_ms < end_ms; now_ms += 10000) {
		struct quarantine_entry *e;

		enter(1);
		e = quarantine_due_trial(&table, now_ms);
		if (!e)
			continue;
		trials++;
		quarantine_open_trial(e, e->record.ntrial + 1, now_ms);
		assert_int_equal(enter(1), QUARANTINE_ALONE);
		leave(1);
	}
	assert_int_equal(trials, 3);
}

static void test_what_is_old_is_kept_or_lost_too_early(void **state)
{
	(void)state;
	crash(1, 10);
	merge(2, 0, 10, 3);
	now_ms += HOUR_MS - 1000;
	quarantine_expire(&table, now_ms);
	assert_non_null(find(1));
	now_ms += 2000;
	quarantine_expire(&table, now_ms);
	assert_null(find(1));
	now_ms += 7 * DAY_MS - HOUR_MS - 2000;
	quarantine_expire(&table, now_ms);
	assert_int_equal(enter(2), QUARANTINE_REJECT);
	now_ms += 7 * DAY_MS + 1000;
	quarantine_expire(&table, now_ms);
	assert_int_equal(enter(2), QUARANTINE_PASS);
}

static void test_record_is_not_read_as_written(void **state)
{
	char about[QUARANTINE_ABOUT_MAX];
	char name[QUARANTINE_NAME_MAX];
	struct quarantine_record in;
	struct quarantine_record out;
	char *text;

	(void)state;
	make_record(&in, 77, 3, 0xfedcba9876543210u, 3);
	in.head = 0x8000000000000001u;
	in.ntrial = 2;
	quarantine_name_format(&in.digest, name);
	text = quarantine_record_format(&in, "GET h.example/a");
	assert_int_equal(quarantine_record_parse(name, text, &out, about, NULL),
			 PRL_OK);
	assert_memory_equal(&in, &out, sizeof(in));
	assert_string_equal(about, "GET h.example/a");
	free(text);
}

static void test_odd_record_is_read(void **state)
{
	static const char *const odd[] = {
		"",
		"7",
		"{}",
		"[]",
		"{\"head\":7}",
		"{\"head\":\"1\",\"clearance\":0,\"crashes\":[],\"trials\":0}",
		"{\"head\":\"0000000000000001\",\"clearance\":-1,"
		"\"crashes\":[],\"trials\":0}",
		"{\"head\":\"0000000000000001\",\"clearance\":0,"
		"\"crashes\":[\"0000000000000002\",\"0000000000000001\"],"
		"\"trials\":0}",
		"{\"head\":\"0000000000000001\",\"clearance\":0,"
		"\"crashes\":[1],\"trials\":0}",
		"{\"head\":\"0000000000000001\",\"clearance\":0,"
		"\"crashes\":{},\"trials\":0}",
		"{\"head\":\"0000000000000001\",\"clearance\":1e99,"
		"\"crashes\":[],\"trials\":0}",
	};
	char about[QUARANTINE_ABOUT_MAX];
	char name[QUARANTINE_NAME_MAX];
	struct prl_hash128 digest = digest_of(5);
	struct quarantine_record out;

	(void)state;
	quarantine_name_format(&digest, name);
	for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		assert_int_equal(quarantine_record_parse(name, odd[i], &out,
							 about, NULL),
				 PRL_E_PROTOCOL);
	assert_int_equal(quarantine_name_parse("12", &digest), -1);
	assert_int_equal(quarantine_name_parse(
				 "0123456789abcdef0123456789abcdeg", &digest),
			 -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
#define TEST(f) cmocka_unit_test_setup(f, setup)
		TEST(test_request_is_sent_after_three_crashes),
		TEST(test_one_crash_counts_twice),
		TEST(test_copies_of_a_suspect_run_together),
		TEST(test_suspect_is_sent_again_after_a_second_crash),
		TEST(test_answered_request_stays_a_suspect),
		TEST(test_bystander_is_convicted),
		TEST(test_answer_speaks_for_a_request_too_often),
		TEST(test_crashes_that_others_saw_do_not_count),
		TEST(test_older_record_undoes_a_clearance),
		TEST(test_merged_records_depend_on_order),
		TEST(test_flood_of_suspects_drops_a_convicted_one),
		TEST(test_full_table_of_convicted_ones_refuses_a_new_one),
		TEST(test_trial_is_due_early_or_unasked),
		TEST(test_more_than_three_trials_in_a_day),
		TEST(test_what_is_old_is_kept_or_lost_too_early),
		TEST(test_record_is_not_read_as_written),
		TEST(test_odd_record_is_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
