#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/hash.h>
#include <primroselead/steer.h>
#include <stdlib.h>
#include <string.h>

#define VMS 24
#define REGIONS 3

static struct steer_vm vm[VMS];
static struct steer_service service;
static struct steer_service *services[1] = {&service};
static struct steer_view view;

static void make_view(unsigned int seed)
{
	srand(seed);
	memset(&view, 0, sizeof(view));
	memset(&service, 0, sizeof(service));
	strcpy(service.name, "s");
	view.vm = vm;
	view.nvm = VMS;
	view.nregion = REGIONS;
	view.service = services;
	view.nservice = 1;
	for (int i = 0; i < VMS; i++) {
		vm[i].id = (uint64_t)rand() << 32 | (uint32_t)rand();
		vm[i].region = i * REGIONS / VMS;
		vm[i].domain = vm[i].region * 2 + rand() % 2;
		vm[i].state = rand() % 5 ? STEER_ACTIVE : STEER_LEAVING;
	}
	for (int r = 0; r <= STEER_REGIONS_MAX; r++) {
		int at = 0;

		while (at < VMS && vm[at].region < r)
			at++;
		view.first_vm[r] = at;
	}
	for (int r = 0; r < REGIONS; r++) {
		struct steer_service_region *p = &service.region[r];

		p->capacity = rand() % 4 ? 1 + rand() % 100 : 0;
		p->weight = rand() % 3;
		for (int k = 1; k < REGIONS; k++)
			if (rand() % 3)
				p->spill[p->nspill++] =
					(int8_t)((r + k) % REGIONS);
	}
	service.shift.from = STEER_NONE;
}

/* Reference look-up: for each entry of the answer, go through the regions in
 * order and take the VM with the greatest key. */
static int reference_next(const struct steer_lookup_request *req, int region,
			  const struct steer_lookup_answer *out)
{
	int best = STEER_NONE;
	uint64_t best_key[2] = {0, 0};

	for (int i = 0; i < VMS; i++) {
		uint64_t key[2] = {1, prl_hash_combine(vm[i].id, req->block)};
		int listed = 0;

		for (int k = 0; k < out->n; k++) {
			listed |= out->entry[k].vm == i;
			if (vm[out->entry[k].vm].domain == vm[i].domain)
				key[0] = 0;
		}
		if (listed || vm[i].region != region ||
		    vm[i].state != STEER_ACTIVE)
			continue;
		if (best != STEER_NONE &&
		    (key[0] < best_key[0] ||
		     (key[0] == best_key[0] && key[1] <= best_key[1])))
			continue;
		best = i;
		best_key[0] = key[0];
		best_key[1] = key[1];
	}
	return best;
}

static void reference_fill(const struct steer_lookup_request *req, int region,
			   int max, struct steer_lookup_answer *out)
{
	while (out->n < max) {
		int i = reference_next(req, region, out);

		if (i == STEER_NONE)
			return;
		out->entry[out->n++].vm = i;
	}
}

static void reference_lookup(const struct steer_lookup_request *req,
			     struct steer_lookup_answer *out)
{
	const struct steer_service_region *p = &service.region[req->region];

	out->n = 0;
	reference_fill(req, req->region, STEER_LOOKUP_MAX - 1, out);
	for (int k = 0; k < p->nspill; k++)
		reference_fill(req, p->spill[k], STEER_LOOKUP_MAX, out);
	for (int r = 0; r < REGIONS; r++)
		reference_fill(req, r, STEER_LOOKUP_MAX, out);
}

/* The look-up in one pass over each region gives the same VMs as the slow
 * reference. */
static void test_lookup_as_naive(void **state)
{
	(void)state;
	for (unsigned int seed = 0; seed < 400; seed++) {
		make_view(seed);
		for (uint64_t block = 0; block < 20; block++) {
			struct steer_lookup_request req = {
				.region = (int)(block % 3), .block = block};
			struct steer_lookup_answer a;
			struct steer_lookup_answer b;
			int sum = 0;

			steer_lookup(&view, &req, &a);
			reference_lookup(&req, &b);
			assert_int_equal(a.n, b.n);
			for (int i = 0; i < a.n; i++) {
				assert_int_equal(a.entry[i].vm, b.entry[i].vm);
				sum += a.entry[i].weight_permille;
			}
			if (a.n)
				assert_int_equal(sum, 1000);
		}
	}
}

