#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/bandwidth.h>
#include <primroselead/grant.h>
#include <primroselead/ratio.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 4
#define ITERATIONS 20000

static struct limit_semaphore semaphore;
static _Atomic int holders;
static _Atomic int max_holders;

static void *acquire_repeatedly(void *arg)
{
	(void)arg;
	for (int i = 0; i < ITERATIONS; i++) {
		int count;

		if (!limit_semaphore_acquire(&semaphore))
			continue;
		count = atomic_fetch_add(&holders, 1) + 1;
		if (count > atomic_load(&max_holders))
			atomic_store(&max_holders, count);
		atomic_fetch_sub(&holders, 1);
		limit_semaphore_release(&semaphore);
	}
	return NULL;
}

/* The size changes while other threads acquire and release: the units in use
 * never exceed the largest size, and no release is lost. */
static void test_semaphore_with_threads(void **state)
{
	pthread_t t[THREADS];

	(void)state;
	limit_semaphore_init(&semaphore);
	limit_semaphore_resize(&semaphore, 3);
	for (int i = 0; i < THREADS; i++)
		pthread_create(&t[i], NULL, acquire_repeatedly, NULL);
	for (int i = 0; i < ITERATIONS; i++) {
		limit_semaphore_resize(&semaphore, 1);
		limit_semaphore_resize(&semaphore, 3);
	}
	for (int i = 0; i < THREADS; i++)
		pthread_join(t[i], NULL);
	assert_int_equal(limit_semaphore_in_use(&semaphore), 0);
	assert_int_equal(limit_semaphore_size(&semaphore), 3);
	assert_true(atomic_load(&max_holders) <= 3);
}

/* After the size was set below the units in use, nothing can be acquired until
 * enough units were released. */
static void test_semaphore_below_use(void **state)
{
	struct limit_semaphore s;

	(void)state;
	limit_semaphore_init(&s);
	assert_int_equal(limit_semaphore_acquire(&s), 0);
	limit_semaphore_resize(&s, 5);
	assert_int_equal(limit_semaphore_acquire(&s), 1);
	assert_int_equal(limit_semaphore_acquire(&s), 1);
	limit_semaphore_resize(&s, 1);
	limit_semaphore_release(&s);
	assert_int_equal(limit_semaphore_acquire(&s), 0);
	limit_semaphore_release(&s);
	assert_int_equal(limit_semaphore_acquire(&s), 1);
	assert_int_equal(limit_semaphore_in_use(&s), 1);
}

/* The events passed never exceed the ratio of all events, and reach at least
 * three quarters of it. */
static void test_ratio_is_kept(void **state)
{
	static const int permilles[] = {1, 10, 50, 100, 333, 900};

	(void)state;
	srand(1);
	for (size_t k = 0; k < sizeof(permilles) / sizeof(*permilles); k++) {
		struct limit_ratio r;
		int64_t total = 0;
		int64_t passed = 0;
		int p = permilles[k];

		limit_ratio_init(&r);
		for (int i = 0; i < 100000; i++) {
			limit_ratio_deposit(&r, p);
			total++;
			if (rand() % 1000 < p)
				passed += limit_ratio_withdraw(&r);
			assert_true(passed * 1000 <= total * p);
		}
		assert_true(passed * 1000 > total * p * 3 / 4);
	}
}

/* Credit from a long period without selected events is limited to the burst. */
static void test_ratio_after_a_pause(void **state)
{
	struct limit_ratio r;
	int passed = 0;

	(void)state;
	limit_ratio_init(&r);
	for (int i = 0; i < 100000; i++)
		limit_ratio_deposit(&r, 100);
	for (int i = 0; i < 100; i++)
		passed += limit_ratio_withdraw(&r);
	assert_int_equal(passed, LIMIT_RATIO_BURST);
}

/* The bytes passed exceed the rate by at most the burst and one block, and
 * reach at least nine tenths of the rate. */
