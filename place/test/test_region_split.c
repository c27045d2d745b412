/* The planned split of requests over regions, and whether the VMs of a region
 * come to agree on it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <primroselead/place.h>

#define REGIONS 3
#define VMS 20
#define UPSTREAM_SLOTS 3
#define SERVICE_MS 200
#define STEP_MS 100
#define RATE_PPM 32000
#define WINDOW_MS 2000
#define MILLION 1000000

/* Greatest change from one window to the next that the platform allows. */
#define MOVE_MAX_PPM 150000

/* Regions with slots and demand, and the shares of the VMs of each. */
struct fleet {
	int64_t slots[REGIONS];
	/** Thousandths of a request a second. */
	int64_t demand_milli[REGIONS];
	int is_demand_known;
	struct place_shares shares[REGIONS][VMS];
	int64_t now_ms;
};

static int64_t mean_share(const struct fleet *f, int from, int to)
{
	int64_t sum = 0;

	for (int v = 0; v < VMS; v++)
		sum += f->shares[from][v].share_ppm[to];
	return sum / VMS;
}

/* Requests at a region at once, in thousandths, without queues. */
static int64_t inflight_milli(const struct fleet *f, int region)
{
	int64_t sum = 0;

	for (int r = 0; r < REGIONS; r++)
		sum += f->demand_milli[r] * mean_share(f, r, region) / MILLION;
	return sum * SERVICE_MS / 1000;
}

/* What one VM measures is off by up to a tenth. */
static int64_t measured(int64_t inflight)
{
	return inflight * (900 + rand() % 201) / 1000;
}

static void fill_load(const struct fleet *f,
		      struct place_region_load load[REGIONS])
{
	for (int r = 0; r < REGIONS; r++)
		load[r] = (struct place_region_load){
			.slots = f->slots[r],
			.nupstream = f->slots[r] / UPSTREAM_SLOTS,
			.inflight_milli = measured(inflight_milli(f, r)),
			.demand_milli =
				f->is_demand_known ? f->demand_milli[r] : 0,
		};
}

static void run(struct fleet *f, int ms)
{
	struct place_region_load load[REGIONS];

	for (int64_t end = f->now_ms + ms; f->now_ms < end;
	     f->now_ms += STEP_MS)
		for (int r = 0; r < REGIONS; r++)
			for (int v = 0; v < VMS; v++) {
				fill_load(f, load);
				place_shares_update(&f->shares[r][v], load,
						    REGIONS, r, RATE_PPM,
						    f->now_ms);
			}
}

/* Greatest difference between two VMs' shares of the own region. */
static int64_t disagreement(const struct fleet *f, int region)
{
	int64_t least = MILLION;
	int64_t most = 0;

	for (int v = 0; v < VMS; v++) {
		int64_t s = f->shares[region][v].share_ppm[region];

		least = s < least ? s : least;
		most = s > most ? s : most;
	}
	return most - least;
}

static int64_t occupancy_permille(const struct fleet *f, int region)
{
	return inflight_milli(f, region) / f->slots[region];
}

/* The fewer slots an upstream has, the earlier requests wait. */
static void test_few_slots_queue_early(void **state)
{
	int64_t last = 0;

	(void)state;
	for (int64_t slots = 1; slots <= 64; slots *= 2) {
		assert_true(place_occupancy_max(slots) >= last);
		last = place_occupancy_max(slots);
	}
	assert_in_range(place_occupancy_max(3), 600, 750);
	assert_in_range(place_occupancy_max(6), 700, 850);
	assert_int_equal(place_occupancy_max(1000), 850);
}

/* Each region carries its part, whatever the regions' slots and demand. */
static void test_parts_are_carried(void **state)
{
	(void)state;
	srand(5);
	for (int i = 0; i < 2000; i++) {
		struct place_region_load load[REGIONS] = {0};
		int64_t carried[REGIONS] = {0};
		int64_t demand = 0;
		int64_t slots = 0;

		for (int r = 0; r < REGIONS; r++) {
			load[r].slots = rand() % 5 ? 10 + rand() % 500 : 0;
			load[r].demand_milli = 1000 + rand() % 500000;
			demand += load[r].demand_milli;
			slots += load[r].slots;
		}
		for (int from = 0; from < REGIONS; from++) {
			int64_t share[STEER_REGIONS_MAX];

			place_region_split(load, REGIONS, from, share);
			for (int to = 0; to < REGIONS; to++)
				carried[to] += load[from].demand_milli *
					       share[to] / MILLION;
		}
		for (int r = 0; r < REGIONS && slots; r++)
			assert_true(carried[r] <=
				    demand * load[r].slots / slots + 100);
	}
}

