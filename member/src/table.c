#include "internal.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <stdlib.h>
#include <string.h>

/* Number of messages that carry an update, per doubling of the fleet. */
#define TRANSMISSION_FACTOR 3

const char *member_state_name(enum member_state state)
{
	switch (state) {
	case MEMBER_LIVE:
		return "live";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_LEAVING:
		return "leaving";
	case MEMBER_DEAD:
		return "dead";
	}
	return "unknown";
}

static int transmission_count(int members)
{
	int doublings = 1;

	while (members > 1) {
		members /= 2;
		doublings++;
	}
	return TRANSMISSION_FACTOR * doublings;
}

static void queue_update(struct member_table *m, int i)
{
	m->peer[i].transmissions_left = transmission_count(m->npeer);
	for (int k = 0; k < m->nupdate; k++)
		if (m->update_queue[k] == i)
			return;
	if (m->nupdate == MEMBER_EVENTS_MAX) {
		memmove(m->update_queue, m->update_queue + 1,
			sizeof(m->update_queue[0]) * (MEMBER_EVENTS_MAX - 1));
		m->nupdate--;
	}
	m->update_queue[m->nupdate++] = i;
}

struct member_event *member_record_change(struct member_table *m, int i,
					  int was_usable)
{
	const struct member_vm *vm = &m->peer[i].vm;
	struct member_event *e;

	queue_update(m, i);
	if (was_usable != member_is_usable(&m->peer[i]))
		m->usable_changes++;
	if (m->nevent == MEMBER_EVENTS_MAX)
		return NULL;
	e = &m->event[m->nevent++];
	memset(e, 0, sizeof(*e));
	memcpy(e->name, vm->name, sizeof(e->name));
	e->state = vm->state;
	e->incarnation = vm->incarnation;
	return e;
}

int member_pop_event(struct member_table *m, struct member_event *out)
{
	if (!m->nevent)
		return 0;
	*out = m->event[0];
	m->nevent--;
	memmove(m->event, m->event + 1, (size_t)m->nevent * sizeof(*out));
	return 1;
}

static enum prl_code grow_peers(struct member_table *m)
{
	int capacity = m->peer_alloc ? m->peer_alloc * 2 : 16;
	struct member_peer *peer;
	int *order;

	peer = realloc(m->peer, (size_t)capacity * sizeof(*peer));
	if (!peer)
		return PRL_E_MEMORY;
	m->peer = peer;
	order = realloc(m->probe_order, (size_t)capacity * sizeof(*order));
	if (!order)
		return PRL_E_MEMORY;
	m->probe_order = order;
	m->peer_alloc = capacity;
	return PRL_OK;
}

static enum prl_code add_peer(struct member_table *m,
			      const struct member_vm *vm)
{
	struct member_peer *p;

	if (m->npeer == m->peer_alloc && grow_peers(m))
		return PRL_E_MEMORY;
	p = &m->peer[m->npeer];
	memset(p, 0, sizeof(*p));
	p->vm = *vm;
	p->id = prl_hash_string(vm->name);
	p->suspect_until_ms = PRL_NEVER;
	g_hash_table_insert(m->by_name, g_strdup(vm->name),
			    GINT_TO_POINTER(m->npeer + 1));
	m->npeer++;
	member_record_change(m, m->npeer - 1, 0);
	return PRL_OK;
}

enum prl_code member_init(struct member_table *m, const struct member_vm *self,
			  const struct member_options *o, struct prl_error *err)
{
	memset(m, 0, sizeof(*m));
	m->options = *o;
	m->probe_target = -1;
	m->retry_target = -1;
	m->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (add_peer(m, self))
		return prl_error_set(err, PRL_E_MEMORY,
				     "membership table: out of memory");
	return PRL_OK;
}

void member_finish(struct member_table *m)
{
	g_hash_table_destroy(m->by_name);
	free(m->peer);
	free(m->probe_order);
}