static void test_bandwidth_keeps_the_rate(void **state)
{
	struct limit_bandwidth b = {0};
	int64_t rate = 1000000;
	int64_t block = 16384;
	int64_t passed = 0;
	int64_t now_us;

	(void)state;
	assert_int_equal(limit_bandwidth_refill(&b, 0, 5000000), 0);
	limit_bandwidth_refill(&b, rate, 5000000);
	for (now_us = 5000000; now_us < 15000000; now_us += 777) {
		if (!limit_bandwidth_refill(&b, rate, now_us))
			continue;
		limit_bandwidth_charge(&b, block);
		passed += block;
		assert_true(passed <=
			    (now_us - 5000000) * rate / 1000000 +
				    rate * LIMIT_BANDWIDTH_BURST_MS / 1000 +
				    block);
	}
	assert_true(passed > rate * 9);
}

/* The rows never exceed the capacity, also when it changes before the rows are
 * written again, and a ledger survives formatting and parsing. */
static void test_ledger_bounds(void **state)
{
	struct ledger l;
	struct ledger back;
	struct ledger_pool *p;
	struct prl_error err;
	char *text;

	(void)state;
	ledger_init(&l);
	p = ledger_get_pool(&l, "norte");
	p->capacity = 10;
	assert_int_equal(ledger_set_row(p, "a", 1, 6, &err), PRL_OK);
	assert_int_equal(ledger_set_row(p, "b", 1, 5, &err), PRL_E_LIMIT);
	assert_int_equal(ledger_set_row(p, "b", 1, 4, &err), PRL_OK);
	assert_int_equal(ledger_unallocated(p), 0);
	/* At half the capacity half of a row may be used. At twice the capacity
	 * nothing is unallocated before the rows are written again. */
	p->capacity = 5;
	assert_int_equal(ledger_scale_tokens(6, 10, 5), 3);
	assert_int_equal(ledger_unallocated(p), 0);
	p->capacity = 20;
	assert_int_equal(ledger_scale_tokens(6, 10, 20), 6);
	assert_int_equal(ledger_unallocated(p), 0);
	assert_int_equal(ledger_set_row(p, "a", 1, 6, &err), PRL_OK);
	assert_int_equal(ledger_unallocated(p), 6);
	text = ledger_format(&l);
	assert_int_equal(ledger_parse(&back, text, strlen(text), &err), PRL_OK);
	p = ledger_get_pool(&back, "norte");
	assert_int_equal(ledger_find_row(p, "a", 1)->tokens, 6);
	assert_int_equal(ledger_find_row(p, "b", 1)->base_capacity, 10);
	assert_null(ledger_find_row(p, "b", 2));
	assert_int_equal(ledger_drop_rows(p, "b", 1), 0);
	assert_int_equal(ledger_drop_rows(p, "b", 2), 1);
	ledger_finish(&l);
	ledger_finish(&back);
	free(text);
}

/* Malformed texts and rows beyond the capacity are errors, not an empty ledger
 * whose capacity could be allocated a second time. */
static void test_ledger_refuses_bad_texts(void **state)
{
	static const char *const bad[] = {
		"",
		"{}",
		"[]",
		"{\"pools\":1}",
		"{\"pools\":[{}]}",
		"{\"pools\":[{\"region\":\"a\",\"capacity\":-1,\"config\":0,"
		"\"rows\":[]}]}",
		"{\"pools\":[{\"region\":\"a\",\"capacity\":2,\"config\":0,"
		"\"rows\":[{\"vm\":\"x\",\"incarnation\":1,\"tokens\":2,"
		"\"base\":2},{\"vm\":\"y\",\"incarnation\":1,\"tokens\":1,"
		"\"base\":2}]}]}",
		"{\"pools\":[{\"region\":\"a\",\"capacity\":2,\"config\":0,"
		"\"rows\":[{\"vm\":\"x\",\"incarnation\":1,\"tokens\":0,"
		"\"base\":2}]}]}",
		"{\"pools\":[{\"region\":\"a\",\"capacity\":0,\"config\":0,"
		"\"rows\":[]},{\"region\":\"a\",\"capacity\":2,"
		"\"config\":0,\"rows\":[]}]}",
	};
	struct prl_error err;
	struct ledger l;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(ledger_parse(&l, bad[i], strlen(bad[i]), &err),
				 PRL_E_PROTOCOL);
}

/* A planned row never takes tokens that other rows cover. */
static void test_plan_stays_in_bounds(void **state)
{
	(void)state;
	srand(2);
	for (int i = 0; i < 100000; i++) {
		struct ledger_demand w = {.own_tokens = rand() % 50,
					  .unallocated = rand() % 50,
					  .capacity = 100,
					  .local_vms = rand() % 5,
					  .all_vms = 5 + rand() % 8,
					  .is_local = rand() % 2,
					  .refused = rand() % 3};
		int n = ledger_plan_tokens(&w);

		assert_true(n >= 0);
		assert_true(n <= w.own_tokens + w.unallocated);
	}
}

