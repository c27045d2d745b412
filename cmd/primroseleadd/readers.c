#include "control.h"
#include "tree.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <string.h>

/* Interval between two beats of one VM, in ms. */
#define BEAT_INTERVAL_MS 400

/* Time in ms without a tick after which the VM stood still. */
#define STANDSTILL_MS 500

/* Standbys for each reader. */
#define STANDBYS_PER_READER 2

static int readers_max(const struct control *c)
{
	return (int)c->settings->control.readers;
}

static int positions_max(const struct control *c)
{
	return readers_max(c) * (1 + STANDBYS_PER_READER);
}

static int position_of(const struct control *c, int peer)
{
	return member_spread_rank(&c->members, peer, prl_hash_string("readers"),
				  positions_max(c));
}

static enum spread_role role_of(const struct control *c, int position)
{
	if (position < readers_max(c))
		return SPREAD_READER;
	return position < positions_max(c) ? SPREAD_STANDBY : SPREAD_LEARNER;
}

const char *readers_role_name(const struct control *c)
{
	switch (c->readers.role) {
	case SPREAD_READER:
		return "reader";
	case SPREAD_STANDBY:
		return "standby";
	case SPREAD_LEARNER:
		return "learner";
	}
	return "unknown";
}

void readers_init(struct control *c)
{
	struct readers *rd = &c->readers;

	rd->role = SPREAD_READER;
	rd->reading = 1;
	rd->domains = g_ptr_array_new_with_free_func(g_free);
	rd->changed = g_ptr_array_new_with_free_func(g_free);
}

void readers_finish(struct control *c)
{
	g_ptr_array_free(c->readers.domains, TRUE);
	g_ptr_array_free(c->readers.changed, TRUE);
}

static void list_domains(struct control *c)
{
	GPtrArray *domains = c->readers.domains;

	g_ptr_array_set_size(domains, 0);
	for (int i = 0; i < c->members.npeer; i++) {
		const struct member_peer *p = &c->members.peer[i];

		if (member_is_usable(p) &&
		    !g_ptr_array_find_with_equal_func(domains, p->vm.domain,
						      g_str_equal, NULL))
			g_ptr_array_add(domains, g_strdup(p->vm.domain));
	}
}

void readers_members_changed(struct control *c)
{
	struct readers *rd = &c->readers;

	list_domains(c);
	rd->position = position_of(c, 0);
	rd->role = role_of(c, rd->position);
}

int readers_reads_store(const struct control *c, int64_t now)
{
	return !c->source.ready ||
	       spread_must_read(&c->readers.beats, c->readers.role,
				source_confirmed_ms(c), now);
}

void readers_note_change(struct control *c, const char *key)
{
	/* The first list is of no use to others. */
	if (!c->source.ready || c->readers.role == SPREAD_LEARNER)
		return;
	g_ptr_array_add(c->readers.changed, g_strdup(key));
	c->tick_timer.deadline_ms = prl_now_ms();
}

static uint64_t topic_of(const char *origin, int64_t sequence)
{
	return prl_hash_combine(prl_hash_string(origin), (uint64_t)sequence);
}

/* Greater than all before, also after a restart. */
static int64_t next_sequence(struct control *c)
{
	c->readers.sequence = MAX(c->readers.sequence + 1, prl_wall_ms());
	return c->readers.sequence;
}

static void send_to_fleet(struct control *c, uint64_t topic,
			  const struct wire_args *args,
			  enum tree_delivery delivery)
{
	const GPtrArray *domains = c->readers.domains;

	for (guint i = 0; i < domains->len; i++)
		tree_send_to_root(c, domains->pdata[i], topic, args, delivery);
	tree_send_to_children(c, topic, args, delivery);
}

static void push_objects(struct control *c,
			 const struct spread_object *const *from, guint n)
{
	static struct wire_object object[WIRE_OBJECTS];
	struct wire_args args = {.proc = WIRE_CHANGES};
	struct wire_changes *out = &args.u.changes;

	while (n) {
		guint filled;
		guint sent = sync_fill_objects(object, from, n, &filled);

		out->origin = (char *)c->settings->vm.name;
		out->sequence = next_sequence(c);
		out->object.object_val = object;
		out->object.object_len = filled;
		send_to_fleet(c, topic_of(out->origin, out->sequence), &args,
			      TREE_ACKNOWLEDGED);
		from += sent;
		n -= sent;
	}
}

static void push_changes(struct control *c)
{
	GPtrArray *keys = c->readers.changed;
	GPtrArray *objects = g_ptr_array_new();

	for (guint i = 0; i < keys->len; i++) {
		const struct spread_object *o =
			spread_find(&c->sync.replica, keys->pdata[i]);

		if (o)
			g_ptr_array_add(objects, (void *)o);
	}
	push_objects(c, (void *)objects->pdata, objects->len);
	g_ptr_array_free(objects, TRUE);
	g_ptr_array_set_size(keys, 0);
}

