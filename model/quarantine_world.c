#include "quarantine_world.h"
#include <primroselead/hash.h>
#include <string.h>

uint32_t world_draw(struct quarantine_world *w, uint32_t n)
{
	w->random_state = prl_hash_combine(w->random_state, ++w->drawn);
	return (uint32_t)(w->random_state >> 16) % n;
}

struct prl_hash128 world_digest(int request)
{
	return (struct prl_hash128){7, (uint64_t)request + 1};
}

int world_store_is_up(const struct quarantine_world *w)
{
	return w->now_ms >= w->store_back_ms;
}

static int in_touch(const struct quarantine_world *w, int a, int b)
{
	return w->now_ms >= w->whole_again_ms || w->vm[a].side == w->vm[b].side;
}

/* Messages */

static struct model_message *new_message(struct quarantine_world *w)
{
	for (int i = 0; i < MESSAGES_MAX; i++)
		if (!w->message[i].used)
			return &w->message[i];
	return NULL;
}

static void send_records(struct quarantine_world *w, int from, int to,
			 const struct quarantine_record *record, int n,
			 int is_reply)
{
	struct model_message *m = new_message(w);

	if (!m || !n || from == to || world_draw(w, 100) < MESSAGE_LOSS_PERCENT)
		return;
	*m = (struct model_message){
		.used = 1,
		.from = from,
		.to = to,
		.at_ms = w->now_ms + 1 + world_draw(w, MESSAGE_MAX_MS),
		.is_reply = is_reply,
		.n = n,
	};
	memcpy(m->record, record, (size_t)n * sizeof(*record));
}

void world_deliver(struct quarantine_world *w, struct model_message *m)
{
	struct model_vm *v = &w->vm[m->to];
	struct quarantine_record better[MESSAGE_RECORDS];
	int n = 0;

	m->used = 0;
	if (!v->alive || !in_touch(w, m->from, m->to))
		return;
	for (int i = 0; i < m->n; i++)
		if (quarantine_merge(&v->table, &m->record[i], w->now_ms) ==
		    QUARANTINE_OUTDATED)
			better[n++] =
				quarantine_find(&v->table, &m->record[i].digest)
					->record;
	if (!m->is_reply)
		send_records(w, m->to, m->from, better, n, 1);
}

void world_tell(struct quarantine_world *w, int i)
{
	struct model_vm *v = &w->vm[i];
	struct quarantine_record out[MESSAGE_RECORDS];
	int n;

	if (w->now_ms >= v->next_news_ms) {
		v->next_news_ms = w->now_ms + NEWS_INTERVAL_MS;
		n = quarantine_take_news(&v->table, out, MESSAGE_RECORDS);
		for (int k = 0; k < FANOUT; k++)
			send_records(w, i, (int)world_draw(w, VMS), out, n, 0);
	}
	if (w->now_ms >= v->next_sample_ms) {
		v->next_sample_ms = w->now_ms + SAMPLE_INTERVAL_MS;
		n = quarantine_sample(&v->table, out, MESSAGE_RECORDS);
		send_records(w, i, (int)world_draw(w, VMS), out, n, 0);
	}
}

/* The store */

void world_keep(struct quarantine_world *w, int i)
{
	struct quarantine *q = &w->vm[i].table;

	for (int k = 0; k < q->nentry && world_store_is_up(w); k++) {
		struct quarantine_entry *e = &q->entry[k];
		int request = (int)e->record.digest.low - 1;

		if (quarantine_is_active(e) && !e->record.kept_era) {
			e->record.kept_era = 1;
			e->must_tell = 1;
			w->kept[request] = e->record;
			w->is_kept[request] = 1;
		}
		if (e->must_remove && !e->record.ncrash)
			w->is_kept[request] = 0;
		e->must_remove = 0;
	}
}

void world_load(struct quarantine_world *w, struct model_vm *v)
{
	if (!world_store_is_up(w) && w->now_ms < v->started_ms + LOAD_MAX_MS)
		return;
	v->ready = 1;
	for (int i = 0; i < REQUESTS && world_store_is_up(w); i++)
		if (w->is_kept[i])
			quarantine_merge(&v->table, &w->kept[i], w->now_ms);
}