/* A region with a tenth of the slots and a third of the requests: its VMs agree
 * to the percent, though each measures something else. */
static void test_vms_agree(void **state)
{
	static struct fleet f;

	(void)state;
	f = (struct fleet){.slots = {54, 228, 270},
			   .demand_milli = {550000, 550000, 550000}};
	run(&f, 30000);
	assert_true(disagreement(&f, 0) < 10000);
	assert_in_range(mean_share(&f, 0, 0), 280000, 305000);
	assert_true(disagreement(&f, 1) < 10000);
	for (int r = 0; r < REGIONS; r++)
		assert_in_range(occupancy_permille(&f, r), 400, 750);
}

/* Demand that rises and falls in turn in the regions: nobody carries more than
 * the slots, and no window differs from the one before by more than allowed. */
static void test_wave_moves_at_the_pace(void **state)
{
	static struct fleet f;

	(void)state;
	f = (struct fleet){.slots = {90, 372, 456},
			   .demand_milli = {900000, 900000, 900000}};
	for (int window = 0; window < 30; window++) {
		int64_t before = mean_share(&f, 0, 0);

		for (int r = 0; r < REGIONS; r++)
			f.demand_milli[r] =
				500000 + 60000 * ((window + 5 * r) % 15);
		run(&f, WINDOW_MS);
		assert_true(!window || llabs(mean_share(&f, 0, 0) - before) <=
					       MOVE_MAX_PPM);
		for (int r = 0; r < REGIONS; r++)
			assert_true(occupancy_permille(&f, r) < 1000);
	}
}

/* Half of a region's slots are evacuated, then come back doubled; then all go.
 */
static void test_slots_change(void **state)
{
	static struct fleet f;

	(void)state;
	f = (struct fleet){.slots = {300, 300, 300},
			   .demand_milli = {900000, 900000, 900000}};
	run(&f, 10000);
	assert_true(mean_share(&f, 0, 0) > 990000);
	f.slots[0] = 150;
	run(&f, 30000);
	assert_in_range(occupancy_permille(&f, 0), 500, 850);
	f.slots[0] = 600;
	run(&f, 40000);
	assert_true(mean_share(&f, 0, 0) > 990000);
	f.slots[0] = 0;
	run(&f, 1000);
	assert_int_equal(mean_share(&f, 0, 0), 0);
	assert_in_range(mean_share(&f, 0, 1), 450000, 550000);
}

/* With little load nobody is sent to another region, whatever the plan. */
static void test_calm_stays_at_home(void **state)
{
	static struct fleet f;

	(void)state;
	f = (struct fleet){.slots = {54, 228, 270},
			   .demand_milli = {50000, 50000, 50000}};
	run(&f, 40000);
	for (int r = 0; r < REGIONS; r++)
		assert_true(mean_share(&f, r, r) > 990000);
}

/* Known demand shows that the region's callers are few. */
static void test_known_demand_counts(void **state)
{
	struct place_region_load load[REGIONS] = {
		{.slots = 54, .demand_milli = 100000},
		{.slots = 228, .demand_milli = 700000},
		{.slots = 270, .demand_milli = 700000},
	};
	int64_t share[STEER_REGIONS_MAX];

	(void)state;
	place_region_split(load, REGIONS, 0, share);
	assert_int_equal(share[0], MILLION);
	load[0].demand_milli = 700000;
	load[1].demand_milli = 100000;
	place_region_split(load, REGIONS, 0, share);
	assert_in_range(share[0], 200000, 220000);
	assert_true(share[1] > share[2]);
	/* A demand that is not known makes all count as equal. */
	load[2].demand_milli = 0;
	place_region_split(load, REGIONS, 0, share);
	assert_in_range(share[0], 290000, 296000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_slots_queue_early),
		cmocka_unit_test(test_parts_are_carried),
		cmocka_unit_test(test_vms_agree),
		cmocka_unit_test(test_wave_moves_at_the_pace),
		cmocka_unit_test(test_slots_change),
		cmocka_unit_test(test_calm_stays_at_home),
		cmocka_unit_test(test_known_demand_counts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
