#include "schedule.h"

/* Pause between the beginnings of two faults, at most, in ms; in a burst and
 * out of one. */
#define PAUSE_MAX_MS 2500
#define BURST_PAUSE_MAX_MS 100

/* One fault of this many begins a burst, of this many faults. */
#define BURST_ONE_IN 8
#define BURST_FAULTS 4

/* Time before the first fault, in ms. */
#define START_MS 1000

const struct soak_kind_info soak_kinds[SOAK_KINDS] = {
	[SOAK_CUT_LINKS] = {"links", SOAK_GROUP, 2000, 9000},
	[SOAK_STORE_FAULT] = {"store", SOAK_GROUP, 1000, 4000},
	[SOAK_STORE_RETURN] = {"return", SOAK_GROUP, 500, 4000},
	[SOAK_TERM] = {"term", SOAK_VM, 5500, 6500},
	[SOAK_KILL] = {"kill", SOAK_VM, 300, 3000},
	[SOAK_PAUSE] = {"pause", SOAK_VM, 500, 5000},
	[SOAK_HANG_UP] = {"hup", SOAK_VM, 10, 20},
	[SOAK_DRAIN] = {"drain", SOAK_UPSTREAM, 5000, 12000},
	[SOAK_LEAVE] = {"leave", SOAK_UPSTREAM, 6000, 14000},
	[SOAK_MANIFEST] = {"manifest", SOAK_NOBODY, 10, 20},
};

static int overlaps(const struct soak_planned *a, const struct soak_planned *b)
{
	return a->begin_ms <= b->end_ms && b->begin_ms <= a->end_ms;
}

static int lies_within(const struct soak_planned *a,
		       const struct soak_planned *b)
{
	return b->begin_ms <= a->begin_ms && a->end_ms <= b->end_ms;
}

/* A VM is stopped, killed or paused by one fault at a time, but may be paused
 * while it stops, and hung up on at any time. */
static int may_share_vm(const struct soak_planned *a,
			const struct soak_planned *b)
{
	if (a->kind == SOAK_HANG_UP || b->kind == SOAK_HANG_UP)
		return 1;
	if (a->subject != b->subject)
		return 1;
	return a->kind == SOAK_PAUSE && b->kind == SOAK_TERM &&
	       lies_within(a, b);
}

/* Whether a fault may begin beside another one: one group without links, one
 * upstream away. */
static int may_overlap(const struct soak_planned *a,
		       const struct soak_planned *b)
{
	enum soak_subject subject = soak_kinds[a->kind].subject;

	if (subject != soak_kinds[b->kind].subject)
		return 1;
	switch (subject) {
	case SOAK_VM:
		return may_share_vm(a, b);
	case SOAK_GROUP:
		return a->kind != b->kind;
	case SOAK_UPSTREAM:
		return 0;
	case SOAK_NOBODY:
		return 1;
	}
	return 0;
}

/* Half of the VMs are left alone. */
static int is_vm_left(const struct soak *s, const struct soak_planned *item)
{
	int busy[SOAK_VMS_MAX + 1] = {0};
	int n = 0;

	if (soak_kinds[item->kind].subject != SOAK_VM ||
	    item->kind == SOAK_HANG_UP)
		return 1;
	busy[item->subject] = 1;
	for (guint i = 0; i < s->plan->len; i++) {
		const struct soak_planned *p =
			&g_array_index(s->plan, struct soak_planned, i);

		if (soak_kinds[p->kind].subject == SOAK_VM &&
		    p->kind != SOAK_HANG_UP && overlaps(item, p))
			busy[p->subject] = 1;
	}
	for (int vm = 1; vm <= s->options.vms; vm++)
		n += busy[vm];
	return 2 * n <= s->options.vms;
}

static int draw_subject(struct soak *s, enum soak_subject subject)
{
	switch (subject) {
	case SOAK_VM:
		return g_rand_int_range(s->random, 1, s->options.vms + 1);
	case SOAK_GROUP:
		return g_rand_int_range(s->random, 1, SOAK_GROUPS + 1);
	case SOAK_UPSTREAM:
		return g_rand_int_range(s->random, 1, SOAK_UPSTREAMS_S + 1);
	case SOAK_NOBODY:
		return 1;
	}
	return 0;
}

/* Returns whether the fault has a place in the schedule. */
static int plan_fault(struct soak *s, enum soak_kind kind, int64_t begin_ms)
{
	const struct soak_kind_info *info = &soak_kinds[kind];
	struct soak_planned item = {.kind = kind, .begin_ms = begin_ms};

	item.end_ms = begin_ms + g_rand_int_range(s->random, info->least_ms,
						  info->most_ms);
	item.subject = draw_subject(s, info->subject);
	item.variant = g_rand_int_range(s->random, 0, SOAK_VARIANTS);
	for (guint i = 0; i < s->plan->len; i++) {
		const struct soak_planned *p =
			&g_array_index(s->plan, struct soak_planned, i);

		if (overlaps(&item, p) && !may_overlap(&item, p))
			return 0;
	}
	if (!is_vm_left(s, &item))
		return 0;
	g_array_append_val(s->plan, item);
	return 1;
}

/* Draws a fault. Half of the upstreams that go away do so as a VM is paused,
 * stopped or killed, which then knows less than the others. */
static void plan_next(struct soak *s, int64_t begin_ms)
{
	static const enum soak_kind beside[] = {SOAK_PAUSE, SOAK_PAUSE,
						SOAK_TERM, SOAK_KILL};
	enum soak_kind kind = g_rand_int_range(s->random, 0, SOAK_KINDS);

	if (!plan_fault(s, kind, begin_ms) ||
	    soak_kinds[kind].subject != SOAK_UPSTREAM ||
	    g_rand_boolean(s->random))
		return;
	plan_fault(s,
		   beside[g_rand_int_range(s->random, 0, G_N_ELEMENTS(beside))],
		   begin_ms);
}

void soak_plan(struct soak *s)
{
	int64_t end_ms = s->options.duration_s * (int64_t)1000;
	int64_t at_ms = START_MS;
	int burst = 0;

	while (at_ms < end_ms) {
		plan_next(s, at_ms);
		if (!burst && !g_rand_int_range(s->random, 0, BURST_ONE_IN))
			burst = BURST_FAULTS;
		at_ms += g_rand_int_range(s->random, 0,
					  burst ? BURST_PAUSE_MAX_MS
						: PAUSE_MAX_MS);
		burst -= burst > 0;
	}
}

char *soak_format_plan(const struct soak *s)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < s->plan->len; i++) {
		const struct soak_planned *p =
			&g_array_index(s->plan, struct soak_planned, i);

		g_string_append_printf(text, "%6lld ms: %s %d for %lld ms\n",
				       (long long)p->begin_ms,
				       soak_kinds[p->kind].name, p->subject,
				       (long long)(p->end_ms - p->begin_ms));
	}
	return g_string_free(text, FALSE);
}
