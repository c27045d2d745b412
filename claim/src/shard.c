#include "segment.h"
#include "table.h"
#include <string.h>

enum prl_code claim_init(struct claim_shard *s, const struct claim_options *o,
			 struct prl_error *err)
{
	memset(s, 0, sizeof(*s));
	s->options = *o;
	if (claim_table_init(&s->table))
		return prl_error_set(err, PRL_E_MEMORY,
				     "claim table: out of memory");
	return PRL_OK;
}

void claim_finish(struct claim_shard *s)
{
	claim_table_finish(&s->table);
}

int claim_shard_index(struct prl_hash128 key, int nshards)
{
	return (int)(key.high % (uint64_t)nshards);
}

const struct claim_record *claim_find(const struct claim_shard *s,
				      struct prl_hash128 key)
{
	const struct claim_entry *e = claim_table_find(&s->table, key);

	return e ? &e->record : NULL;
}

int claim_has_pending(const struct claim_shard *s)
{
	return s->npending > 0;
}

static void add_answer(struct claim_shard *s, uint64_t waiter_id,
		       enum claim_verdict verdict, const struct claim_record *r,
		       enum prl_code code)
{
	/* Outcomes have no waiter. The array cannot overflow: each answer
	 * replaces a pending record, and claim_submit bounds the sum. */
	if (!waiter_id)
		return;
	s->answer[s->nanswer++] = (struct claim_answer){.verdict = verdict,
							.record = *r,
							.code = code,
							.waiter_id = waiter_id};
}

int claim_next_answer(struct claim_shard *s, struct claim_answer *out)
{
	if (!s->nanswer)
		return 0;
	*out = s->answer[0];
	s->nanswer--;
	memmove(s->answer, s->answer + 1, (size_t)s->nanswer * sizeof(*out));
	return 1;
}

int claim_answer_is_valid(const struct claim_answer *a,
			  const struct claim_record *claim)
{
	switch (a->verdict) {
	case CLAIM_GRANTED:
		return a->record.token == claim->token &&
		       a->record.status == CLAIM_OPEN;
	case CLAIM_TAKEN:
		return a->record.status == CLAIM_OPEN ||
		       a->record.status == CLAIM_RAN ||
		       a->record.status == CLAIM_RELEASED;
	case CLAIM_REFUSED:
		return 1;
	}
	return 0;
}

/* Answers a record from the stored record of its key. Returns 0 if the record
 * has to be written instead. */
static int answer_from_table(struct claim_shard *s,
			     const struct claim_record *r, uint64_t waiter_id)
{
	const struct claim_record *stored = claim_find(s, r->key);
	int own = stored && stored->token == r->token;
	enum claim_verdict verdict = CLAIM_TAKEN;

	if (!stored)
		return 0;
	if (own && stored->status == CLAIM_OPEN && r->status != CLAIM_OPEN)
		return 0;
	if (!own && stored->status == CLAIM_RELEASED && r->status == CLAIM_OPEN)
		return 0;
	/* The claim was stored by a write whose answer was lost. */
	if (own && stored->status == CLAIM_OPEN)
		verdict = CLAIM_GRANTED;
	add_answer(s, waiter_id, verdict, stored, PRL_OK);
	return 1;
}

enum prl_code claim_submit(struct claim_shard *s, const struct claim_record *r,
			   uint64_t waiter_id)
{
	if (s->npending + s->nanswer >= CLAIM_PENDING_MAX)
		return PRL_E_LIMIT;
	s->pending[s->npending] = *r;
	s->pending_waiter_id[s->npending] = waiter_id;
	s->npending++;
	return PRL_OK;
}

static void remove_pending(struct claim_shard *s, int i)
{
	size_t n = (size_t)(s->npending - i - 1);

	memmove(&s->pending[i], &s->pending[i + 1], n * sizeof(s->pending[0]));
	memmove(&s->pending_waiter_id[i], &s->pending_waiter_id[i + 1],
		n * sizeof(s->pending_waiter_id[0]));
	s->npending--;
}

