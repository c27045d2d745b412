#include "internal.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <string.h>

/* Number of VMs that are asked to probe a VM that did not answer directly. */
#define INDIRECT_PROBES 3

static void shuffle_probe_order(struct member_table *m, uint64_t random)
{
	m->nprobe_order = 0;
	m->next_in_order = 0;
	for (int i = 1; i < m->npeer; i++)
		m->probe_order[m->nprobe_order++] = i;
	for (int i = m->nprobe_order - 1; i > 0; i--) {
		uint64_t r = prl_hash_combine(random, (uint64_t)i);
		int k = (int)(r % (uint64_t)(i + 1));
		int swap = m->probe_order[i];

		m->probe_order[i] = m->probe_order[k];
		m->probe_order[k] = swap;
	}
}

/* A peer that this VM has just suspected is probed again in the next period:
 * most often only datagrams were lost. Returns -1 if there is none. */
static int take_retry_target(struct member_table *m)
{
	int i = m->retry_target;

	m->retry_target = -1;
	if (i < 0 || m->peer[i].vm.state != MEMBER_SUSPECT)
		return -1;
	return i;
}

static int choose_target(struct member_table *m, uint64_t random)
{
	int again = take_retry_target(m);

	if (again >= 0)
		return again;
	for (int tries = 0; tries < 2; tries++) {
		while (m->next_in_order < m->nprobe_order) {
			int i = m->probe_order[m->next_in_order++];

			if (i < m->npeer && m->peer[i].vm.state != MEMBER_DEAD)
				return i;
		}
		shuffle_probe_order(m, random);
	}
	return -1;
}

static void suspect(struct member_table *m, int i, int64_t now)
{
	struct member_peer *p = &m->peer[i];

	m->retry_target = i;
	if (p->vm.state == MEMBER_DEAD || p->suspect_until_ms != PRL_NEVER)
		return;
	p->suspect_until_ms = now + m->options.suspicion_timeout_ms;
	/* A leaving peer stays in that state until it is declared dead. */
	if (p->vm.state == MEMBER_LIVE)
		p->vm.state = MEMBER_SUSPECT;
	member_record_change(m, i, member_is_usable(p));
}

static void expire_suspicions(struct member_table *m, int64_t now)
{
	for (int i = 1; i < m->npeer; i++) {
		struct member_peer *p = &m->peer[i];
		int was_usable = member_is_usable(p);

		if (p->suspect_until_ms > now)
			continue;
		p->suspect_until_ms = PRL_NEVER;
		p->vm.state = MEMBER_DEAD;
		member_record_change(m, i, was_usable);
	}
}

static int request_indirect_probes(struct member_table *m, uint64_t random,
				   struct member_probe *out)
{
	const struct member_peer *target = &m->peer[m->probe_target];
	int start = (int)(random % (uint64_t)m->npeer);
	int n = 0;

	for (int k = 0; k < m->npeer && n < INDIRECT_PROBES; k++) {
		int i = (start + k) % m->npeer;

		if (i == 0 || i == m->probe_target ||
		    m->peer[i].vm.state == MEMBER_DEAD)
			continue;
		out[n].kind = MEMBER_PROBE_INDIRECT;
		out[n].sequence = m->probe_sequence;
		memcpy(out[n].to, m->peer[i].vm.rpc, PRL_ADDRESS_MAX);
		memcpy(out[n].target, target->vm.rpc, PRL_ADDRESS_MAX);
		n++;
	}
	return n;
}

static int start_period(struct member_table *m, int64_t now, uint64_t random,
			struct member_probe *out)
{
	m->period_end_ms = now + m->options.probe_period_ms;
	m->indirect_due_ms = now + m->options.probe_period_ms / 2;
	m->indirect_sent = 0;
	m->probe_acked = 0;
	m->probe_target = choose_target(m, random);
	if (m->probe_target < 0)
		return 0;
	m->probe_sequence++;
	out->kind = MEMBER_PROBE_DIRECT;
	out->sequence = m->probe_sequence;
	memcpy(out->to, m->peer[m->probe_target].vm.rpc, PRL_ADDRESS_MAX);
	out->target[0] = 0;
	return 1;
}

int member_tick(struct member_table *m, int64_t now, uint64_t random,
		struct member_probe out[MEMBER_PROBES_MAX])
{
	int waiting = m->probe_target >= 0 && !m->probe_acked;

	expire_suspicions(m, now);
	if (now >= m->period_end_ms) {
		if (waiting)
			suspect(m, m->probe_target, now);
		return start_period(m, now, random, out);
	}
	if (waiting && !m->indirect_sent && now >= m->indirect_due_ms) {
		m->indirect_sent = 1;
		return request_indirect_probes(m, random, out);
	}
	return 0;
}

int64_t member_next_tick_ms(const struct member_table *m)
{
	if (m->probe_target >= 0 && !m->probe_acked && !m->indirect_sent)
		return m->indirect_due_ms;
	return m->period_end_ms;
}

void member_handle_ack(struct member_table *m, int64_t sequence)
{
	if (sequence == m->probe_sequence)
		m->probe_acked = 1;
}

static int contains_vm(const struct member_vm *out, int n, const char *name)
{
	for (int i = 0; i < n; i++)
		if (!strcmp(out[i].name, name))
			return 1;
	return 0;
}

/* Fills the rest of a message with random members, so that a VM that has just
 * joined learns of all of them. */
static int add_random_peers(const struct member_table *m, uint64_t random,
			    struct member_vm *out, int n)
{
	for (int k = 0; k < MEMBER_UPDATES_MAX && n < MEMBER_UPDATES_MAX; k++) {
		uint64_t r = prl_hash_combine(random, (uint64_t)k);
		int i = (int)(r % (uint64_t)m->npeer);

		if (!contains_vm(out, n, m->peer[i].vm.name))
			out[n++] = m->peer[i].vm;
	}
	return n;
}

static int add_receiver_state(const struct member_table *m, const char *to,
			      struct member_vm *out)
{
	for (int i = 1; i < m->npeer; i++) {
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

int member_select_updates(struct member_table *m, const char *to,
			  uint64_t random,
			  struct member_vm out[MEMBER_UPDATES_MAX])
{
	int n = add_receiver_state(m, to, out);
	int kept = 0;

	/* Newest first; each update is sent "transmissions_left" times. */
	for (int k = m->nupdate - 1; k >= 0 && n < MEMBER_UPDATES_MAX; k--) {
		struct member_peer *p = &m->peer[m->update_queue[k]];

		p->transmissions_left--;
		if (!contains_vm(out, n, p->vm.name))
			out[n++] = p->vm;
	}
	for (int k = 0; k < m->nupdate; k++)
		if (m->peer[m->update_queue[k]].transmissions_left > 0)
			m->update_queue[kept++] = m->update_queue[k];
	m->nupdate = kept;
	return add_random_peers(m, random, out, n);
}