static void setup_grants(struct grant_set *g, struct limit_semaphore *s,
			 const char *vm, int capacity, int64_t config)
{
	struct grant_pool *p;

	grant_init(g, vm, 5, 2000);
	limit_semaphore_init(s);
	p = grant_get_pool(g, "norte");
	p->semaphore = s;
	p->capacity = capacity;
	p->config_version = config;
	p->is_local = 1;
	p->local_vms = 2;
	p->all_vms = 2;
}

/* Tokens are not used before the write of the row is confirmed, also if its
 * answer is lost. */
static void test_grant_waits_for_the_write(void **state)
{
	struct grant_destroyed destroyed = {0};
	struct grant_set g;
	struct limit_semaphore s;
	struct grant_write w;
	static const char ledger_text[] =
		"{\"pools\":[{\"region\":\"norte\",\"capacity\":20,"
		"\"config\":1,\"rows\":[{\"vm\":\"a\",\"incarnation\":5,"
		"\"tokens\":5,\"base\":20}]}]}";

	(void)state;
	setup_grants(&g, &s, "a", 20, 1);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_READ);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_IDLE);
	grant_read_done(&g, 0, "", 0, NULL);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_WRITE);
	assert_int_equal(w.expected_version, 0);
	assert_int_equal(limit_semaphore_size(&s), 0);
	grant_write_unsettled(&g);
	assert_int_equal(limit_semaphore_size(&s), 0);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_READ);
	/* The unsettled write took effect, but tokens are used only after a
	 * write that was confirmed. */
	grant_read_done(&g, 9, ledger_text, strlen(ledger_text), NULL);
	assert_int_equal(limit_semaphore_size(&s), 0);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_WRITE);
	assert_int_equal(w.expected_version, 9);
	grant_write_done(&g, 10);
	assert_true(limit_semaphore_size(&s) > 0);
	grant_finish(&g);
}

/* Sets up VM "a" with a pool of 20 tokens that has read this ledger. */
static void setup_grants_and_read(struct grant_set *g,
				  struct limit_semaphore *s,
				  const char *ledger_text)
{
	struct grant_destroyed destroyed = {0};
	struct grant_write w;

	setup_grants(g, s, "a", 20, 1);
	assert_int_equal(grant_next_action(g, 0, &destroyed, &w), GRANT_READ);
	grant_read_done(g, 9, ledger_text, strlen(ledger_text), NULL);
}

/* Two transfers that take the credit as soon as there is some do not keep a new
 * one waiting, and still get the rate. */
static void test_new_transfer_finds_bandwidth(void **state)
{
	const int64_t rate = 1000000;
	const int64_t block = 16384;
	struct limit_bandwidth b = {0};
	int64_t passed = 0;
	int admitted = 0;

	(void)state;
	for (int64_t ms = 1000; ms < 11000; ms++) {
		for (int i = 0; i < 2; i++) {
			if (!limit_bandwidth_refill(&b, rate, ms * 1000))
				continue;
			limit_bandwidth_charge(&b, block);
			passed += block;
		}
		/* Twice a second a new transfer asks every 2 ms for 40 ms. */
		if (ms % 500 < 40 && ms % 2 == 0)
			admitted += limit_bandwidth_admit(&b, rate, ms * 1000);
		if (ms % 500 == 40) {
			assert_true(admitted > 0);
			admitted = 0;
		}
	}
	assert_in_range(passed, 9 * rate, 10 * rate + 2 * block + rate / 50);
}