/* The loss of a VM moves only the callers whose first VM it was. */
static void test_loss_moves_own_callers(void **state)
{
	struct steer_lookup_answer before[500];
	struct steer_lookup_answer after;
	int moved = 0;
	int own = 0;

	(void)state;
	make_view(3);
	for (int i = 0; i < VMS; i++)
		vm[i].state = STEER_ACTIVE;
	for (uint64_t b = 0; b < 500; b++)
		steer_lookup(&view, &(struct steer_lookup_request){.block = b},
			     &before[b]);
	vm[2].state = STEER_GONE;
	for (uint64_t b = 0; b < 500; b++) {
		steer_lookup(&view, &(struct steer_lookup_request){.block = b},
			     &after);
		own += before[b].entry[0].vm == 2;
		moved += before[b].entry[0].vm != after.entry[0].vm;
		for (int i = 0; i < after.n; i++)
			assert_int_not_equal(after.entry[i].vm, 2);
	}
	assert_true(own > 20);
	assert_int_equal(moved, own);
}

/* Rendezvous hashing gives each VM of a region about the same number of
 * callers. */
static void test_blocks_spread_evenly(void **state)
{
	int count[VMS] = {0};

	(void)state;
	make_view(3);
	for (int i = 0; i < VMS; i++)
		vm[i].state = STEER_ACTIVE;
	for (uint64_t b = 0; b < 8000; b++) {
		struct steer_lookup_answer a;

		steer_lookup(&view, &(struct steer_lookup_request){.block = b},
			     &a);
		count[a.entry[0].vm]++;
	}
	/* 8 VMs in the region: 1000 blocks each; 15 percent is far beyond
	 * random variation. */
	for (int i = view.first_vm[0]; i < view.first_vm[1]; i++) {
		assert_true(count[i] > 850);
		assert_true(count[i] < 1150);
	}
}

/* VMs at different steps of a shift must not together shift more than the
 * larger share, and none more than the cap. */
static void test_shares_are_nested(void **state)
{
	struct steer_shift small = {
		.from = 0, .to = 1, .cap_permille = 300, .share_permille = 50};
	struct steer_shift large = small;
	int n = 0;

	(void)state;
	large.share_permille = 75;
	for (uint64_t b = 0; b < 20000; b++) {
		if (steer_is_shifted(&small, 0, b)) {
			n++;
			assert_true(steer_is_shifted(&large, 0, b));
		}
		assert_false(steer_is_shifted(&large, 1, b));
	}
	assert_true(n > 850 && n < 1150);
	large.share_permille = 900;
	large.cap_permille = 100;
	n = 0;
	for (uint64_t b = 0; b < 20000; b++)
		n += steer_is_shifted(&large, 0, b);
	assert_true(n < 2200);
}

/* The regions to try are distinct and run the service. The first is the
 * destination of the shift if the request is shifted, else the home region. */
static void test_region_order(void **state)
{
	struct steer_region_order r;

	(void)state;
	for (unsigned int seed = 0; seed < 300; seed++) {
		make_view(seed);
		service.shift.to = 1;
		for (int shifted = 0; shifted < 2; shifted++) {
			int home =
				steer_home_region(&service, REGIONS, 0, seed);

			if (home == STEER_NONE)
				continue;
			assert_true(service.region[home].capacity > 0);
			steer_order_regions(&service, home, shifted, &r);
			for (int i = 0; i < r.n; i++) {
				assert_true(
					service.region[r.region[i]].capacity >
					0);
				for (int k = 0; k < i; k++)
					assert_int_not_equal(r.region[i],
							     r.region[k]);
			}
			if (shifted && service.region[1].capacity > 0)
				assert_int_equal(r.reason[0], STEER_SHIFTED);
			else
				assert_int_equal(r.region[0], home);
		}
	}
}

/* Under every policy only an active upstream with a free slot is picked, and
 * one is picked whenever there is any. */
