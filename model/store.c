#include "world.h"
#include <stdlib.h>
#include <string.h>

const struct fake_object *store_find(const struct world *w, const char *key)
{
	for (int i = 0; i < w->nobject; i++)
		if (!strcmp(w->object[i].key, key))
			return &w->object[i];
	return NULL;
}

void store_send(struct world *w, enum call_purpose purpose, int vm,
		const char *key, int64_t expected_version, const char *value,
		int config_index)
{
	for (int i = 0; i < CALLS_MAX; i++) {
		struct fake_call *c = &w->call[i];

		if (c->state != CALL_FREE)
			continue;
		memset(c, 0, sizeof(*c));
		c->state = CALL_SENT;
		c->purpose = purpose;
		c->vm = vm;
		c->incarnation = vm >= 0 ? w->vm[vm].incarnation : 0;
		strcpy(c->key, key);
		c->value = value ? strdup(value) : NULL;
		c->expected_version = expected_version;
		c->deadline_ms = w->now_ms + CALL_TIMEOUT_MS;
		c->config_index = config_index;
		return;
	}
	/* No slot is free: the call fails at once. */
	struct fake_call c = {
		.purpose = purpose, .vm = vm, .config_index = config_index};

	c.incarnation = vm >= 0 ? w->vm[vm].incarnation : 0;
	c.code = PRL_E_STORE_DOWN;
	vm_handle_response(w, &c);
}

static int is_write(const struct fake_call *c)
{
	return c->value != NULL;
}

static void apply_read(struct world *w, struct fake_call *c)
{
	size_t n = strlen(c->key);

	for (int i = 0; i < w->nobject; i++) {
		const struct fake_object *o = &w->object[i];

		if (strncmp(o->key, c->key, n) ||
		    c->nsnapshot == CLAIM_SEGMENT_SLOTS)
			continue;
		c->snapshot[c->nsnapshot] = *o;
		c->snapshot[c->nsnapshot].value = strdup(o->value);
		c->nsnapshot++;
	}
	c->result_version = w->revision;
}

static void apply_write(struct world *w, struct fake_call *c)
{
	struct fake_object *o = (struct fake_object *)store_find(w, c->key);

	if ((o ? o->version : 0) != c->expected_version) {
		c->code = PRL_E_CONFLICT;
		c->result_version = o ? o->version : 0;
		w->result->conflicts++;
		return;
	}
	if (!o) {
		if (w->nobject == OBJECTS_MAX) {
			c->code = PRL_E_STORE_DOWN;
			return;
		}
		o = &w->object[w->nobject++];
		strcpy(o->key, c->key);
	}
	free(o->value);
	o->value = strdup(c->value);
	o->version = ++w->revision;
	c->result_version = o->version;
	if (c->purpose != CALL_PUBLISH)
		return;
	w->config[c->config_index].accepted = 1;
	w->config[c->config_index].version = o->version;
	w->current_config = c->config_index;
	w->result->configs_accepted++;
}

static void free_call(struct fake_call *c)
{
	for (int i = 0; i < c->nsnapshot; i++)
		free(c->snapshot[i].value);
	free(c->value);
	memset(c, 0, sizeof(*c));
}

void store_apply(struct world *w, int i)
{
	struct fake_call *c = &w->call[i];
	int orphan = c->state == CALL_ABANDONED;

	if ((c->state != CALL_SENT && !orphan) || !w->store_up)
		return;
	if (is_write(c))
		apply_write(w, c);
	else if (!orphan)
		apply_read(w, c);
	c->state = CALL_APPLIED;
	if (orphan) {
		w->result->late_writes += c->code == PRL_OK;
		free_call(c);
	}
}

/* A paused process takes no response and sees no timeout. */
static int sender_paused(const struct world *w, const struct fake_call *c)
{
	return c->vm >= 0 && w->vm[c->vm].paused &&
	       w->vm[c->vm].incarnation == c->incarnation;
}

void store_respond(struct world *w, int i, int lost)
{
	struct fake_call *c = &w->call[i];

	if (c->state != CALL_APPLIED || sender_paused(w, c))
		return;
	if (lost) {
		w->result->lost_answers++;
		c->code = is_write(c) ? PRL_E_UNSETTLED : PRL_E_STORE_DOWN;
	}
	vm_handle_response(w, c);
	free_call(c);
}

void store_expire_calls(struct world *w)
{
	for (int i = 0; i < CALLS_MAX; i++) {
		struct fake_call *c = &w->call[i];

		if (c->state != CALL_SENT || w->now_ms < c->deadline_ms ||
		    sender_paused(w, c))
			continue;
		c->code = is_write(c) ? PRL_E_UNSETTLED : PRL_E_STORE_DOWN;
		vm_handle_response(w, c);
		c->code = PRL_OK;
		if (is_write(c))
			c->state = CALL_ABANDONED;
		else
			free_call(c);
	}
}

void store_free(struct world *w)
{
	for (int i = 0; i < CALLS_MAX; i++)
		free_call(&w->call[i]);
	for (int i = 0; i < w->nobject; i++)
		free(w->object[i].value);
}