/* Loans end at their time although no more returns can be reported. */
static void test_loans_end_while_returns_wait(void **state)
{
	struct grant_loan_terms terms = {.pool_name = "norte",
					 .peer = "b",
					 .tokens = 1,
					 .base_capacity = 20};
	struct grant_loan_return back[1];
	struct grant_set g;
	struct limit_semaphore s;

	(void)state;
	setup_grants(&g, &s, "a", 20, 1);
	for (terms.id = 1; terms.id <= 3; terms.id++)
		assert_int_equal(grant_borrow(&g, &terms, 10000), 1);
	assert_int_equal(limit_semaphore_size(&s), 3);
	/* The first call begins the returns, the second reports one. */
	assert_int_equal(grant_update_loans(&g, 9000, back, 0), 0);
	assert_int_equal(limit_semaphore_size(&s), 0);
	assert_int_equal(grant_update_loans(&g, 9001, back, 1), 1);
	assert_int_equal(grant_update_loans(&g, 10000, back, 0), 0);
	for (int i = 0; i < GRANT_LOANS_MAX; i++)
		assert_int_equal(g.pool[0].loan[i].state, GRANT_LOAN_NONE);
	grant_finish(&g);
}

/* The row of an earlier process stays until its last request has ended. */
static void test_old_row_is_kept_for_its_time(void **state)
{
	static const char ledger_text[] =
		"{\"pools\":[{\"region\":\"norte\",\"capacity\":20,"
		"\"config\":1,\"rows\":[{\"vm\":\"a\",\"incarnation\":4,"
		"\"tokens\":8,\"base\":20}]}]}";
	struct grant_destroyed destroyed = {0};
	struct grant_set g;
	struct limit_semaphore s;
	struct grant_write w;

	(void)state;
	setup_grants_and_read(&g, &s, ledger_text);
	assert_int_equal(grant_next_action(&g, 100, &destroyed, &w),
			 GRANT_WRITE);
	assert_non_null(strstr(w.text, "\"incarnation\":4,"));
	grant_write_done(&g, 10);
	assert_int_equal(grant_next_action(&g, 2001, &destroyed, &w),
			 GRANT_READ);
	grant_read_done(&g, 9, ledger_text, strlen(ledger_text), NULL);
	assert_int_equal(grant_next_action(&g, 2002, &destroyed, &w),
			 GRANT_WRITE);
	assert_null(strstr(w.text, "\"incarnation\":4,"));
	grant_finish(&g);
}

/* After an invalidation only a read that began later makes the ledger valid. */
static void test_invalidation_needs_a_new_read(void **state)
{
	struct grant_destroyed destroyed = {0};
	struct grant_set g;
	struct limit_semaphore s;
	struct grant_write w;

	(void)state;
	setup_grants(&g, &s, "a", 20, 1);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_READ);
	grant_invalidate(&g);
	grant_read_done(&g, 0, "", 0, NULL);
	assert_int_equal(grant_is_valid(&g), 0);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_READ);
	grant_read_done(&g, 0, "", 0, NULL);
	assert_int_equal(grant_is_valid(&g), 1);
	grant_invalidate(&g);
	assert_int_equal(grant_is_valid(&g), 0);
	grant_finish(&g);
}

/* A VM whose configuration is older than the ledger's uses the ledger's
 * capacity and does not overwrite it with its own. */
static void test_older_config_does_not_resize(void **state)
{
	static const char ledger_text[] =
		"{\"pools\":[{\"region\":\"norte\",\"capacity\":8,"
		"\"config\":7,\"rows\":[]}]}";
	struct grant_destroyed destroyed = {0};
	struct grant_set g;
	struct limit_semaphore s;
	struct grant_write w;

	(void)state;
	setup_grants_and_read(&g, &s, ledger_text);
	assert_int_equal(grant_next_action(&g, 0, &destroyed, &w), GRANT_WRITE);
	assert_non_null(strstr(w.text, "\"capacity\":8,\"config\":7"));
	grant_finish(&g);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_semaphore_with_threads),
		cmocka_unit_test(test_semaphore_below_use),
		cmocka_unit_test(test_ratio_is_kept),
		cmocka_unit_test(test_ratio_after_a_pause),
		cmocka_unit_test(test_bandwidth_keeps_the_rate),
		cmocka_unit_test(test_new_transfer_finds_bandwidth),
		cmocka_unit_test(test_ledger_bounds),
		cmocka_unit_test(test_ledger_refuses_bad_texts),
		cmocka_unit_test(test_plan_stays_in_bounds),
		cmocka_unit_test(test_grant_waits_for_the_write),
		cmocka_unit_test(test_older_config_does_not_resize),
		cmocka_unit_test(test_loans_end_while_returns_wait),
		cmocka_unit_test(test_old_row_is_kept_for_its_time),
		cmocka_unit_test(test_invalidation_needs_a_new_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
