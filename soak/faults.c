#include "soak.h"
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Pause between the beginnings of two faults, at most, in ms. */
#define PAUSE_MAX_MS 2500

/* Time after which writes are repeated that a returned store lacks, in ms. */
#define REPEAT_WRITES_MS 500

#define FAULTS_OPEN_MAX 8

/* A fault that has begun and ends later. */
struct open_fault {
	/** Index in the list of faults; -1 if the place is free. */
	int index;
	void (*end)(struct soak *s, int subject);
};

static struct open_fault open_faults[FAULTS_OPEN_MAX];

static int draw(struct soak *s, int n)
{
	return g_rand_int_range(s->random, 0, n);
}

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

static void cut_links(struct soak *s, int group)
{
	static const char *const modes[] = {"silent", "refuse", "refuse-new"};

	set_link(group, modes[draw(s, 3)]);
}

static void restore_links(struct soak *s, int group)
{
	(void)s;
	set_link(group, "pass");
}

static void fault_store(struct soak *s, int group)
{
	static const char *const faults[] = {"/admin/faults?down_ms=3000",
					     "/admin/faults?slow_ms=400",
					     "/admin/faults?lose=50"};

	get(soak_store_port(group), faults[draw(s, 3)]);
}

static void restore_store(struct soak *s, int group)
{
	(void)s;
	get(soak_store_port(group), "/admin/faults?slow_ms=0&lose=0");
}

static void copy_store(struct soak *s, int group)
{
	(void)s;
	get(soak_store_port(group), "/admin/faults?copy=1");
}

/* The store comes back as it was copied. Operators and upstreams find out, and
 * write again what they wrote since. */
