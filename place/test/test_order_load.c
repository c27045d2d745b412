/* Replays of load that exceeds the room: the order against first come, first
 * served, on a pool of slots. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/hash.h>
#include <primroselead/order.h>
#include <string.h>
#include <sys/param.h>

#define SLOTS 20
#define END_MS 10000
#define REQUESTS_MAX 8000
#define PRIORITIES 3
#define WORKSPACES 8

/* Load of one replay. */
struct load {
	/** Mean of the arrivals, in percent of what the slots can serve. */
	int usual_percent;
	/** The same from 3 s to 6 s. */
	int peak_percent;
	/** Slots that are lost from 3 s to 6 s. */
	int lost_slots;
	/** Requests of workspace 1 for each of another one. */
	int large_workspace;
	/** Work of every tenth request, in ms; 0 if all have the usual one. */
	int64_t long_work_ms;
};

#define WORK_MS 100

struct result {
	int asked[PRIORITIES];
	int timely[PRIORITIES];
	int started[PRIORITIES];
	int workspace_asked[WORKSPACES];
	int workspace_timely[WORKSPACES];
	int short_timely;
};

static struct order_entry arrival[REQUESTS_MAX];
static int narrival;
static struct order_queue queue;
static uint64_t random_state;

static int64_t draw(int64_t n)
{
	random_state = prl_hash_combine(random_state, 1);
	return (int64_t)(random_state % (uint64_t)n);
}

static uint64_t draw_workspace(const struct load *load)
{
	int64_t n = draw(WORKSPACES - 1 + load->large_workspace);

	return n < WORKSPACES - 1 ? (uint64_t)n + 1 : 1;
}

static void add_arrival(const struct load *load, int64_t now)
{
	int long_one = load->long_work_ms && draw(10) == 0;
	struct order_entry e = {
		.handle = (uint64_t)narrival + 1,
		.priority = (int)draw(PRIORITIES),
		.workspace =
			load->large_workspace > 1 ? draw_workspace(load) : 0,
		.work_ms = long_one ? load->long_work_ms : WORK_MS,
		.objective_ms = now + 400,
		.deadline_ms = now + 2000,
		.since_ms = now,
	};

	arrival[narrival++] = e;
}

static int is_peak(int64_t now)
{
	return now >= 3000 && now < 6000;
}

static void make_arrivals(const struct load *load)
{
	/* Work that the slots do in a ms, in thousandths of a request. */
	int64_t rate = 1000 * SLOTS / WORK_MS;
	int64_t credit = 0;

	narrival = 0;
	random_state = 7;
	for (int64_t now = 0; now < END_MS; now++) {
		credit += rate *
			  (is_peak(now) ? load->peak_percent
					: load->usual_percent) /
			  100;
		for (; credit >= 1000; credit -= 1000)
			add_arrival(load, now);
	}
}

static void count_start(struct result *out, const struct order_entry *e,
			int64_t now)
{
	int timely = now + e->work_ms <= e->objective_ms;

	out->started[e->priority]++;
	out->timely[e->priority] += timely;
	out->workspace_timely[e->workspace % WORKSPACES] += timely;
	out->short_timely += timely && e->work_ms == WORK_MS;
}

/* Returns the first request that waits, in either order; null if none does. */
static const struct order_entry *take_next(int ordered, int *oldest, int end,
					   int64_t now)
{
	const struct order_entry *e;

	if (ordered) {
		order_begin(&queue);
		e = order_next(&queue, now);
		if (!e)
			return NULL;
		e = &arrival[e->handle - 1];
		order_start(&queue, e->handle, now);
		return e;
	}
	for (; *oldest < end; ++*oldest) {
		e = &arrival[*oldest];
		if (now - e->since_ms < (e->deadline_ms - e->since_ms) / 4)
			return &arrival[(*oldest)++];
	}
	return NULL;
}

static void end_waits(int64_t now)
{
	const struct order_entry *e;

	while ((e = order_overdue(&queue, now)))
		order_remove(&queue, e->handle);
}