static void test_pick_keeps_the_limits(void **state)
{
	struct steer_upstream up[20];
	struct steer_upstream_load load[20];

	(void)state;
	srand(5);
	for (int round = 0; round < 20000; round++) {
		struct steer_pick_input p = {
			.upstream = up,
			.load = load,
			.n = 1 + rand() % 20,
			.lb_policy = (enum steer_lb_policy)(rand() % 5),
			.warmup_ms = 1000,
			.now_ms = 10000,
			.random = (uint64_t)rand(),
			.excluded = rand() % 4 ? STEER_NONE : 0};
		int usable = 0;
		int i;

		for (i = 0; i < p.n; i++) {
			up[i].slots = 1 + rand() % 6;
			up[i].state = (enum steer_state)(rand() % 3);
			load[i].outstanding = rand() % 7;
			load[i].reported_running = rand() % 12 - 1;
			load[i].reported_ms = 10000 - rand() % 4000;
			load[i].latency_us = rand() % 9000;
			load[i].failure_permille = rand() % 1000;
			load[i].first_seen_ms = 0;
			usable += up[i].state == STEER_ACTIVE &&
				  load[i].outstanding < up[i].slots &&
				  i != p.excluded;
		}
		i = steer_pick_upstream(&p);
		if (!usable) {
			assert_int_equal(i, STEER_NONE);
			continue;
		}
		assert_in_range(i, 0, p.n - 1);
		assert_int_equal(up[i].state, STEER_ACTIVE);
		assert_true(load[i].outstanding < up[i].slots);
		assert_int_not_equal(i, p.excluded);
	}
}

/* An upstream that fails fast has low latency and load, which must not attract
 * traffic. */
static void test_failing_upstream_repels(void **state)
{
	struct steer_upstream up[4] = {
		{.slots = 10}, {.slots = 10}, {.slots = 10}, {.slots = 10}};
	struct steer_upstream_load load[4] = {
		{.reported_running = -1, .latency_us = 9000},
		{.reported_running = -1, .latency_us = 9000},
		{.reported_running = -1,
		 .latency_us = 50,
		 .failure_permille = 900},
		{.reported_running = -1, .latency_us = 9000}};
	int hits = 0;

	(void)state;
	for (uint64_t i = 0; i < 20000; i++) {
		struct steer_pick_input p = {
			.upstream = up,
			.load = load,
			.n = 4,
			.lb_policy = i % 2 ? STEER_PROBE : STEER_POWER_OF_TWO,
			.now_ms = 1,
			.random = prl_hash_combine(i, 9),
			.excluded = STEER_NONE};

		hits += steer_pick_upstream(&p) == 2;
	}
	assert_true(hits > 0);
	assert_true(hits < 600);
}

/* In its slow start an upstream gets a part of its slots that grows with time.
 */
static void test_slow_start_limits_slots(void **state)
{
	struct steer_upstream up = {.slots = 10};
	struct steer_upstream_load load = {.reported_running = -1,
					   .first_seen_ms = 1000};
	struct steer_pick_input p = {.upstream = &up,
				     .load = &load,
				     .n = 1,
				     .warmup_ms = 1000,
				     .now_ms = 1000,
				     .excluded = STEER_NONE};

	(void)state;
	load.outstanding = 1;
	assert_int_equal(steer_pick_upstream(&p), 0);
	load.outstanding = 2;
	assert_int_equal(steer_pick_upstream(&p), STEER_NONE);
	p.now_ms = 1500;
	load.outstanding = 5;
	assert_int_equal(steer_pick_upstream(&p), 0);
	load.outstanding = 6;
	assert_int_equal(steer_pick_upstream(&p), STEER_NONE);
	p.now_ms = 2000;
	load.outstanding = 9;
	assert_int_equal(steer_pick_upstream(&p), 0);
}

/* The quotas of all VMs together are the slots, in parts that differ by at most
 * one slot. */
