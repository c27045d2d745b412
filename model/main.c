#include "model.h"
#include "quarantine_model.h"
#include <stdio.h>
#include <stdlib.h>

/* Simulated time of a run of the model of the quarantine, in ms, and most runs.
 */
#define QUARANTINE_RUN_MS 40000
#define QUARANTINE_RUNS_MAX 100

/* Runs the model of the quarantine. Returns 0, or 1 after the first failure. */
static int run_quarantine(uint64_t first, long runs)
{
	for (long i = 0; i < runs && i < QUARANTINE_RUNS_MAX; i++) {
		uint64_t seed = first + (uint64_t)i;
		struct quarantine_model_result r;

		if (quarantine_model_run(seed, QUARANTINE_RUN_MS, &r)) {
			printf("seed %llu of the quarantine: %s\n",
			       (unsigned long long)seed, r.failure);
			return 1;
		}
		if (r.innocent_convicted) {
			printf("seed %llu of the quarantine: %ld innocent "
			       "requests convicted\n",
			       (unsigned long long)seed, r.innocent_convicted);
			return 1;
		}
	}
	return 0;
}

/* Usage: model FIRST-SEED RUNS EVENTS [dump]. Prints the sums over all runs, or
 * the first failure and, with "dump", the state at that point. */
int main(int argc, char **argv)
{
	uint64_t first = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	long runs = argc > 2 ? atol(argv[2]) : 100;
	long events = argc > 3 ? atol(argv[3]) : 2000;
	struct model_result sum = {0};

	for (long i = 0; i < runs; i++) {
		struct model_input in = {.seed = first + (uint64_t)i,
					 .events = events,
					 .dump_on_failure = argc > 4};
		struct model_result r;

		if (model_run(&in, &r)) {
			printf("seed %llu, event %ld: %s\n",
			       (unsigned long long)in.seed, r.events,
			       r.failure);
			return 1;
		}
		sum.events += r.events;
		sum.admitted += r.admitted;
		sum.ran += r.ran;
		sum.not_run += r.not_run;
		sum.claims_granted += r.claims_granted;
		sum.claims_taken += r.claims_taken;
		sum.shifted += r.shifted;
		sum.conflicts += r.conflicts;
		sum.lost_answers += r.lost_answers;
		sum.late_writes += r.late_writes;
		sum.reclaimed += r.reclaimed;
		sum.configs_accepted += r.configs_accepted;
	}
	printf("events %ld, admitted %ld, runs %ld, not run %ld, claims %ld, "
	       "taken %ld, moved %ld, conflicts %ld, lost answers %ld, late "
	       "writes %ld, reclaimed %ld, versions %ld\n",
	       sum.events, sum.admitted, sum.ran, sum.not_run,
	       sum.claims_granted, sum.claims_taken, sum.shifted, sum.conflicts,
	       sum.lost_answers, sum.late_writes, sum.reclaimed,
	       sum.configs_accepted);
	return run_quarantine(first, runs);
}
