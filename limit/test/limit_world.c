#include "limit_world.h"
#include <string.h>

#define TICK_MS 50
#define HEARTBEAT_MS 500
#define RESEND_MS 200

/* Time in ms without an answer after which the next aggregator is asked. */
#define SILENCE_MS 1000

#define AGGREGATORS 4

/* SplitMix64. */
unsigned int world_random(struct world *w, unsigned int n)
{
	uint64_t z = w->seed += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return (unsigned int)((z ^ (z >> 31)) % n);
}

static int happens(struct world *w, int permille)
{
	return (int)world_random(w, 1000) < permille;
}

void world_init(struct world *w)
{
	w->messages = g_array_new(FALSE, FALSE, sizeof(struct world_message));
	w->now_ms = 1;
	for (int i = 0; i < w->nvm; i++)
		usage_aggregator_init(&w->vm[i].aggregator);
}

void world_finish(struct world *w)
{
	g_array_free(w->messages, TRUE);
	for (int i = 0; i < w->nvm; i++)
		usage_aggregator_finish(&w->vm[i].aggregator);
}

void world_start(struct world *w, int i)
{
	struct world_vm *vm = &w->vm[i];
	int side = vm->side;

	usage_aggregator_finish(&vm->aggregator);
	memset(vm, 0, sizeof(*vm));
	usage_aggregator_init(&vm->aggregator);
	vm->side = side;
	vm->is_running = 1;
	vm->series = 1 + world_random(w, 1 << 20);
	vm->heartbeat_ms = w->now_ms + world_random(w, HEARTBEAT_MS);
	limit_follower_set_terms(&vm->follower, &w->terms);
}

void world_stop(struct world *w, int i)
{
	w->vm[i].is_running = 0;
}

void world_ask(struct world *w, int i, int n)
{
	int64_t step = w->now_ms / WORLD_STEP_MS;

	if (!w->vm[i].is_running)
		return;
	for (; n; n--) {
		w->asked[step]++;
		w->taken[step] += shared_limit_take(&w->vm[i].limit);
	}
}

void world_deposit(struct world *w, int i, int n)
{
	if (!w->vm[i].is_running)
		return;
	w->deposits[w->now_ms / WORLD_STEP_MS] += n;
	for (; n; n--)
		shared_limit_deposit(&w->vm[i].limit);
}

static void send_message(struct world *w, struct world_message *m)
{
	w->sent++;
	w->sent_counts += m->has_counts;
	if (happens(w, w->loss_permille) ||
	    w->vm[m->from].side != w->vm[m->to].side)
		return;
	m->due_ms = w->now_ms + WORLD_STEP_MS +
		    world_random(w, (unsigned int)w->delay_max_ms);
	g_array_append_val(w->messages, *m);
	if (!happens(w, w->duplicate_permille))
		return;
	m->due_ms += world_random(w, 1000);
	g_array_append_val(w->messages, *m);
}

static void handle_question(struct world *w, struct world_message *m)
{
	struct usage_aggregator *a = &w->vm[m->to].aggregator;
	struct usage_rule rule = {.terms = w->terms, .window_ms = w->window_ms};
	struct usage_counts counts = {
		.taken = (uint32_t)m->report.usage.taken,
		.asked = (uint32_t)m->report.usage.asked,
		.deposits = (uint32_t)m->report.usage.deposits,
		.unconfirmed = (uint32_t)m->report.unconfirmed,
		.spent = (uint32_t)m->report.spent,
	};
	struct world_message answer = *m;
	struct limit_usage since;
	uint64_t low[USAGE_LOW_MAX];
	const struct usage_vm *vm;

	vm = usage_aggregator_hear(a, &m->sender, w->nvm, w->now_ms);
	if (!vm)
		return;
	answer.heard_permille = usage_aggregator_heard_permille(a);
	answer.is_counted = usage_vm_is_counted(vm, w->now_ms);
	if (m->has_counts)
		answer.answer = usage_aggregator_add(
			a, 1, &rule, &m->sender, &counts, &since, w->now_ms);
	answer.is_answer = 1;
	answer.from = m->to;
	answer.to = m->from;
	answer.is_low = usage_aggregator_list_low(a, low, w->now_ms) > 0;
	send_message(w, &answer);
}

