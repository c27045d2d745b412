#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "limit_world.h"
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MS 5000
#define OVERAGE_PERMILLE 100
#define SLACK 20

static const struct limit_window rule = {WINDOW_MS, OVERAGE_PERMILLE, SLACK};
#define CALM_END_MS 30000

/* Start of the calm fleet: the credit has grown to the burst. */
#define WARM_MS 8000

static struct world *new_world(int nvm, int64_t rate, int64_t burst,
			       unsigned int seed)
{
	struct world *w = g_new0(struct world, 1);

	w->nvm = nvm;
	w->burst_milli = burst * 1000;
	w->terms = shared_limit_quota_terms(rate * 1000, burst * 1000, &rule);
	w->window_ms = WINDOW_MS;
	w->delay_max_ms = 60;
	w->seed = seed;
	world_init(w);
	for (int i = 0; i < nvm; i++)
		world_start(w, i);
	return w;
}

static void free_world(struct world *w)
{
	world_finish(w);
	g_free(w);
}

/* Number of requests in a step at an average rate. */
static int arrivals(struct world *w, int64_t per_s)
{
	int64_t milli = per_s * WORLD_STEP_MS;

	return (int)(milli / 1000) +
	       ((int64_t)world_random(w, 1000) < milli % 1000);
}

/* Returns how far the busiest window lies above what the rule allows, in
 * permille of that. */
static int64_t worst_window(const struct world *w, int64_t end_ms)
{
	int64_t allowed =
		(w->terms.rate_milli * WINDOW_MS / 1000 + w->burst_milli) *
			(1000 + OVERAGE_PERMILLE) / 1000000 +
		SLACK;
	int64_t sum = world_sum(w->taken, 0, WINDOW_MS);
	int64_t most = sum;

	for (int64_t t = WINDOW_MS; t < end_ms; t += WORLD_STEP_MS) {
		sum += w->taken[t / WORLD_STEP_MS] -
		       w->taken[(t - WINDOW_MS) / WORLD_STEP_MS];
		most = MAX(most, sum);
	}
	return (most - allowed) * 1000 / allowed;
}

enum demand { AT_ONE, AT_ALL, MOVING, DEMANDS };

static const char *const demand_names[] = {"at one VM", "at all", "moving"};

static int choose_vm(struct world *w, enum demand d)
{
	switch (d) {
	case AT_ONE:
		return w->nvm - 1;
	case MOVING:
		return (int)(w->now_ms / 1500 * 7 % w->nvm);
	case AT_ALL:
	case DEMANDS:
		break;
	}
	return (int)world_random(w, (unsigned int)w->nvm);
}

static void run_calm(struct world *w, enum demand d, int64_t per_s)
{
	while (w->now_ms < CALM_END_MS) {
		for (int n = w->now_ms > WARM_MS ? arrivals(w, per_s) : 0; n;
		     n--)
			world_ask(w, choose_vm(w, d), 1);
		world_step(w);
	}
}

static void check_calm(int nvm, int64_t rate, enum demand d, int percent)
{
	int64_t per_s = MAX(rate * percent / 100, 1);
	struct world *w = new_world(nvm, rate, rate, 5);
	int64_t seconds = (CALM_END_MS - WARM_MS) / 1000;
	int64_t allowed, taken;

	run_calm(w, d, per_s);
	taken = world_sum(w->taken, 0, CALM_END_MS);
	allowed =
		MIN(world_sum(w->asked, 0, CALM_END_MS), rate * seconds + rate);
	print_message("%d VMs, limit %lld/s, demand %d%% %s: used %.1f%%, "
		      "window %+.1f%%, %.1f messages/s, %.1f entries/s\n",
		      nvm, (long long)rate, percent, demand_names[d],
		      100.0 * (double)taken / (double)allowed,
		      (double)worst_window(w, CALM_END_MS) / 10,
		      (double)w->sent * 1000 / CALM_END_MS,
		      (double)w->sent_counts * 1000 / CALM_END_MS);
	assert_true(taken * 100 >= allowed * 95 - 100);
	assert_true(worst_window(w, CALM_END_MS) <= 0);
	free_world(w);
}