static void send_beat(struct control *c, int64_t confirmed_ms, int64_t now)
{
	struct wire_args args = {.proc = WIRE_BEAT};
	struct wire_beat *b = &args.u.beat;

	b->origin = (char *)c->settings->vm.name;
	b->sequence = next_sequence(c);
	b->complete = c->sync.replica.complete_revision;
	b->live_sum = c->sync.replica.live_digest;
	b->age_ms = (int)(now - confirmed_ms);
	send_to_fleet(c, topic_of(b->origin, b->sequence), &args, TREE_ONCE);
}

static void log_reading(const struct control *c, int64_t now)
{
	const struct readers *rd = &c->readers;
	int64_t confirmed_ms = source_confirmed_ms(c);
	char age[LOG_NUMBER_MAX];

	log_format_number(age, confirmed_ms ? now - confirmed_ms : -1);
	log_event(LOG_LEVEL_AUDIT, "store_reading", "state",
		  rd->reading ? "on" : "off", "role", readers_role_name(c),
		  "confirmed_ms_ago", age, NULL);
}

/* Beats heard before a standstill say nothing about now. */
static void notice_standstill(struct control *c, int64_t now)
{
	struct readers *rd = &c->readers;

	if (now - rd->last_tick_ms > STANDSTILL_MS)
		spread_forget_beats(&rd->beats, now);
	rd->last_tick_ms = now;
}

static void update_reading(struct control *c, int64_t now)
{
	struct readers *rd = &c->readers;
	int reading = readers_reads_store(c, now);

	if (reading == rd->reading)
		return;
	rd->reading = reading;
	log_reading(c, now);
}

static void send_due_beat(struct control *c, int64_t now)
{
	struct readers *rd = &c->readers;
	int64_t confirmed_ms = source_confirmed_ms(c);

	if (!rd->reading || !c->source.ready || rd->role == SPREAD_LEARNER ||
	    now < rd->next_beat_ms || c->members.npeer == 1)
		return;
	rd->next_beat_ms = now + BEAT_INTERVAL_MS;
	if (spread_may_send_beat(confirmed_ms, now))
		send_beat(c, confirmed_ms, now);
}

void readers_tick(struct control *c, int64_t now)
{
	notice_standstill(c, now);
	update_reading(c, now);
	if (c->readers.changed->len)
		push_changes(c);
	send_due_beat(c, now);
}

/* Whether a beat is newer than all of its origin before. */
static int is_new(struct member_peer *origin, const struct wire_beat *b)
{
	if (b->sequence <= origin->last_beat)
		return 0;
	origin->last_beat = b->sequence;
	return 1;
}

/* Readers rely on the store alone, and a standby on VMs before it, so that two
 * VMs never confirm their replicas by each other. */
static int counts_here(const struct control *c, int origin)
{
	switch (c->readers.role) {
	case SPREAD_READER:
		return 0;
	case SPREAD_STANDBY:
		return position_of(c, origin) < c->readers.position;
	case SPREAD_LEARNER:
		break;
	}
	return 1;
}

void readers_handle_beat(struct control *c, const struct wire_beat *b,
			 const char *from)
{
	const struct member_peer *found = member_find(&c->members, b->origin);
	int origin = found ? (int)(found - c->members.peer) : 0;
	struct wire_args args = {.proc = WIRE_BEAT, .u.beat = *b};
	int64_t now = prl_now_ms();
	struct spread_beat beat = {
		.complete = b->complete,
		.live_digest = b->live_sum,
		.confirmed_ms = now - MAX(b->age_ms, 0),
	};

	if (!origin || !is_new(&c->members.peer[origin], b))
		return;
	tree_send_to_children(c, topic_of(b->origin, b->sequence), &args,
			      TREE_ONCE);
	if (!counts_here(c, origin))
		return;
	store_note_era(&c->store, store_version_era(b->complete));
	switch (spread_handle_beat(&c->readers.beats, &c->sync.replica, &beat,
				   c->readers.role, control_random(), now)) {
	case SPREAD_BEAT_CONFIRMS:
		source_confirm(c, b->complete, beat.confirmed_ms);
		break;
	case SPREAD_BEAT_PULL:
		sync_pull_from(c, from);
		break;
	case SPREAD_BEAT_NONE:
		break;
	}
}

void readers_handle_changes(struct control *c, const struct wire_request *r,
			    const struct wire_changes *changes)
{
	struct wire_result empty = {.proc = WIRE_CHANGES};
	struct wire_args args = {.proc = WIRE_CHANGES, .u.changes = *changes};
	const struct wire_object *object = changes->object.object_val;
	u_int n = changes->object.object_len;

	wire_reply(&c->wire, r, &empty, NULL);
	for (u_int i = 0; i < n; i++)
		store_note_era(&c->store,
			       store_version_era(object[i].revision));
	if (sync_install_objects(c, object, n))
		tree_send_to_children(
			c, topic_of(changes->origin, changes->sequence), &args,
			TREE_ACKNOWLEDGED);
}
