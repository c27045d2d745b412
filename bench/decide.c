/* Time per lookup and per upstream choice, in ns, and bytes per entry of a
 * view, for several fleet sizes. Usage: bench-decide */
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/steer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ITERATIONS 200000
#define VMS_MAX 8000
#define UPSTREAMS_MAX 256

static struct steer_vm vm[VMS_MAX];
static struct steer_service service;
static struct steer_service *services[] = {&service};
static struct steer_view view = {.vm = vm, .service = services, .nservice = 1};
static struct steer_upstream upstream[UPSTREAMS_MAX];
static struct steer_upstream_load load[UPSTREAMS_MAX];
static volatile int result_sink;

static void make_view(int vms, int regions)
{
	view.nvm = vms;
	view.nregion = regions;
	for (int i = 0; i < vms; i++) {
		vm[i].id = prl_hash_combine((uint64_t)i, 1);
		vm[i].region = i * regions / vms;
		vm[i].domain = vm[i].region * 3 + i % 3;
	}
	for (int r = 0, at = 0; r <= STEER_REGIONS_MAX; r++) {
		while (at < vms && vm[at].region < r)
			at++;
		view.first_vm[r] = at;
	}
}

static void measure_lookup(int vms, int regions)
{
	struct steer_lookup_answer answer;
	int64_t started_us;
	int iterations = ITERATIONS * 12 / (vms / regions + 12);

	make_view(vms, regions);
	started_us = prl_now_us();
	for (int i = 0; i < iterations; i++) {
		struct steer_lookup_request request = {.region = i % regions,
						       .block = (uint64_t)i};

		steer_lookup(&view, &request, &answer);
		result_sink += answer.entry[0].vm;
	}
	printf("look-up, %d VMs in %d regions: %.0f ns\n", vms, regions,
	       (double)(prl_now_us() - started_us) * 1000 / iterations);
}

static void measure_pick(enum steer_lb_policy policy, const char *name, int n)
{
	int64_t started_us;

	for (int i = 0; i < n; i++) {
		upstream[i].slots = 6;
		load[i] =
			(struct steer_upstream_load){.outstanding = i % 5,
						     .reported_running = i % 7,
						     .reported_ms = 900,
						     .latency_us = 5000 + i};
	}
	started_us = prl_now_us();
	for (int i = 0; i < ITERATIONS; i++) {
		struct steer_pick_input input = {
			.upstream = upstream,
			.load = load,
			.n = n,
			.lb_policy = policy,
			.now_ms = 1000,
			.excluded = STEER_NONE,
			.random = prl_hash_combine((uint64_t)i, 3)};

		result_sink += steer_pick_upstream(&input);
	}
	printf("choice by %s, %d upstreams: %.0f ns\n", name, n,
	       (double)(prl_now_us() - started_us) * 1000 / ITERATIONS);
}

int main(void)
{
	static const char *const names[] = {"random", "round-robin",
					    "least-outstanding", "power-of-two",
					    "probe"};

	measure_lookup(12, 3);
	measure_lookup(200, 3);
	measure_lookup(7900, 18);
	for (int i = 0; i < 5; i++)
		measure_pick((enum steer_lb_policy)i, names[i], 50);
	printf("memory of one VM in a view: %zu bytes, of one upstream: %zu, "
	       "of one service: %zu\n",
	       sizeof(struct steer_vm), sizeof(struct steer_upstream),
	       sizeof(struct steer_service));
	return 0;
}
