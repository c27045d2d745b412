#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/order.h>
#include <string.h>

#define NOW_MS 100000

static struct order_queue queue;

static int setup(void **unused)
{
	(void)unused;
	memset(&queue, 0, sizeof(queue));
	return 0;
}

static struct order_entry make_entry(uint64_t handle, int priority)
{
	return (struct order_entry){.handle = handle,
				    .priority = priority,
				    .work_ms = 100,
				    .objective_ms = NOW_MS + 400,
				    .deadline_ms = NOW_MS + 2000};
}

static void add(const struct order_entry *e)
{
	struct order_entry replaced;

	assert_int_equal(order_add(&queue, e, NOW_MS, &replaced), ORDER_ADDED);
}

/* Starts the first request and returns its handle. */
static uint64_t start_first(int64_t now)
{
	const struct order_entry *e;
	uint64_t handle;

	order_begin(&queue);
	e = order_next(&queue, now);
	handle = e ? e->handle : 0;
	order_start(&queue, handle, now);
	return handle;
}

static void test_urgent_ones_go_first(void **unused)
{
	struct order_entry late = make_entry(1, 0);
	struct order_entry e;

	(void)unused;
	late.objective_ms = NOW_MS;
	add(&late);
	e = make_entry(2, 2);
	add(&e);
	e = make_entry(3, 0);
	add(&e);
	assert_int_equal(start_first(NOW_MS), 3);
	assert_int_equal(start_first(NOW_MS), 2);
	assert_int_equal(start_first(NOW_MS), 1);
	assert_int_equal(start_first(NOW_MS), 0);
}

static void test_latest_start_then_small_work(void **unused)
{
	struct order_entry e = make_entry(1, 0);

	(void)unused;
	add(&e);
	e = make_entry(2, 0);
	e.objective_ms -= 100;
	add(&e);
	e = make_entry(3, 0);
	e.work_ms = 50;
	e.objective_ms -= 50;
	add(&e);
	assert_int_equal(start_first(NOW_MS), 2);
	assert_int_equal(start_first(NOW_MS), 3);
	assert_int_equal(start_first(NOW_MS), 1);
}

/* A request whose objective can't be met any longer goes behind. */
static void test_class_follows_the_time(void **unused)
{
	struct order_entry e = make_entry(1, 0);

	(void)unused;
	add(&e);
	e = make_entry(2, 1);
	e.objective_ms += 1000;
	add(&e);
	assert_int_equal(order_class(&queue.entry[0], NOW_MS + 300), 0);
	assert_int_equal(order_class(&queue.entry[0], NOW_MS + 301),
			 ORDER_PRIORITIES);
	assert_int_equal(start_first(NOW_MS + 301), 2);
}

/* One start in ten goes to a class that is passed over. */
static void test_no_class_starves(void **unused)
{
	struct order_entry e = make_entry(1000, 3);
	int late_started = 0;

	(void)unused;
	for (uint64_t i = 1; i <= 40; i++) {
		if (!order_remove(&queue, 1000))
			late_started++;
		e = make_entry(1000, 3);
		add(&e);
		e = make_entry(i, 0);
		add(&e);
		start_first(NOW_MS);
	}
	assert_in_range(late_started, 4, 6);
}

/* A workspace with six times the requests of another gets no more starts while
 * both wait. */
static void test_workspaces_share(void **unused)
{
	struct order_entry e;
	int small = 0;

	(void)unused;
	for (uint64_t i = 1; i <= 42; i++) {
		e = make_entry(i, 0);
		e.workspace = i % 7 ? 1 : 2;
		add(&e);
	}
	for (int i = 0; i < 12; i++)
		small += start_first(NOW_MS) % 7 == 0;
	assert_int_equal(small, 6);
}