/* What the limit allows is used, wherever the demand is. */
static void test_limit_is_used(void **state)
{
	static const int vms[] = {3, 12, 70, 300};
	static const int64_t rates[] = {2, 20, 200, 1000};

	(void)state;
	for (int v = 0; v < 4; v++)
		for (int r = 0; r < 4; r++)
			for (int d = 0; d < DEMANDS; d++) {
				check_calm(vms[v], rates[r], (enum demand)d,
					   70);
				check_calm(vms[v], rates[r], (enum demand)d,
					   500);
			}
}

/* Mean number of steps between two faults of one kind; there are seven. */
#define FAULT_EVERY_STEPS 1500

/* Time in ms between a change of the demand and a fault. What a VM knows for
 * certain when it loses contact it may use: a burst that comes just then can be
 * taken on both sides. */
#define SETTLED_MS 2000

/* Plays faults chosen at random. Returns whether there was one. */
static int disturb(struct world *w)
{
	int i = (int)world_random(w, (unsigned int)w->nvm);

	switch (world_random(w, FAULT_EVERY_STEPS)) {
	case 0:
		for (i = 0; i < w->nvm; i++)
			w->vm[i].side = (int)world_random(w, 2);
		break;
	case 1:
	case 2:
		for (i = 0; i < w->nvm; i++)
			w->vm[i].side = 0;
		break;
	case 3:
		w->vm[i].side = 100 + i;
		break;
	case 4:
		world_stop(w, i);
		break;
	case 5:
	case 6:
		world_start(w, i);
		break;
	default:
		return 0;
	}
	return 1;
}

static void check_faults(unsigned int seed)
{
	static const int vms[] = {1, 2, 5, 12, 40};
	static const int64_t rates[] = {1, 5, 30, 200};
	struct world *w = new_world(vms[seed % 5], rates[seed / 5 % 4],
				    rates[seed / 5 % 4] * (seed % 3), seed);
	int64_t per_s = 0;
	int64_t changed_ms = 0;
	int64_t fault_ms = 0;
	int64_t worst;

	w->loss_permille = seed % 2 ? 100 : 0;
	w->duplicate_permille = seed % 3 ? 100 : 0;
	w->delay_max_ms = seed % 4 ? 60 : 150;
	while (w->now_ms < WORLD_END_MS - WORLD_STEP_MS) {
		if (w->now_ms - changed_ms > SETTLED_MS && disturb(w))
			fault_ms = w->now_ms;
		if (w->now_ms - fault_ms > SETTLED_MS &&
		    !world_random(w, 200)) {
			changed_ms = w->now_ms;
			per_s = w->terms.rate_milli *
				(int64_t)world_random(w, 60) / 10000;
		}
		for (int n = arrivals(w, per_s); n; n--)
			world_ask(w, choose_vm(w, AT_ALL), 1);
		world_step(w);
	}
	worst = worst_window(w, WORLD_END_MS - WORLD_STEP_MS);
	if (worst > 0)
		print_message("seed %u: %d VMs, rate %lld: %+lld permille\n",
			      seed, w->nvm,
			      (long long)w->terms.rate_milli / 1000,
			      (long long)worst);
	free_world(w);
	assert_true(worst <= 0);
}

#define SEEDS 1000

/* Whatever happens to messages and VMs, all VMs together keep the limit. */
static void test_limit_is_kept(void **state)
{
	const char *from = getenv("SEED");
	unsigned int first = from ? (unsigned int)atoi(from) : 0;

	(void)state;
	for (unsigned int seed = first; seed < first + (from ? 1 : SEEDS);
	     seed++)
		check_faults(seed);
}

