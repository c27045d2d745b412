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

void store_begin(struct world *w, enum call_purpose purpose, int vm,
		 const char *key, int64_t version, const char *value,
		 int config)
{
	for (int i = 0; i < CALLS; i++) {
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
		c->version = version;
		c->deadline = w->now + CALL_TIMEOUT_MS;
		c->config = config;
		return;
	}
	/* No call was made: the sender is told at once. */
	struct fake_call c = {.purpose = purpose, .vm = vm, .config = config};

	c.incarnation = vm >= 0 ? w->vm[vm].incarnation : 0;
	c.code = PRL_E_STORE_DOWN;
	vm_answer(w, &c);
}

static int is_write(const struct fake_call *c)
{
	return c->value != NULL;
}

static void read_into(struct world *w, struct fake_call *c)
{
	size_t n = strlen(c->key);

	for (int i = 0; i < w->nobject; i++) {
		const struct fake_object *o = &w->object[i];

		if (strncmp(o->key, c->key, n) ||
		    c->nread == CLAIM_SEGMENT_SLOTS)
			continue;
		c->read[c->nread] = *o;
		c->read[c->nread].value = strdup(o->value);
		c->nread++;
	}
	c->result = w->revision;
}

static void write_from(struct world *w, struct fake_call *c)
{
	struct fake_object *o = (struct fake_object *)store_find(w, c->key);

	if ((o ? o->version : 0) != c->version) {
		c->code = PRL_E_CONFLICT;
		c->result = o ? o->version : 0;
		w->out->conflicts++;
		return;
	}
	if (!o) {
		if (w->nobject == OBJECTS) {
			c->code = PRL_E_STORE_DOWN;
			return;
		}
		o = &w->object[w->nobject++];
		strcpy(o->key, c->key);
	}
	free(o->value);
	o->value = strdup(c->value);
	o->version = ++w->revision;
	c->result = o->version;
	if (c->purpose != CALL_PUBLISH)
		return;
	w->config[c->config].accepted = 1;
	w->config[c->config].version = o->version;
	w->current = c->config;
	w->out->versions++;
}

static void release(struct fake_call *c)
{
	for (int i = 0; i < c->nread; i++)
		free(c->read[i].value);
	free(c->value);
	memset(c, 0, sizeof(*c));
}

void store_reach(struct world *w, int i)
{
	struct fake_call *c = &w->call[i];
	int orphan = c->state == CALL_ORPHAN;

	if ((c->state != CALL_SENT && !orphan) || !w->store_up)
		return;
	if (is_write(c))
		write_from(w, c);
	else if (!orphan)
		read_into(w, c);
	c->state = CALL_APPLIED;
	if (orphan) {
		w->out->late_writes += c->code == PRL_OK;
		release(c);
	}
}

/* A paused process neither takes an answer nor sees that it waits too long. */
static int sender_paused(const struct world *w, const struct fake_call *c)
{
	return c->vm >= 0 && w->vm[c->vm].paused &&
	       w->vm[c->vm].incarnation == c->incarnation;
}

void store_return(struct world *w, int i, int lost)
{
	struct fake_call *c = &w->call[i];

	if (c->state != CALL_APPLIED || sender_paused(w, c))
		return;
	if (lost) {
		w->out->lost_answers++;
		c->code = is_write(c) ? PRL_E_UNSETTLED : PRL_E_STORE_DOWN;
	}
	vm_answer(w, c);
	release(c);
}

/* A sender stops waiting; what it sent may still be on its way. */
void store_expire(struct world *w)
{
	for (int i = 0; i < CALLS; i++) {
		struct fake_call *c = &w->call[i];

		if (c->state != CALL_SENT || w->now < c->deadline ||
		    sender_paused(w, c))
			continue;
		c->code = is_write(c) ? PRL_E_UNSETTLED : PRL_E_STORE_DOWN;
		vm_answer(w, c);
		c->code = PRL_OK;
		if (is_write(c))
			c->state = CALL_ORPHAN;
		else
			release(c);
	}
}

void store_free(struct world *w)
{
	for (int i = 0; i < CALLS; i++)
		release(&w->call[i]);
	for (int i = 0; i < w->nobject; i++)
		free(w->object[i].value);
}
