#include <primroselead/usage_aggregator.h>

#define PERMILLE 1000

/* Time in ms without a report after which the part of a VM is withheld: it is
 * about to use it by itself. */
#define COVERED_MS 800

/* Time in ms for which the coverage is not counted again. */
#define COVERAGE_MAX_AGE_MS 50

/* Time in ms after its first report in which an aggregator does not know what
 * was taken of the limits that nobody has reported on. */
#define UNKNOWN_MS 5000

/* Time in ms without a report after which a VM or a limit is forgotten. */
#define FORGET_MS 60000

static void limit_free(void *p)
{
	struct usage_limit *l = p;

	g_hash_table_destroy(l->counts);
	g_free(l);
}

static GHashTable *new_table(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				     free_value);
}

static void insert(GHashTable *table, uint64_t id, void *value)
{
	g_hash_table_insert(table, g_memdup2(&id, sizeof(id)), value);
}

void usage_aggregator_init(struct usage_aggregator *a)
{
	*a = (struct usage_aggregator){
		.limits = new_table(limit_free),
		.vms = new_table(g_free),
	};
}

void usage_aggregator_finish(struct usage_aggregator *a)
{
	g_hash_table_destroy(a->limits);
	g_hash_table_destroy(a->vms);
}

static int is_heard(const struct usage_vm *vm, int64_t now_ms)
{
	return vm->heard_ms && now_ms - vm->heard_ms <= USAGE_HEARD_MS;
}

int usage_vm_is_counted(const struct usage_vm *vm, int64_t now_ms)
{
	return now_ms >= vm->counted_ms;
}

static int is_covered(const struct usage_vm *vm, int64_t now_ms)
{
	return usage_vm_is_counted(vm, now_ms) && vm->heard_ms &&
	       now_ms - vm->heard_ms <= COVERED_MS;
}

static void count_heard(struct usage_aggregator *a, int vms, int64_t now_ms)
{
	GHashTableIter it;
	void *value;

	a->coverage.vms = vms;
	if (now_ms - a->covered_ms < COVERAGE_MAX_AGE_MS)
		return;
	a->covered_ms = now_ms;
	a->coverage.heard = 0;
	g_hash_table_iter_init(&it, a->vms);
	while (g_hash_table_iter_next(&it, NULL, &value))
		a->coverage.heard += is_covered(value, now_ms);
}

/* Nothing is known of what was taken while no VM reported to this one. */
static void note_report(struct usage_aggregator *a, int64_t now_ms)
{
	if (now_ms - a->last_report_ms > USAGE_HEARD_MS) {
		g_hash_table_remove_all(a->limits);
		a->since_ms = now_ms;
	}
	a->last_report_ms = now_ms;
}

static struct usage_vm *get_vm(struct usage_aggregator *a, uint64_t id)
{
	struct usage_vm *vm = g_hash_table_lookup(a->vms, &id);

	if (vm)
		return vm;
	vm = g_new0(struct usage_vm, 1);
	insert(a->vms, id, vm);
	return vm;
}

struct usage_vm *usage_aggregator_hear(struct usage_aggregator *a,
				       const struct usage_sender *from, int vms,
				       int64_t now_ms)
{
	struct usage_vm *vm = get_vm(a, from->vm);

	if (vm->series == from->series &&
	    (int32_t)(from->sequence - vm->sequence) < 0)
		return NULL;
	note_report(a, now_ms);
	if (vm->series != from->series || !is_heard(vm, now_ms)) {
		vm->period++;
		vm->counted_ms = now_ms + USAGE_HEARD_MS;
	}
	vm->series = from->series;
	vm->sequence = from->sequence;
	vm->heard_ms = now_ms;
	count_heard(a, vms, now_ms);
	return vm;
}

static struct usage_limit *get_limit(struct usage_aggregator *a, uint64_t id,
				     const struct usage_rule *rule,
				     int64_t now_ms)
{
	struct usage_limit *l = g_hash_table_lookup(a->limits, &id);

	if (l)
		return l;
	l = g_new0(struct usage_limit, 1);
	l->id = id;
	l->counts = new_table(g_free);
	usage_total_init(&l->total, &rule->terms, a->since_ms + rule->window_ms,
			 now_ms);
	if (now_ms >= a->since_ms + rule->window_ms)
		l->full_ms = now_ms;
	insert(a->limits, id, l);
	return l;
}