static void test_quotas_are_a_division(void **state)
{
	(void)state;
	srand(8);
	for (int round = 0; round < 2000; round++) {
		struct steer_upstream up[20];
		int sum[20] = {0};
		int n = 1 + rand() % 20;
		int vms = 1 + rand() % 8;
		int total = 0;

		for (int i = 0; i < n; i++) {
			up[i].slots = 1 + rand() % 6;
			up[i].state = (enum steer_state)(rand() % 2);
			if (up[i].state == STEER_ACTIVE)
				total += up[i].slots;
		}
		for (int k = 0; k < vms; k++) {
			int quota[20];
			int mine = 0;

			steer_divide_slots(up, n, k, vms, quota);
			for (int i = 0; i < n; i++) {
				sum[i] += quota[i];
				mine += quota[i];
			}
			assert_in_range(mine, total / vms, total / vms + 1);
		}
		for (int i = 0; i < n; i++)
			assert_int_equal(sum[i], up[i].state == STEER_ACTIVE
							 ? up[i].slots
							 : 0);
	}
}

/* A shift must not add traffic before the step interval has passed or while the
 * destination is slow, but a lowered cap must not wait. */
static void test_steps(void **state)
{
	struct steer_shift_input s = {
		.shift = {.from = 0,
			  .to = 1,
			  .cap_permille = 100,
			  .step_permille = 40,
			  .step_interval_ms = 1000,
			  .plan_id = 7},
		.progress = {.plan_id = 7, .share_permille = 0},
		.progress_seen_ms = 0};
	struct steer_shift_progress next;

	(void)state;
	s.now_ms = 999;
	assert_int_equal(steer_shift_next_step(&s, &next), 0);
	s.now_ms = 1000;
	assert_int_equal(steer_shift_next_step(&s, &next), 1);
	assert_int_equal(next.share_permille, 40);
	s.progress.share_permille = 80;
	assert_int_equal(steer_shift_next_step(&s, &next), 1);
	assert_int_equal(next.share_permille, 100);
	s.progress.share_permille = 100;
	assert_int_equal(steer_shift_next_step(&s, &next), 0);
	s.latency_ratio_percent = 300;
	s.progress.share_permille = 40;
	assert_int_equal(steer_shift_next_step(&s, &next), 0);
	s.shift.direction = STEER_BACK;
	assert_int_equal(steer_shift_next_step(&s, &next), 1);
	assert_int_equal(next.share_permille, 0);
	s.shift.direction = STEER_PAUSE;
	assert_int_equal(steer_shift_next_step(&s, &next), 0);
	/* A lowered cap takes effect at once. */
	s.shift.cap_permille = 20;
	s.now_ms = 1;
	assert_int_equal(steer_shift_share(&s.shift, &s.progress), 20);
	assert_int_equal(steer_shift_next_step(&s, &next), 1);
	assert_int_equal(next.share_permille, 20);
	/* Progress of another plan shifts nothing. */
	s.progress.plan_id = 8;
	assert_int_equal(steer_shift_share(&s.shift, &s.progress), 0);
}

/* A rule matches a method with a whole path, or with a prefix before "*". */
static void test_never_twice(void **state)
{
	struct steer_once_rule rule[2] = {{"POST", "/accept*"},
					  {"DELETE", "/x"}};
	struct steer_service s = {.rule = rule, .nrule = 2};

	(void)state;
	assert_true(steer_runs_at_most_once(&s, "POST", "/accept"));
	assert_true(steer_runs_at_most_once(&s, "POST", "/accept/7"));
	assert_false(steer_runs_at_most_once(&s, "GET", "/accept"));
	assert_true(steer_runs_at_most_once(&s, "DELETE", "/x"));
	assert_false(steer_runs_at_most_once(&s, "DELETE", "/xy"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lookup_as_naive),
		cmocka_unit_test(test_loss_moves_own_callers),
		cmocka_unit_test(test_blocks_spread_evenly),
		cmocka_unit_test(test_shares_are_nested),
		cmocka_unit_test(test_region_order),
		cmocka_unit_test(test_pick_keeps_the_limits),
		cmocka_unit_test(test_failing_upstream_repels),
		cmocka_unit_test(test_slow_start_limits_slots),
		cmocka_unit_test(test_quotas_are_a_division),
		cmocka_unit_test(test_steps),
		cmocka_unit_test(test_never_twice),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
