/* Reports to the VMs of a region: their number, and which news they have. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/spread_turns.h>
#include <string.h>

#define PERIOD_MS 100
#define START_MS 1000000
#define VMS_MAX 1000
#define PERIODS 400

/* What one VM sends. */
struct sent {
	int messages;
	int most_in_period;
	/** By receiver: messages, and the period of the last one. */
	int to[VMS_MAX];
	int last[VMS_MAX];
	/** Longest time between two to the same receiver, in periods. */
	int longest_gap;
};

static void send_period(struct sent *s, const struct spread_turn *turn,
			int nreceiver, int period)
{
	int n = 0;

	for (int i = turn->first; i < nreceiver; i += turn->step) {
		int gap = period - s->last[i];

		if (s->to[i] && gap > s->longest_gap)
			s->longest_gap = gap;
		s->last[i] = period;
		s->to[i]++;
		n++;
	}
	s->messages += n;
	if (n > s->most_in_period)
		s->most_in_period = n;
}

static void run(struct sent *s, int vms, uint64_t first)
{
	struct spread_turns turns;
	struct spread_turn turn;

	memset(s, 0, sizeof(*s));
	spread_turns_init(&turns, first);
	for (int p = 0; p < PERIODS; p++)
		if (spread_next_turn(&turns, vms - 1, START_MS + p * PERIOD_MS,
				     &turn))
			send_period(s, &turn, vms - 1, p);
}

/* A small region: all others each period, with the news of that period. */
static void test_small_region_gets_all(void **state)
{
	(void)state;
	for (int vms = 2; vms <= 25; vms++) {
		struct spread_turns turns;
		struct spread_turn turn;
		int64_t now = START_MS;

		spread_turns_init(&turns, 7);
		for (int p = 0; p < 20; p++, now += PERIOD_MS) {
			assert_true(
				spread_next_turn(&turns, vms - 1, now, &turn));
			assert_int_equal(turn.first, 0);
			assert_int_equal(turn.step, 1);
			assert_int_equal(turn.since_ms,
					 p ? now - PERIOD_MS : 0);
		}
	}
}

/* Messages of a VM in 40 s by the size of its region. */
static void test_messages_are_bounded(void **state)
{
	static const struct {
		int vms;
		int messages;
	} cases[] = {{23, 22 * PERIODS},	{25, 24 * PERIODS},
		     {26, 25 * PERIODS / 2},	{100, 99 * PERIODS / 5},
		     {440, 439 * PERIODS / 19}, {1000, 999 * PERIODS / 42}};
	struct sent s;

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		run(&s, cases[i].vms, 3);
		assert_true(s.most_in_period <= SPREAD_TURN_RECEIVERS_MAX);
		/* The last round may be incomplete. */
		assert_in_range(s.messages, cases[i].messages - cases[i].vms,
				cases[i].messages + cases[i].vms);
	}
}

/* No receiver is passed over, and all wait for as long. */
static void test_all_have_their_turn(void **state)
{
	struct sent s;

	(void)state;
	for (int vms = 2; vms <= VMS_MAX; vms++) {
		int step = (vms - 1 + SPREAD_TURN_RECEIVERS_MAX - 1) /
			   SPREAD_TURN_RECEIVERS_MAX;

		run(&s, vms, (uint64_t)vms * 31);
		for (int i = 0; i < vms - 1; i++)
			assert_true(s.to[i] >= PERIODS / step);
		assert_int_equal(s.longest_gap, step);
	}
}

/* News are sent to those whose turn it is within some periods, then no more, so
 * that reports do not grow with the region. */
static void test_news_are_of_the_last_periods(void **state)
{
	static const int vms[] = {26, 50, 100, 121, 122, 440, 1000};

	(void)state;
	for (size_t i = 0; i < sizeof(vms) / sizeof(*vms); i++) {
		int step = (vms[i] - 1 + SPREAD_TURN_RECEIVERS_MAX - 1) /
			   SPREAD_TURN_RECEIVERS_MAX;
		int news = step < SPREAD_TURN_NEWS_PERIODS
				   ? step
				   : SPREAD_TURN_NEWS_PERIODS;
		struct spread_turns turns;
		struct spread_turn turn;
		int64_t now = START_MS;

		spread_turns_init(&turns, 0);
		for (int p = 0; p < 50; p++, now += PERIOD_MS) {
			spread_next_turn(&turns, vms[i] - 1, now, &turn);
			assert_int_equal(turn.since_ms,
					 p < news ? 0 : now - news * PERIOD_MS);
		}
	}
}

/* Senders that start together do not report to the same receivers. */
static void test_senders_differ(void **state)
{
	struct spread_turns turns;
	struct spread_turn turn;
	int seen[19] = {0};

	(void)state;
	for (uint64_t sender = 0; sender < 19; sender++) {
		spread_turns_init(&turns, sender);
		spread_next_turn(&turns, 439, START_MS, &turn);
		seen[turn.first]++;
	}
	for (int i = 0; i < 19; i++)
		assert_int_equal(seen[i], 1);
}

static void test_nobody_else(void **state)
{
	struct spread_turns turns;
	struct spread_turn turn;

	(void)state;
	spread_turns_init(&turns, 5);
	assert_false(spread_next_turn(&turns, 0, START_MS, &turn));
	assert_true(spread_next_turn(&turns, 1, START_MS + 1, &turn));
	assert_int_equal(turn.since_ms, START_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_small_region_gets_all),
		cmocka_unit_test(test_messages_are_bounded),
		cmocka_unit_test(test_all_have_their_turn),
		cmocka_unit_test(test_news_are_of_the_last_periods),
		cmocka_unit_test(test_senders_differ),
		cmocka_unit_test(test_nobody_else),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