/* What a VM takes of its own part before it is counted is withheld for it,
 * unless the limit was taken to be unused by all that are counted. */
static struct limit_usage first_counts(const struct usage_limit *l,
				       const struct usage_vm *vm,
				       const struct usage_counts *counts)
{
	int64_t taken = counts->unconfirmed;

	if (l->full_ms && vm->counted_ms <= l->full_ms)
		taken += counts->spent;
	return (struct limit_usage){.taken = taken, .asked = taken};
}

static struct limit_usage subtract(const struct usage_counts *counts,
				   const struct usage_counts *known)
{
	return (struct limit_usage){
		.taken = (int32_t)(counts->taken - known->taken),
		.asked = (int32_t)(counts->asked - known->asked),
		.deposits = (int32_t)(counts->deposits - known->deposits),
	};
}

static struct limit_usage replace_counts(struct usage_limit *l, uint64_t id,
					 const struct usage_vm *vm,
					 const struct usage_counts *counts,
					 int64_t now_ms)
{
	struct usage_counts *known = g_hash_table_lookup(l->counts, &id);
	struct usage_counts now = *counts;
	struct limit_usage since = {0};

	now.period = vm->period;
	now.is_counted = usage_vm_is_counted(vm, now_ms);
	if (!known) {
		known = g_new0(struct usage_counts, 1);
		insert(l->counts, id, known);
	}
	if (now.is_counted && known->is_counted && known->period == now.period)
		since = subtract(&now, known);
	else if (now.is_counted)
		since = first_counts(l, vm, &now);
	*known = now;
	return since;
}

struct limit_answer usage_aggregator_add(struct usage_aggregator *a,
					 uint64_t limit,
					 const struct usage_rule *rule,
					 const struct usage_sender *from,
					 const struct usage_counts *counts,
					 struct limit_usage *since,
					 int64_t now_ms)
{
	const struct usage_vm *vm = g_hash_table_lookup(a->vms, &from->vm);
	struct usage_limit *l;

	*since = (struct limit_usage){0};
	/* While no VM is counted there is nothing to share. */
	if (!a->coverage.heard)
		return (struct limit_answer){0};
	l = get_limit(a, limit, rule, now_ms);
	usage_total_set_terms(&l->total, &rule->terms);
	usage_total_advance(&l->total, &a->coverage, now_ms);
	*since = replace_counts(l, from->vm, vm, counts, now_ms);
	usage_total_add(&l->total, since, now_ms);
	l->reported_ms = now_ms;
	return usage_total_answer(&l->total, &a->coverage, now_ms);
}

int usage_aggregator_list_low(struct usage_aggregator *a,
			      uint64_t out[USAGE_LOW_MAX], int64_t now_ms)
{
	GHashTableIter it;
	void *value;
	int n = 0;

	if (now_ms - a->since_ms < UNKNOWN_MS)
		return USAGE_ALL_LOW;
	g_hash_table_iter_init(&it, a->limits);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct usage_limit *l = value;

		usage_total_advance(&l->total, &a->coverage, now_ms);
		if (!l->total.is_low)
			continue;
		if (n < USAGE_LOW_MAX)
			out[n] = l->id;
		n++;
	}
	return n;
}

int usage_aggregator_heard_permille(const struct usage_aggregator *a)
{
	const struct usage_coverage *c = &a->coverage;

	if (c->heard >= c->vms)
		return PERMILLE;
	return PERMILLE * c->heard / c->vms;
}

static int is_old_vm(void *key, void *value, void *ctx)
{
	const struct usage_vm *vm = value;
	const int64_t *now_ms = ctx;

	(void)key;
	return *now_ms - vm->heard_ms > FORGET_MS;
}

static int is_old_limit(void *key, void *value, void *ctx)
{
	const struct usage_limit *l = value;
	const int64_t *now_ms = ctx;

	(void)key;
	return *now_ms - l->reported_ms > FORGET_MS;
}

void usage_aggregator_forget(struct usage_aggregator *a, int64_t now_ms)
{
	g_hash_table_foreach_remove(a->vms, is_old_vm, &now_ms);
	g_hash_table_foreach_remove(a->limits, is_old_limit, &now_ms);
}
