#include "schedule.h"
#include "soak.h"
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>

/* Time after which writes are repeated that a returned store lacks, in ms. */
#define REPEAT_WRITES_MS 500

/* Longest time from the start of a VM to its blocking of signals, in ms. */
#define START_MAX_MS 200

/* Time in which a process that a signal ends has done so, in ms. */
#define END_WAIT_MS 50

#define PLANNED(s, i) (&g_array_index((s)->plan, struct soak_planned, i))

static void get(int port, const char *path)
{
	char url[120];
	char text[400];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
	harness_get(url, text, sizeof(text));
}

static void set_link(int group, const char *mode)
{
	char path[40];

	snprintf(path, sizeof(path), "/admin/%s", mode);
	get(soak_link_admin_port(group), path);
}

static void cut_links(int group, int variant)
{
	static const char *const modes[SOAK_VARIANTS] = {"silent", "refuse",
							 "refuse-new"};

	set_link(group, modes[variant]);
}

static void fault_store(int group, int variant)
{
	static const char *const faults[SOAK_VARIANTS] = {
		"/admin/faults?down_ms=3000", "/admin/faults?slow_ms=400",
		"/admin/faults?lose=50"};

	get(soak_store_port(group), faults[variant]);
}

static void restore_store(int group)
{
	get(soak_store_port(group), "/admin/faults?slow_ms=0&lose=0");
}

static void copy_store(int group)
{
	get(soak_store_port(group), "/admin/faults?copy=1");
}

/* The store comes back as it was copied. Operators and upstreams find out, and
 * write again what they wrote since. */
static void return_store(struct soak *s, int group)
{
	get(soak_store_port(group), "/admin/faults?return=1");
	harness_sleep_ms(REPEAT_WRITES_MS);
	for (int n = 1; n <= SOAK_UPSTREAMS; n++)
		soak_write_upstream(s, n);
	soak_write_manifest(s, group);
}

static void stop_vm(struct soak *s, int vm)
{
	s->vm_state[vm] = SOAK_VM_STOPPING;
	kill(s->vm_pid[vm], SIGTERM);
}

static void kill_vm(struct soak *s, int vm)
{
	s->vm_state[vm] = SOAK_VM_DOWN;
	kill(s->vm_pid[vm], SIGKILL);
}

static void restart_vm(struct soak *s, int vm)
{
	harness_wait(s->vm_pid[vm]);
	s->vm_state[vm] = SOAK_VM_DOWN;
	soak_start_vm(s, vm);
}

/* The platform starts a process again that has ended. A SIGHUP ends a VM that
 * has not begun to block signals, no other one. */
static void start_hung_up(struct soak *s, int vm)
{
	if (s->vm_state[vm] != SOAK_VM_UP)
		return;
	soak_count_check(SOAK_ENDED);
	harness_sleep_ms(END_WAIT_MS);
	if (!harness_has_ended(s->vm_pid[vm]))
		return;
	if (prl_now_ms() - s->vm_started_ms[vm] > START_MAX_MS + END_WAIT_MS)
		soak_report(s, SOAK_ENDED, "VM %d (pid %d)", vm,
			    (int)s->vm_pid[vm]);
	printf("VM %d is started again\n", vm);
	soak_start_vm(s, vm);
}

static void begin_fault(struct soak *s, const struct soak_planned *p)
{
	switch (p->kind) {
	case SOAK_CUT_LINKS:
		cut_links(p->subject - 1, p->variant);
		break;
	case SOAK_STORE_FAULT:
		fault_store(p->subject - 1, p->variant);
		break;
	case SOAK_STORE_RETURN:
		copy_store(p->subject - 1);
		break;
	case SOAK_TERM:
		stop_vm(s, p->subject);
		break;
	case SOAK_KILL:
		kill_vm(s, p->subject);
		break;
	case SOAK_PAUSE:
		kill(s->vm_pid[p->subject], SIGSTOP);
		break;
	case SOAK_HANG_UP:
		kill(s->vm_pid[p->subject], SIGHUP);
		break;
	case SOAK_DRAIN:
		soak_put_upstream(s, p->subject, "draining");
		break;
	case SOAK_LEAVE:
		soak_remove_upstream(s, p->subject);
		break;
	case SOAK_MANIFEST:
		soak_change_manifest(s);
		break;
	case SOAK_KINDS:
		break;
	}
}

static void end_fault(struct soak *s, const struct soak_planned *p)
{
	switch (p->kind) {
	case SOAK_CUT_LINKS:
		set_link(p->subject - 1, "pass");
		break;
	case SOAK_STORE_FAULT:
		restore_store(p->subject - 1);
		break;
	case SOAK_STORE_RETURN:
		return_store(s, p->subject - 1);
		break;
	case SOAK_TERM:
	case SOAK_KILL:
		restart_vm(s, p->subject);
		break;
	case SOAK_PAUSE:
		kill(s->vm_pid[p->subject], SIGCONT);
		break;
	case SOAK_LEAVE:
		s->upstream_starts[p->subject]++;
		soak_put_upstream(s, p->subject, "ready");
		break;
	case SOAK_DRAIN:
		soak_put_upstream(s, p->subject, "ready");
		break;
	case SOAK_HANG_UP:
		start_hung_up(s, p->subject);
		break;
	case SOAK_MANIFEST:
	case SOAK_KINDS:
		break;
	}
}

/* The open fault that ends first, by its place in the schedule; -1 if none is
 * open. */
static int next_end(const struct soak *s, guint nbegun, const int *ended)
{
	int first = -1;

	for (guint i = 0; i < nbegun; i++) {
		if (ended[i])
			continue;
		if (first < 0 ||
		    PLANNED(s, i)->end_ms < PLANNED(s, (guint)first)->end_ms)
			first = (int)i;
	}
	return first;
}

static void wait_until(int64_t time_ms)
{
	int64_t left = time_ms - prl_now_ms();

	if (left > 0)
		harness_sleep_ms((int)left);
}

static void begin_planned(struct soak *s, const struct soak_planned *p)
{
	struct soak_fault f = {.kind = soak_kinds[p->kind].name,
			       .subject = p->subject};

	printf("%s %d for %lld ms\n", f.kind, f.subject,
	       (long long)(p->end_ms - p->begin_ms));
	f.begin_ms = prl_now_ms();
	f.end_ms = INT64_MAX;
	begin_fault(s, p);
	g_array_append_val(s->faults, f);
}

static void end_planned(struct soak *s, guint i)
{
	end_fault(s, PLANNED(s, i));
	g_array_index(s->faults, struct soak_fault, i).end_ms = prl_now_ms();
}

/* Faults begin and end in the order of the schedule, also while they are late.
 */
void soak_inject_faults(struct soak *s)
{
	int64_t start_ms = prl_now_ms();
	int *ended = g_new0(int, s->plan->len + 1);
	guint nbegun = 0;

	for (;;) {
		int end = next_end(s, nbegun, ended);
		int is_begin = nbegun < s->plan->len;

		if (!is_begin && end < 0)
			break;
		if (is_begin && end >= 0)
			is_begin = PLANNED(s, nbegun)->begin_ms <
				   PLANNED(s, (guint)end)->end_ms;
		if (is_begin) {
			wait_until(start_ms + PLANNED(s, nbegun)->begin_ms);
			begin_planned(s, PLANNED(s, nbegun));
			nbegun++;
		} else {
			wait_until(start_ms + PLANNED(s, (guint)end)->end_ms);
			end_planned(s, (guint)end);
			ended[end] = 1;
		}
	}
	g_free(ended);
	s->is_quiet = 1;
	harness_sleep_ms(SOAK_QUIET_MS);
}
