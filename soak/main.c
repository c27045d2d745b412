#include "schedule.h"
#include "soak.h"
#include <argtable2.h>
#include <curl/curl.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DURATION_MAX_S 3600
#define CALLERS 12
#define PORTS_DEFAULT TEST_PORT(0)

/* Reads the options. Returns 0, or -1 after printing what is wrong. */
static int read_options(int argc, char **argv, struct soak_options *out)
{
	struct arg_int *seed = arg_int1(NULL, "seed", "N", "seed of the run");
	struct arg_int *duration = arg_int0(NULL, "duration", "SECONDS",
					    "time with faults, default 40");
	struct arg_int *vms =
		arg_int0(NULL, "vms", "N", "number of VMs, default 4");
	struct arg_int *ports =
		arg_int0(NULL, "ports", "N",
			 "first of 400 ports on loopback, default 20000");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, duration, vms, ports, end};
	int rc = 0;

	duration->ival[0] = 40;
	vms->ival[0] = 4;
	ports->ival[0] = PORTS_DEFAULT;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "soak");
		rc = -1;
	} else if (seed->ival[0] < 0 || duration->ival[0] < 1 ||
		   duration->ival[0] > DURATION_MAX_S || vms->ival[0] < 4 ||
		   vms->ival[0] > SOAK_VMS_MAX || ports->ival[0] < 1024 ||
		   ports->ival[0] > 32000) {
		fprintf(stderr,
			"soak: seed 0 or more, duration 1 to %d, vms 4 to %d, "
			"ports 1024 to 32000\n",
			DURATION_MAX_S, SOAK_VMS_MAX);
		rc = -1;
	}
	routes_port_base = ports->ival[0];
	*out = (struct soak_options){.seed = (uint64_t)seed->ival[0],
				     .duration_s = duration->ival[0],
				     .vms = vms->ival[0],
				     .callers = CALLERS};
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

static void print_counts(const struct soak *s)
{
	int by_status[600] = {0};

	for (guint i = 0; i < s->requests->len; i++)
		by_status[g_array_index(s->requests, struct soak_request, i)
				  .status]++;
	printf("requests %u, faults %u:", s->requests->len, s->faults->len);
	for (int i = 0; i < 600; i++)
		if (by_status[i])
			printf(" %d: %d", i, by_status[i]);
	printf("\n");
}

/* The schedule stays with the logs. */
static void write_plan(struct soak *s)
{
	char *text;

	soak_plan(s);
	text = soak_format_plan(s);
	harness_write_file("schedule.txt", text);
	g_free(text);
}

int main(int argc, char **argv)
{
	static struct soak s;
	int broken;

	if (read_options(argc, argv, &s.options))
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_ALL);
	harness_init(argv[0]);
	s.random = g_rand_new_with_seed((guint32)s.options.seed);
	s.plan = g_array_new(FALSE, FALSE, sizeof(struct soak_planned));
	s.faults = g_array_new(FALSE, FALSE, sizeof(struct soak_fault));
	s.requests = g_array_new(FALSE, FALSE, sizeof(struct soak_request));
	write_plan(&s);
	soak_start_fleet(&s);
	soak_start_callers(&s);
	soak_start_guilty(&s);
	soak_start_keyed(&s);
	soak_start_held(&s);
	soak_inject_faults(&s);
	s.stopped_ms = prl_now_ms();
	s.stopped = 1;
	soak_join_callers(&s);
	soak_join_guilty(&s);
	soak_join_keyed();
	soak_join_held();
	soak_check(&s);
	print_counts(&s);
	broken = soak_print_promises();
	if (broken)
		setenv("KEEP", "1", 1);
	harness_finish();
	return broken != 0;
}