static void return_store(struct soak *s, int group)
{
	get(soak_store_port(group), "/admin/faults?return=1");
	harness_sleep_ms(REPEAT_WRITES_MS);
	for (int n = 1; n <= SOAK_UPSTREAMS; n++)
		soak_put_upstream(s, n, s->upstream_state[n]);
	routes_use_store(soak_store_port(group));
	routes_put_manifest(s->manifest_version, "s");
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

static void pause_vm(struct soak *s, int vm)
{
	kill(s->vm_pid[vm], SIGSTOP);
}

static void continue_vm(struct soak *s, int vm)
{
	kill(s->vm_pid[vm], SIGCONT);
}

static void hang_up_vm(struct soak *s, int vm)
{
	kill(s->vm_pid[vm], SIGHUP);
}

static void nothing(struct soak *s, int subject)
{
	(void)s;
	(void)subject;
}

static void drain_upstream(struct soak *s, int n)
{
	soak_put_upstream(s, n, "draining");
}

static void return_upstream(struct soak *s, int n)
{
	soak_put_upstream(s, n, "ready");
}

static void change_manifest(struct soak *s, int unused)
{
	(void)unused;
	s->manifest_version += 2;
	for (int group = 0; group < SOAK_GROUPS; group++) {
		routes_use_store(soak_store_port(group));
		routes_put_manifest(s->manifest_version, "s");
	}
}

enum subject { VM, GROUP, UPSTREAM, NOBODY };

static const struct {
	const char *kind;
	enum subject subject;
	/** Shortest and longest duration, in ms. */
	int least_ms;
	int most_ms;
	void (*begin)(struct soak *s, int subject);
	void (*end)(struct soak *s, int subject);
} kinds[] = {
	{"links", GROUP, 2000, 9000, cut_links, restore_links},
	{"store", GROUP, 1000, 4000, fault_store, restore_store},
	{"return", GROUP, 500, 4000, copy_store, return_store},
	{"term", VM, 5500, 6500, stop_vm, restart_vm},
	{"kill", VM, 300, 3000, kill_vm, restart_vm},
	{"pause", VM, 500, 5000, pause_vm, continue_vm},
	{"hup", VM, 10, 20, hang_up_vm, nothing},
	{"drain", UPSTREAM, 4000, 8000, drain_upstream, return_upstream},
	{"manifest", NOBODY, 10, 20, change_manifest, nothing},
};

static int is_open(const struct soak *s, const char *kind, int subject)
{
	for (int i = 0; i < FAULTS_OPEN_MAX; i++) {
		const struct soak_fault *f;

		if (open_faults[i].index < 0)
			continue;
		f = &g_array_index(s->faults, struct soak_fault,
				   open_faults[i].index);
		if (f->subject == subject && f->kind == kind)
			return 1;
	}
	return 0;
}

static int is_vm_fault_open(const struct soak *s, int vm)
{
	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
		if (kinds[k].subject == VM && is_open(s, kinds[k].kind, vm))
			return 1;
	return 0;
}

static int count_vms_with_faults(const struct soak *s)
{
	int n = 0;

	for (int vm = 1; vm <= s->options.vms; vm++)
		n += is_vm_fault_open(s, vm);
	return n;
}

/* Draws what a fault concerns. Returns 0 if it can't begin now: one fault a VM,
 * most VMs without one, one group with its links. */
static int draw_subject(struct soak *s, size_t kind)
{
	int n;

	switch (kinds[kind].subject) {
	case VM:
		n = 1 + draw(s, s->options.vms);
		if (is_vm_fault_open(s, n) ||
		    2 * (count_vms_with_faults(s) + 1) > s->options.vms)
			return 0;
		return n;
	case GROUP:
		n = draw(s, SOAK_GROUPS);
		if (is_open(s, kinds[kind].kind, n + 1) ||
		    is_open(s, kinds[kind].kind, 2 - n))
			return 0;
		return n + 1;
	case UPSTREAM:
		n = 1 + draw(s, SOAK_UPSTREAMS_S);
		for (int i = 1; i <= SOAK_UPSTREAMS_S; i++)
			if (is_open(s, kinds[kind].kind, i))
				return 0;
		return n;
	case NOBODY:
		return 1;
	}
	return 0;
}

static int argument_of(size_t kind, int subject)
{
	return kinds[kind].subject == GROUP ? subject - 1 : subject;
}

static struct open_fault *free_place(void)
{
	for (int i = 0; i < FAULTS_OPEN_MAX; i++)
		if (open_faults[i].index < 0)
			return &open_faults[i];
	return NULL;
}

static void begin_fault(struct soak *s)
{
	size_t kind = (size_t)draw(s, G_N_ELEMENTS(kinds));
	int lasts_ms = g_rand_int_range(s->random, kinds[kind].least_ms,
					kinds[kind].most_ms);
	int subject = draw_subject(s, kind);
	struct open_fault *place = free_place();
	struct soak_fault f = {.kind = kinds[kind].kind, .subject = subject};

	if (!subject || !place)
		return;
	f.begin_ms = prl_now_ms();
	f.end_ms = f.begin_ms + lasts_ms;
	printf("%s %d for %d ms\n", f.kind, subject, lasts_ms);
	kinds[kind].begin(s, argument_of(kind, subject));
	place->index = (int)s->faults->len;
	place->end = kinds[kind].end;
	g_array_append_val(s->faults, f);
}

static size_t kind_of(const struct soak_fault *f)
{
	size_t kind = 0;

	while (kinds[kind].kind != f->kind)
		kind++;
	return kind;
}

static void end_faults(struct soak *s, int64_t now)
{
	for (int i = 0; i < FAULTS_OPEN_MAX; i++) {
		struct soak_fault *f;

		if (open_faults[i].index < 0)
			continue;
		f = &g_array_index(s->faults, struct soak_fault,
				   open_faults[i].index);
		if (now < f->end_ms)
			continue;
		open_faults[i].end(s, argument_of(kind_of(f), f->subject));
		f->end_ms = prl_now_ms();
		open_faults[i].index = -1;
	}
}

static int any_open(void)
{
	for (int i = 0; i < FAULTS_OPEN_MAX; i++)
		if (open_faults[i].index >= 0)
			return 1;
	return 0;
}

void soak_inject_faults(struct soak *s)
{
	int64_t now = prl_now_ms();
	int64_t end_ms = now + s->options.duration_s * (int64_t)1000;
	int64_t next_ms = now + 1000;

	for (int i = 0; i < FAULTS_OPEN_MAX; i++)
		open_faults[i].index = -1;
	while (now < end_ms || any_open()) {
		if (now < end_ms && now >= next_ms) {
			begin_fault(s);
			next_ms = now + draw(s, PAUSE_MAX_MS);
		}
		end_faults(s, now);
		harness_sleep_ms(10);
		now = prl_now_ms();
	}
	s->is_quiet = 1;
	harness_sleep_ms(SOAK_QUIET_MS);
}