static void replay(const struct load *load, int ordered, struct result *out)
{
	int64_t free_ms[SLOTS] = {0};
	struct order_entry replaced;
	int arrived = 0;
	int oldest = 0;

	memset(out, 0, sizeof(*out));
	memset(&queue, 0, sizeof(queue));
	make_arrivals(load);
	for (int64_t now = 0; now < END_MS; now++) {
		for (; arrived < narrival && arrival[arrived].since_ms <= now;
		     arrived++) {
			const struct order_entry *e = &arrival[arrived];

			out->asked[e->priority]++;
			out->workspace_asked[e->workspace % WORKSPACES]++;
			if (ordered)
				order_add(&queue, e, now, &replaced);
		}
		end_waits(now);
		for (int i = is_peak(now) ? load->lost_slots : 0; i < SLOTS;
		     i++) {
			const struct order_entry *e;

			if (free_ms[i] > now)
				continue;
			e = take_next(ordered, &oldest, arrived, now);
			if (!e)
				break;
			free_ms[i] = now + e->work_ms;
			count_start(out, e, now);
		}
	}
}

/* Fewer urgent requests are late, and no priority is without starts. */
static void assert_urgent_gain(const struct load *load)
{
	struct result plain;
	struct result ordered;

	replay(load, 0, &plain);
	replay(load, 1, &ordered);
	assert_true(ordered.timely[0] > plain.timely[0]);
	assert_true(ordered.timely[0] * 100 >= ordered.asked[0] * 97);
	assert_true(ordered.timely[0] + ordered.timely[1] + ordered.timely[2] >
		    plain.timely[0] + plain.timely[1] + plain.timely[2]);
	for (int p = 0; p < PRIORITIES; p++)
		assert_true(ordered.started[p] * 10 >= ordered.asked[p]);
}

static void test_burst(void **unused)
{
	const struct load load = {.usual_percent = 80, .peak_percent = 152};

	(void)unused;
	assert_urgent_gain(&load);
}

static void test_half_of_the_upstreams_shed(void **unused)
{
	const struct load load = {.usual_percent = 80,
				  .peak_percent = 80,
				  .lost_slots = SLOTS / 2};

	(void)unused;
	assert_urgent_gain(&load);
}

static void test_region_beyond_its_slots(void **unused)
{
	const struct load load = {.usual_percent = 150, .peak_percent = 150};

	(void)unused;
	assert_urgent_gain(&load);
}

/* The small workspaces keep their part. */
static void test_large_workspace(void **unused)
{
	const struct load load = {.usual_percent = 130,
				  .peak_percent = 130,
				  .large_workspace = 6};
	struct result plain;
	struct result ordered;

	(void)unused;
	replay(&load, 0, &plain);
	replay(&load, 1, &ordered);
	for (int i = 2; i < WORKSPACES; i++) {
		assert_true(ordered.workspace_timely[i] >
			    plain.workspace_timely[i]);
		assert_true(ordered.workspace_timely[i] * 100 >=
			    ordered.workspace_asked[i] * 75);
	}
	assert_true(ordered.workspace_timely[1] * 100 >=
		    ordered.workspace_asked[1] * 30);
}

/* More of the short requests are in time, and long ones still start. */
static void test_long_work(void **unused)
{
	const struct load load = {
		.usual_percent = 90, .peak_percent = 90, .long_work_ms = 350};
	struct result plain;
	struct result ordered;

	(void)unused;
	replay(&load, 0, &plain);
	replay(&load, 1, &ordered);
	assert_true(ordered.short_timely > plain.short_timely);
	for (int p = 0; p < PRIORITIES; p++)
		assert_true(ordered.started[p] * 10 >= ordered.asked[p]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_burst),
		cmocka_unit_test(test_half_of_the_upstreams_shed),
		cmocka_unit_test(test_region_beyond_its_slots),
		cmocka_unit_test(test_large_workspace),
		cmocka_unit_test(test_long_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