static int key_in_batch(const struct claim_shard *s, int n,
			struct prl_hash128 key)
{
	for (int i = 0; i < n; i++)
		if (s->pending[i].key.low == key.low &&
		    s->pending[i].key.high == key.high)
			return 1;
	return 0;
}

/* Returns how many pending records, counted from the first, go into the next
 * write, and answers those on the way that need no write. A batch has no key
 * twice, so that a second request for a key sees the result of the first. */
static int select_batch(struct claim_shard *s)
{
	int room = s->options.segment_records - s->nhead_record;
	int n = 0;

	while (n < s->npending && n < room) {
		if (key_in_batch(s, n, s->pending[n].key))
			break;
		if (answer_from_table(s, &s->pending[n],
				      s->pending_waiter_id[n]))
			remove_pending(s, n);
		else
			n++;
	}
	return n;
}

static void refuse_pending_claims(struct claim_shard *s, enum prl_code code)
{
	int i = 0;

	while (i < s->npending) {
		if (s->pending[i].status != CLAIM_OPEN) {
			i++;
			continue;
		}
		add_answer(s, s->pending_waiter_id[i], CLAIM_REFUSED,
			   &s->pending[i], code);
		remove_pending(s, i);
	}
}

/* Whether the slot of the newest segment may be written: it holds that segment
 * already, is unused, or its old segment is past the retention time. */
static int slot_is_free(const struct claim_shard *s, int64_t wall_ms)
{
	const struct claim_slot *slot =
		&s->slot[s->head_sequence % CLAIM_SEGMENT_SLOTS];

	if (!slot->version || slot->sequence == s->head_sequence)
		return 1;
	return slot->written_ms + s->options.retention_ms < wall_ms;
}

static void prepare_write(struct claim_shard *s, int n, int64_t wall_ms)
{
	struct segment_header h = {
		.sequence = s->head_sequence,
		.written_ms = wall_ms,
		.nrecord = s->nhead_record + n,
	};

	memcpy(&s->head_record[s->nhead_record], s->pending,
	       (size_t)n * sizeof(s->head_record[0]));
	s->head_sealed = h.nrecord >= s->options.segment_records;
	h.sealed = s->head_sealed;
	s->text_len =
		segment_format(s->text, sizeof(s->text), &h, s->head_record);
	s->nwriting = n;
	s->state = CLAIM_SHARD_WRITING;
}

/* Whether only CLAIM_RAN records are pending and their delay is not over. If
 * each were written at once, outcomes would cost as many writes as claims. The
 * delay starts anew if the wall clock was set back. */
static int may_defer_write(struct claim_shard *s, int64_t wall_ms)
{
	for (int i = 0; i < s->npending; i++)
		if (s->pending[i].status != CLAIM_RAN)
			return 0;
	if (!s->outcome_write_ms ||
	    s->outcome_write_ms > wall_ms + CLAIM_OUTCOME_DELAY_MS)
		s->outcome_write_ms = wall_ms + CLAIM_OUTCOME_DELAY_MS;
	return wall_ms < s->outcome_write_ms;
}

enum claim_action claim_next_action(struct claim_shard *s, int64_t wall_ms,
				    struct claim_write *w)
{
	int n;

	if (s->state == CLAIM_SHARD_LOADING ||
	    s->state == CLAIM_SHARD_WRITING || !s->npending ||
	    may_defer_write(s, wall_ms))
		return CLAIM_IDLE;
	s->outcome_write_ms = 0;
	if (s->state == CLAIM_SHARD_UNLOADED) {
		s->state = CLAIM_SHARD_LOADING;
		return CLAIM_LOAD;
	}
	n = select_batch(s);
	if (!n)
		return CLAIM_IDLE;
	if (!slot_is_free(s, wall_ms)) {
		refuse_pending_claims(s, PRL_E_FULL);
		return CLAIM_IDLE;
	}
	prepare_write(s, n, wall_ms);
	w->slot = (int)(s->head_sequence % CLAIM_SEGMENT_SLOTS);
	w->expected_version = s->slot[w->slot].version;
	w->text = s->text;
	w->len = s->text_len;
	return CLAIM_WRITE;
}