static int index_of(const struct member_table *m, const char *name)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(m->by_name, name)) - 1;
}

const struct member_peer *member_find(const struct member_table *m,
				      const char *name)
{
	int i = index_of(m, name);

	return i < 0 ? NULL : &m->peer[i];
}

int member_has_address(const struct member_table *m, const char *rpc)
{
	for (int i = 1; i < m->npeer; i++)
		if (m->peer[i].vm.state != MEMBER_DEAD &&
		    !strcmp(m->peer[i].vm.rpc, rpc))
			return 1;
	return 0;
}

/* Handles another VM's update of this VM's own state. A state worse than the
 * real one is refuted by raising the incarnation above the update's. */
static void apply_update_of_self(struct member_table *m,
				 const struct member_vm *vm)
{
	struct member_vm *self = &m->peer[0].vm;
	struct member_event *e;

	if (vm->incarnation < self->incarnation || vm->state <= self->state)
		return;
	self->incarnation = vm->incarnation + 1;
	e = member_record_change(m, 0, 1);
	if (vm->state != MEMBER_DEAD)
		return;
	m->refuted_deaths++;
	if (e)
		e->refuted_death = 1;
}

static int is_superseded_by(const struct member_vm *known,
			    const struct member_vm *update)
{
	if (update->incarnation != known->incarnation)
		return update->incarnation > known->incarnation;
	return update->state > known->state;
}

enum prl_code member_apply_update(struct member_table *m,
				  const struct member_vm *vm, int64_t now)
{
	int i = index_of(m, vm->name);
	struct member_peer *p;
	int was_usable;

	if (i == 0) {
		apply_update_of_self(m, vm);
		return PRL_OK;
	}
	if (i < 0) {
		/* An unknown dead member needs no entry. */
		if (vm->state == MEMBER_DEAD)
			return PRL_OK;
		if (add_peer(m, vm))
			return PRL_E_MEMORY;
		i = m->npeer - 1;
	} else {
		if (!is_superseded_by(&m->peer[i].vm, vm))
			return PRL_OK;
		was_usable = member_is_usable(&m->peer[i]);
		m->peer[i].vm = *vm;
		member_record_change(m, i, was_usable);
	}
	p = &m->peer[i];
	p->suspect_until_ms = PRL_NEVER;
	if (vm->state == MEMBER_SUSPECT)
		p->suspect_until_ms = now + m->options.suspicion_timeout_ms;
	return PRL_OK;
}

void member_leave(struct member_table *m)
{
	if (m->peer[0].vm.state == MEMBER_LEAVING)
		return;
	m->peer[0].vm.state = MEMBER_LEAVING;
	member_record_change(m, 0, 1);
}

/* Updates the stored indexes after peer "to" was removed and the last peer,
 * "from", took its place. */
static void remap_peer_index(struct member_table *m, int from, int to)
{
	int kept = 0;

	for (int k = 0; k < m->nupdate; k++) {
		if (m->update_queue[k] == to)
			continue;
		m->update_queue[kept++] =
			m->update_queue[k] == from ? to : m->update_queue[k];
	}
	m->nupdate = kept;
	/* The probe order holds indexes of peers that have moved, so a new
	 * round begins. */
	m->nprobe_order = 0;
	m->next_in_order = 0;
	m->probe_target = -1;
	m->retry_target = -1;
}

void member_remove(struct member_table *m, const char *name)
{
	int i = index_of(m, name);
	int last = m->npeer - 1;

	if (i <= 0)
		return;
	g_hash_table_remove(m->by_name, name);
	if (i != last) {
		m->peer[i] = m->peer[last];
		g_hash_table_replace(m->by_name, g_strdup(m->peer[i].vm.name),
				     GINT_TO_POINTER(i + 1));
	}
	remap_peer_index(m, last, i);
	m->npeer--;
	m->usable_changes++;
}