static void handle_answer(struct world *w, struct world_message *m)
{
	struct world_vm *vm = &w->vm[m->to];

	if (m->sender.series != vm->series || m->from != vm->aggregator_vm)
		return;
	vm->heard_ms = w->now_ms;
	vm->heartbeat_ms =
		MAX(vm->heartbeat_ms, m->report.sent_ms + HEARTBEAT_MS);
	if (!m->is_counted)
		return;
	if (!vm->answered_ms || w->now_ms - vm->answered_ms > USAGE_RELIED_MS)
		limit_follower_rejoin(&vm->follower);
	if (m->report.sent_ms > vm->answered_ms) {
		vm->answered_ms = m->report.sent_ms;
		vm->is_low = m->is_low;
		vm->heard_permille = m->heard_permille;
	}
	if (m->has_counts)
		limit_follower_handle_answer(&vm->follower, &m->report,
					     &m->answer);
}

static void deliver(struct world *w)
{
	for (guint i = 0; i < w->messages->len;) {
		struct world_message m =
			g_array_index(w->messages, struct world_message, i);

		if (m.due_ms > w->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(w->messages, i);
		if (!w->vm[m.to].is_running)
			continue;
		if (m.is_answer)
			handle_answer(w, &m);
		else
			handle_question(w, &m);
	}
}

static void choose_aggregator(struct world *w, struct world_vm *vm)
{
	int64_t last = MAX(vm->heard_ms, vm->asked_aggregator_ms);

	if (!vm->asked_aggregator_ms)
		vm->asked_aggregator_ms = w->now_ms;
	if (!last || w->now_ms - last <= SILENCE_MS)
		return;
	vm->aggregator_vm = (vm->aggregator_vm + 1) % MIN(AGGREGATORS, w->nvm);
	vm->asked_aggregator_ms = w->now_ms;
}

static void tick(struct world *w, int i)
{
	struct world_vm *vm = &w->vm[i];
	struct world_message m = {.from = i};
	struct limit_fleet fleet = {
		.now_ms = w->now_ms,
		.vms = w->nvm,
		.answered_ms = vm->answered_ms,
		.is_low = vm->is_low,
		.heard_permille = vm->heard_permille,
		.random = vm->series,
	};

	choose_aggregator(w, vm);
	limit_follower_update(&vm->follower, &vm->limit, &fleet);
	m.to = vm->aggregator_vm;
	m.has_counts = limit_follower_must_report(&vm->follower, &vm->limit,
						  w->now_ms);
	if (!m.has_counts && w->now_ms < vm->heartbeat_ms)
		return;
	vm->heartbeat_ms = w->now_ms + RESEND_MS;
	m.sender = (struct usage_sender){(uint64_t)i + 1, vm->series,
					 ++vm->sequence};
	m.report.sent_ms = w->now_ms;
	if (m.has_counts)
		m.report = limit_follower_report(&vm->follower, &vm->limit,
						 w->now_ms);
	send_message(w, &m);
}

void world_step(struct world *w)
{
	w->now_ms += WORLD_STEP_MS;
	deliver(w);
	for (int i = 0; i < w->nvm; i++)
		if (w->vm[i].is_running && (w->now_ms / WORLD_STEP_MS +
					    i) % (TICK_MS / WORLD_STEP_MS) ==
						   0)
			tick(w, i);
}

int64_t world_sum(const int *steps, int64_t from_ms, int64_t to_ms)
{
	int64_t sum = 0;

	for (int64_t s = from_ms / WORLD_STEP_MS; s < to_ms / WORLD_STEP_MS;
	     s++)
		sum += steps[s];
	return sum;
}