/* A workspace that did not wait earns nothing for that time. */
static void test_idle_workspace_earns_nothing(void **unused)
{
	struct order_entry e;
	int fresh = 0;

	(void)unused;
	for (uint64_t i = 1; i <= 30; i++) {
		e = make_entry(i, 0);
		e.workspace = 1;
		add(&e);
		start_first(NOW_MS);
	}
	for (uint64_t i = 1; i <= 20; i++) {
		e = make_entry(i, 0);
		e.workspace = i <= 10 ? 1 : 2;
		add(&e);
	}
	for (int i = 0; i < 10; i++)
		fresh += start_first(NOW_MS) > 10;
	assert_in_range(fresh, 5, 6);
}

static void test_full_queue_turns_the_least_urgent_away(void **unused)
{
	struct order_entry replaced;
	struct order_entry e;

	(void)unused;
	for (uint64_t i = 1; i <= ORDER_WAITING_MAX; i++) {
		e = make_entry(i, i == 7 ? 3 : 1);
		add(&e);
	}
	e = make_entry(100, 3);
	e.objective_ms += 1;
	assert_int_equal(order_add(&queue, &e, NOW_MS, &replaced),
			 ORDER_REFUSED);
	e = make_entry(100, 0);
	assert_int_equal(order_add(&queue, &e, NOW_MS, &replaced),
			 ORDER_REPLACED);
	assert_int_equal(replaced.handle, 7);
	assert_int_equal(queue.n, ORDER_WAITING_MAX);
	assert_int_equal(start_first(NOW_MS), 100);
}

/* The wait leaves most of the time for the caller's own retry, and the work its
 * time. */
static void test_wait_is_bounded(void **unused)
{
	struct order_entry e = make_entry(1, 0);
	struct order_entry replaced;

	(void)unused;
	assert_true(order_is_useful(&e, 499, NOW_MS));
	assert_false(order_is_useful(&e, 500, NOW_MS));
	assert_false(order_is_useful(&e, PRL_NEVER, NOW_MS));
	e.work_ms = 1900;
	assert_true(order_is_useful(&e, 99, NOW_MS));
	assert_false(order_is_useful(&e, 100, NOW_MS));
	add(&e);
	assert_null(order_overdue(&queue, NOW_MS + 99));
	assert_non_null(order_overdue(&queue, NOW_MS + 100));
	e.work_ms = 2000;
	assert_int_equal(order_add(&queue, &e, NOW_MS, &replaced),
			 ORDER_REFUSED);
}

static void test_overdue_least_urgent_first(void **unused)
{
	struct order_entry e = make_entry(1, 0);

	(void)unused;
	add(&e);
	e = make_entry(2, 3);
	add(&e);
	assert_int_equal(order_overdue(&queue, NOW_MS + 500)->handle, 2);
	order_remove(&queue, 2);
	assert_int_equal(order_overdue(&queue, NOW_MS + 500)->handle, 1);
}

/* Only requests of one service compete. */
static void test_precedence(void **unused)
{
	struct order_entry e = make_entry(1, 0);

	(void)unused;
	e.service = 1;
	add(&e);
	e = make_entry(2, 1);
	assert_false(order_is_preceded(&queue, &e, NOW_MS));
	e.service = 1;
	assert_true(order_is_preceded(&queue, &e, NOW_MS));
	e.priority = 0;
	assert_false(order_is_preceded(&queue, &e, NOW_MS));
}

static void test_drain_time(void **unused)
{
	struct order_entry e;

	(void)unused;
	assert_int_equal(order_drain_ms(&queue), 0);
	for (uint64_t i = 1; i <= 60; i++) {
		e = make_entry(i, 0);
		add(&e);
	}
	for (int i = 0; i < 50; i++)
		start_first(NOW_MS + 10 * i);
	assert_in_range(order_drain_ms(&queue), 90, 110);
}