static void start_next_segment(struct claim_shard *s)
{
	s->head_sequence++;
	s->nhead_record = 0;
	s->head_sealed = 0;
}

void claim_write_done(struct claim_shard *s, int64_t version, int64_t wall_ms)
{
	struct claim_slot *slot =
		&s->slot[s->head_sequence % CLAIM_SEGMENT_SLOTS];
	int n = s->nwriting;

	if (slot->version && slot->sequence != s->head_sequence)
		claim_table_expire(&s->table, slot->sequence);
	slot->version = version;
	slot->sequence = s->head_sequence;
	slot->written_ms = wall_ms;
	s->state = CLAIM_SHARD_READY;
	s->nwriting = 0;
	s->nhead_record += n;
	for (int i = 0; i < n; i++) {
		const struct claim_record *r = &s->pending[0];

		if (claim_table_set(&s->table, r, s->head_sequence)) {
			/* Records missing from the table would let their keys
			 * be claimed again, so the log is loaded anew. */
			claim_unload(s);
			return;
		}
		add_answer(s, s->pending_waiter_id[0], CLAIM_GRANTED, r,
			   PRL_OK);
		remove_pending(s, 0);
	}
	if (s->head_sealed)
		start_next_segment(s);
}

void claim_unload(struct claim_shard *s)
{
	s->state = CLAIM_SHARD_UNLOADED;
	s->nwriting = 0;
}

void claim_write_conflict(struct claim_shard *s)
{
	claim_unload(s);
}

void claim_write_unsettled(struct claim_shard *s)
{
	claim_unload(s);
}

void claim_store_failed(struct claim_shard *s, enum prl_code code)
{
	claim_unload(s);
	refuse_pending_claims(s, code);
}

static enum prl_code load_segment(struct claim_shard *s,
				  const struct claim_segment *seg,
				  struct prl_error *err)
{
	struct claim_record record[CLAIM_SEGMENT_RECORDS_MAX];
	struct claim_slot *slot = &s->slot[seg->slot];
	struct segment_header h;
	enum prl_code rc = segment_parse(seg, &h, record, err);

	if (rc)
		return rc;
	slot->version = seg->version;
	slot->sequence = h.sequence;
	slot->written_ms = h.written_ms;
	for (int i = 0; i < h.nrecord; i++) {
		const struct claim_entry *e =
			claim_table_find(&s->table, record[i].key);

		/* Segments are listed in any order; the record of the newest
		 * segment is the one in force. */
		if (e && e->sequence > h.sequence)
			continue;
		if (claim_table_set(&s->table, &record[i], h.sequence))
			return prl_error_set(err, PRL_E_MEMORY,
					     "claim table: out of memory");
	}
	if (h.sequence < s->head_sequence)
		return PRL_OK;
	s->head_sequence = h.sequence;
	s->nhead_record = h.nrecord;
	s->head_sealed = h.sealed;
	memcpy(s->head_record, record, sizeof(record));
	return PRL_OK;
}

enum prl_code claim_load_done(struct claim_shard *s,
			      const struct claim_segment *seg, int n,
			      struct prl_error *err)
{
	enum prl_code rc = PRL_OK;

	claim_table_finish(&s->table);
	if (claim_table_init(&s->table)) {
		claim_store_failed(s, PRL_E_MEMORY);
		return prl_error_set(err, PRL_E_MEMORY,
				     "claim table: out of memory");
	}
	memset(s->slot, 0, sizeof(s->slot));
	s->head_sequence = 0;
	s->nhead_record = 0;
	s->head_sealed = 0;
	for (int i = 0; !rc && i < n; i++) {
		if (seg[i].slot < 0 || seg[i].slot >= CLAIM_SEGMENT_SLOTS)
			rc = prl_error_set(
				err, PRL_E_PROTOCOL,
				"claim segment %d: slot is out of range",
				seg[i].slot);
		else
			rc = load_segment(s, &seg[i], err);
	}
	if (rc) {
		claim_store_failed(s, rc);
		return rc;
	}
	s->state = CLAIM_SHARD_READY;
	if (s->head_sealed)
		start_next_segment(s);
	return PRL_OK;
}