#define RETRY_WINDOW_MS 10000
#define RETRY_PERMILLE 200
#define RETRY_EXTRA 184

/* Returns how many retries lie above what the rule allows in the worst window:
 * a part of the requests in it, in the one before, or in the one half a window
 * before. */
static int64_t worst_retry_window(const struct world *w)
{
	int64_t worst = -RETRY_EXTRA;

	for (int64_t t = RETRY_WINDOW_MS; t < WORLD_END_MS; t += 200) {
		int64_t from = t - RETRY_WINDOW_MS;
		int64_t most = 0;
		int64_t over;

		for (int64_t back = 0; back <= RETRY_WINDOW_MS;
		     back += RETRY_WINDOW_MS / 2)
			most = MAX(most,
				   world_sum(w->deposits, MAX(from - back, 0),
					     MAX(t - back, 0)));
		over = world_sum(w->taken, from, t) -
		       most * RETRY_PERMILLE / 1000 - RETRY_EXTRA;
		worst = MAX(worst, over);
	}
	return worst;
}

static struct world *new_retry_world(int nvm, unsigned int seed)
{
	struct world *w = new_world(nvm, 0, 0, seed);

	w->terms = shared_limit_retry_terms(RETRY_PERMILLE, RETRY_EXTRA);
	w->window_ms = RETRY_WINDOW_MS;
	for (int i = 0; i < nvm; i++)
		world_start(w, i);
	return w;
}

static void check_retries(unsigned int seed)
{
	static const int vms[] = {1, 3, 12, 70};
	struct world *w = new_retry_world(vms[seed % 4], seed);
	int64_t rate = 20 << seed / 4 % 7;
	int64_t retries = 0;
	int64_t worst;

	w->loss_permille = seed % 2 ? 50 : 0;
	while (w->now_ms < WORLD_END_MS - WORLD_STEP_MS) {
		if (seed % 3)
			disturb(w);
		if (!world_random(w, 300))
			retries = rate * (int64_t)world_random(w, 3);
		for (int n = arrivals(w, rate); n; n--)
			world_deposit(w, choose_vm(w, AT_ALL), 1);
		for (int n = arrivals(w, retries); n; n--)
			world_ask(w, choose_vm(w, AT_ALL), 1);
		world_step(w);
	}
	worst = worst_retry_window(w);
	if (worst > 0)
		print_message(
			"seed %u: %d VMs, %lld requests/s: %+lld retries\n",
			seed, w->nvm, (long long)rate, (long long)worst);
	free_world(w);
	assert_true(worst <= 0);
}

static void test_retry_budget_is_kept(void **state)
{
	(void)state;
	for (unsigned int seed = 0; seed < SEEDS / 2; seed++)
		check_retries(seed);
}

/* While upstreams shed, the retries that the rule allows are sent. */
static void test_retry_budget_is_used(void **state)
{
	struct world *w = new_retry_world(70, 3);
	int64_t taken;

	(void)state;
	while (w->now_ms < CALM_END_MS) {
		for (int n = arrivals(w, 1500); n; n--)
			world_deposit(w, choose_vm(w, AT_ALL), 1);
		for (int n = w->now_ms > 10000 ? arrivals(w, 1000) : 0; n; n--)
			world_ask(w, choose_vm(w, AT_ALL), 1);
		world_step(w);
	}
	taken = world_sum(w->taken, 0, CALM_END_MS);
	print_message("%lld retries of %d allowed, %.1f entries/s\n",
		      (long long)taken, 1500 * 20 / 5 + RETRY_EXTRA,
		      (double)w->sent_counts * 1000 / CALM_END_MS);
	assert_true(taken * 100 >= (1500 * 20 / 5) * 92);
	free_world(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_is_used),
		cmocka_unit_test(test_limit_is_kept),
		cmocka_unit_test(test_retry_budget_is_kept),
		cmocka_unit_test(test_retry_budget_is_used),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