/* While urgent requests find no retry, others get one in eight. */
static void test_retries_are_kept_for_urgent_ones(void **unused)
{
	struct order_retries s = {0};
	struct order_entry urgent = make_entry(1, 1);
	struct order_entry late = make_entry(2, 0);
	struct order_entry other = make_entry(3, 2);
	int granted = 0;

	(void)unused;
	late.objective_ms = NOW_MS;
	assert_true(order_may_retry(&s, &other, NOW_MS));
	order_retry_denied(&s, &other, NOW_MS);
	order_retry_denied(&s, &late, NOW_MS);
	assert_true(order_may_retry(&s, &other, NOW_MS));
	order_retry_denied(&s, &urgent, NOW_MS);
	for (int i = 0; i < 32; i++) {
		assert_true(order_may_retry(&s, &urgent, NOW_MS));
		granted += order_may_retry(&s, i % 2 ? &late : &other, NOW_MS);
	}
	assert_int_equal(granted, 4);
	assert_true(order_may_retry(&s, &other, NOW_MS + 1000));
}

/* State of the property test. */
struct random_run {
	uint64_t state;
	uint64_t added;
	uint64_t started;
	uint64_t removed;
	uint64_t refused;
};

static uint64_t draw(struct random_run *run, uint64_t n)
{
	run->state = prl_hash_combine(run->state, 1);
	return run->state % n;
}

static void add_random(struct random_run *run, int64_t now)
{
	struct order_entry replaced;
	struct order_entry e = {
		.handle = ++run->added,
		.service = (int)draw(run, 2),
		.priority = (int)draw(run, 6),
		.workspace = draw(run, 4),
		.work_ms = 1 + (int64_t)draw(run, 900),
		.objective_ms = now + (int64_t)draw(run, 800),
		.deadline_ms = now + (int64_t)draw(run, 3000),
	};

	if (order_add(&queue, &e, now, &replaced) != ORDER_ADDED)
		run->refused++;
}

static void end_overdue(struct random_run *run, int64_t now)
{
	const struct order_entry *e;

	while ((e = order_overdue(&queue, now))) {
		assert_true(e->until_ms <= e->deadline_ms - e->work_ms);
		assert_true(e->until_ms - e->since_ms <=
			    (e->deadline_ms - e->since_ms) / 4);
		order_remove(&queue, e->handle);
		run->removed++;
	}
}

/* No request is lost or returned twice, and none waits beyond its time. */
static void run_random(uint64_t seed)
{
	struct random_run run = {.state = seed};
	int64_t now = NOW_MS;
	int n;

	memset(&queue, 0, sizeof(queue));
	for (int i = 0; i < 2000; i++) {
		now += (int64_t)draw(&run, 10);
		add_random(&run, now);
		if (draw(&run, 3) == 0)
			run.started += start_first(now) != 0;
		if (draw(&run, 9) == 0)
			run.removed += (uint64_t)order_remove(
				&queue, 1 + draw(&run, run.added));
		end_overdue(&run, now);
		order_begin(&queue);
		for (n = 0; order_next(&queue, now); n++)
			;
		assert_int_equal(n, queue.n);
		assert_int_equal(run.added, run.started + run.removed +
						    run.refused +
						    (uint64_t)queue.n);
	}
}

static void test_random_runs(void **unused)
{
	(void)unused;
	for (uint64_t seed = 1; seed <= 50; seed++)
		run_random(seed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_urgent_ones_go_first, setup),
		cmocka_unit_test_setup(test_latest_start_then_small_work,
				       setup),
		cmocka_unit_test_setup(test_class_follows_the_time, setup),
		cmocka_unit_test_setup(test_no_class_starves, setup),
		cmocka_unit_test_setup(test_workspaces_share, setup),
		cmocka_unit_test_setup(test_idle_workspace_earns_nothing,
				       setup),
		cmocka_unit_test_setup(
			test_full_queue_turns_the_least_urgent_away, setup),
		cmocka_unit_test_setup(test_wait_is_bounded, setup),
		cmocka_unit_test_setup(test_overdue_least_urgent_first, setup),
		cmocka_unit_test_setup(test_precedence, setup),
		cmocka_unit_test_setup(test_drain_time, setup),
		cmocka_unit_test_setup(test_retries_are_kept_for_urgent_ones,
				       setup),
		cmocka_unit_test(test_random_runs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
