#include "internal.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <string.h>

/* Other VMs asked to probe one that did not answer. */
#define INDIRECT_COUNT 3

static void shuffle(struct member_table *m, uint64_t random)
{
	m->norder = 0;
	m->next = 0;
	for (int i = 1; i < m->n; i++)
		m->order[m->norder++] = i;
	for (int i = m->norder - 1; i > 0; i--) {
		uint64_t r = prl_hash_pair(random, (uint64_t)i);
		int k = (int)(r % (uint64_t)(i + 1));
		int swap = m->order[i];

		m->order[i] = m->order[k];
		m->order[k] = swap;
	}
}

/* One that this VM suspects is asked again at once: most often only datagrams
 * were lost. */
static int doubted_target(struct member_table *m)
{
	int i = m->doubted;

	m->doubted = -1;
	if (i < 0 || m->peer[i].vm.state != MEMBER_SUSPECT)
		return -1;
	return i;
}

static int next_target(struct member_table *m, uint64_t random)
{
	int again = doubted_target(m);

	if (again >= 0)
		return again;
	for (int tries = 0; tries < 2; tries++) {
		while (m->next < m->norder) {
			int i = m->order[m->next++];

			if (i < m->n && m->peer[i].vm.state != MEMBER_DEAD)
				return i;
		}
		shuffle(m, random);
	}
	return -1;
}

static void suspect(struct member_table *m, int i, int64_t now)
{
	struct member_peer *p = &m->peer[i];

	m->doubted = i;
	if (p->vm.state == MEMBER_DEAD || p->deadline != PRL_NEVER)
		return;
	p->deadline = now + m->options.suspect_ms;
	/* One that leaves stays so until it is given up. */
	if (p->vm.state == MEMBER_LIVE)
		p->vm.state = MEMBER_SUSPECT;
	member_changed(m, i, member_is_usable(p));
}

static void give_up(struct member_table *m, int64_t now)
{
	for (int i = 1; i < m->n; i++) {
		struct member_peer *p = &m->peer[i];
		int before = member_is_usable(p);

		if (p->deadline > now)
			continue;
		p->deadline = PRL_NEVER;
		p->vm.state = MEMBER_DEAD;
		member_changed(m, i, before);
	}
}

static int ask_others(struct member_table *m, uint64_t random,
		      struct member_out *out)
{
	const struct member_peer *target = &m->peer[m->target];
	int start = (int)(random % (uint64_t)m->n);
	int n = 0;

	for (int k = 0; k < m->n && n < INDIRECT_COUNT; k++) {
		int i = (start + k) % m->n;

		if (i == 0 || i == m->target ||
		    m->peer[i].vm.state == MEMBER_DEAD)
			continue;
		out[n].message = MEMBER_INDIRECT;
		out[n].sequence = m->sequence;
		memcpy(out[n].to, m->peer[i].vm.rpc, PRL_ADDRESS_MAX);
		memcpy(out[n].target, target->vm.rpc, PRL_ADDRESS_MAX);
		n++;
	}
	return n;
}

static int begin_probe(struct member_table *m, int64_t now, uint64_t random,
		       struct member_out *out)
{
	m->period_deadline = now + m->options.period_ms;
	m->ask_deadline = now + m->options.period_ms / 2;
	m->asked_others = 0;
	m->acked = 0;
	m->target = next_target(m, random);
	if (m->target < 0)
		return 0;
	m->sequence++;
	out->message = MEMBER_PROBE;
	out->sequence = m->sequence;
	memcpy(out->to, m->peer[m->target].vm.rpc, PRL_ADDRESS_MAX);
	out->target[0] = 0;
	return 1;
}

int member_tick(struct member_table *m, int64_t now, uint64_t random,
		struct member_out out[MEMBER_OUT_MAX])
{
	int waiting = m->target >= 0 && !m->acked;

	give_up(m, now);
	if (now >= m->period_deadline) {
		if (waiting)
			suspect(m, m->target, now);
		return begin_probe(m, now, random, out);
	}
	if (waiting && !m->asked_others && now >= m->ask_deadline) {
		m->asked_others = 1;
		return ask_others(m, random, out);
	}
	return 0;
}

int64_t member_due(const struct member_table *m)
{
	if (m->target >= 0 && !m->acked && !m->asked_others)
		return m->ask_deadline;
	return m->period_deadline;
}

void member_acked(struct member_table *m, int64_t sequence)
{
	if (sequence == m->sequence)
		m->acked = 1;
}

static int named(const struct member_vm *out, int n, const char *name)
{
	for (int i = 0; i < n; i++)
		if (!strcmp(out[i].name, name))
			return 1;
	return 0;
}

/* Fills the rest of a message, so that newcomers learn of everyone. */
static int add_random(const struct member_table *m, uint64_t random,
		      struct member_vm *out, int n)
{
	for (int k = 0; k < MEMBER_RUMORS_MAX && n < MEMBER_RUMORS_MAX; k++) {
		uint64_t r = prl_hash_pair(random, (uint64_t)k);
		int i = (int)(r % (uint64_t)m->n);

		if (!named(out, n, m->peer[i].vm.name))
			out[n++] = m->peer[i].vm;
	}
	return n;
}

static int add_receiver(const struct member_table *m, const char *to,
			struct member_vm *out)
{
	for (int i = 1; i < m->n; i++) {
		const struct member_vm *vm = &m->peer[i].vm;

		if (vm->state != MEMBER_SUSPECT && vm->state != MEMBER_DEAD)
			continue;
		if (strcmp(vm->rpc, to) != 0)
			continue;
		out[0] = *vm;
		return 1;
	}
	return 0;
}

int member_rumors(struct member_table *m, const char *to, uint64_t random,
		  struct member_vm out[MEMBER_RUMORS_MAX])
{
	int n = add_receiver(m, to, out);
	int kept = 0;

	/* The newest first; each is told a fixed number of times. */
	for (int k = m->nhot - 1; k >= 0 && n < MEMBER_RUMORS_MAX; k--) {
		struct member_peer *p = &m->peer[m->hot[k]];

		p->rumors_left--;
		if (!named(out, n, p->vm.name))
			out[n++] = p->vm;
	}
	for (int k = 0; k < m->nhot; k++)
		if (m->peer[m->hot[k]].rumors_left > 0)
			m->hot[kept++] = m->hot[k];
	m->nhot = kept;
	return add_random(m, random, out, n);
}
