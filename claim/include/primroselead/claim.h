#ifndef PRIMROSELEAD_CLAIM_H
#define PRIMROSELEAD_CLAIM_H

#include <primroselead/error.h>
#include <primroselead/hash.h>
#include <stddef.h>
#include <stdint.h>

/*
 * At most once. A request key is claimed in the log of its shard before the
 * first byte goes to an upstream. A shard's log is a ring of segments, each an
 * object of the store. Only the newest segment is written, by conditional
 * update, and it is sealed by the same update that fills it, before the next
 * one begins. So of two processes that both take themselves for the shard's
 * writer, one fails and reads the log again; no clock is involved.
 *
 * This package is pure: it does no I/O and is given the time. Its caller does
 * what claim_next says and reports what came of it.
 */

/** Segments of one shard. */
#define CLAIM_SEGMENT_SLOTS 64

/** Most records in a segment. */
#define CLAIM_SEGMENT_RECORDS_MAX 256

/** Longest text of a segment, in bytes. */
#define CLAIM_SEGMENT_BYTES_MAX 32768

/** Time for which a note that a request ran waits for claims to share their
 * write, in milliseconds. */
#define CLAIM_OUTCOME_DELAY_MS 100

/** Claims that may wait for a write. */
#define CLAIM_PENDING_MAX 512

/** What is known of a claimed request. */
enum claim_status {
	/** Claimed; whether it ran is not known. */
	CLAIM_OPEN,
	/** The upstream's whole answer was seen; "code" is its HTTP status. */
	CLAIM_RAN,
	/** It certainly did not run; the key is free again. */
	CLAIM_RELEASED,
};

/** One record of the log. */
struct claim_record {
	struct prl_hash128 key;
	/** Names the request that claimed; unique among all requests. */
	uint64_t token;
	enum claim_status status;
	/** HTTP status of the answer, if status is CLAIM_RAN. */
	int http_status;
};

/** Answer to a claim. */
enum claim_verdict {
	/** The key is this request's; it may be sent, once. */
	CLAIM_GRANTED,
	/** Another request has the key; "record" says what is known of it. */
	CLAIM_TAKEN,
	/** No claim was made: the store is down or the shard is full. */
	CLAIM_REFUSED,
};

/** The settled answer to one claim or note. */
struct claim_answer {
	enum claim_verdict verdict;
	struct claim_record record;
	/** Why it was refused. */
	enum prl_code code;
	/** As given to claim_submit. */
	uint64_t waiter_id;
};

/** What the caller of this package has to do for a shard. */
enum claim_action {
	CLAIM_IDLE,
	/** List the shard's segments; then claim_loaded or claim_failed. */
	CLAIM_LOAD,
	/** Write "text" to "slot" if it has "version"; then claim_written,
	 * claim_conflict, claim_unsettled or claim_failed. */
	CLAIM_WRITE,
};

/** A write that is to be made. */
struct claim_write {
	int slot;
	int64_t expected_version;
	const char *text;
	size_t len;
};

/** A segment as the store holds it. */
struct claim_segment {
	int slot;
	int64_t version;
	const char *text;
	size_t len;
};

/** Where a shard stands. */
enum claim_shard_state {
	CLAIM_SHARD_UNLOADED,
	CLAIM_SHARD_LOADING,
	CLAIM_SHARD_READY,
	CLAIM_SHARD_WRITING,
};

/** A slot of the ring. */
struct claim_slot {
	int64_t version;
	int64_t sequence;
	/** Wall clock of the last write, in ms since 1970. */
	int64_t written_ms;
};

/** A settled record and the segment that holds it. */
struct claim_entry {
	struct claim_record record;
	/** -1 marks a free place. */
	int64_t sequence;
};

/** Settled records by key: a hash table with linear probing. */
struct claim_table {
	struct claim_entry *entry;
	/** Places, a power of two. */
	uint32_t size;
	uint32_t used;
};

/** How a shard's log is kept; the same on every VM. */
struct claim_options {
	/** Time for which a claim is remembered. */
	int64_t retention_ms;
	/** Records of a full segment, at most CLAIM_SEGMENT_RECORDS_MAX. */
	int segment_records;
};

/** One shard; the memory belongs to the caller. */
struct claim_shard {
	struct claim_options options;
	enum claim_shard_state state;
	struct claim_table table;
	struct claim_slot slot[CLAIM_SEGMENT_SLOTS];
	/** Sequence of the segment that is written next. */
	int64_t head_sequence;
	/** Records of that segment. */
	struct claim_record head_record[CLAIM_SEGMENT_RECORDS_MAX];
	int nhead_record;
	/** Records that wait for a write; the first "writing" are in one. */
	struct claim_record pending[CLAIM_PENDING_MAX];
	uint64_t pending_waiter_id[CLAIM_PENDING_MAX];
	int npending;
	int nwriting;
	/** When notes are written although no claim waits; 0 if unset. */
	int64_t outcome_write_ms;
	/** Text of the write that is under way. */
	char text[CLAIM_SEGMENT_BYTES_MAX];
	size_t len;
	int head_sealed;
	/** Answers not yet taken. */
	struct claim_answer answer[CLAIM_PENDING_MAX];
	int nanswer;
};

/** Starts unloaded. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code claim_init(struct claim_shard *s, const struct claim_options *o,
			 struct prl_error *err);

/** Frees what the shard holds. */
void claim_finish(struct claim_shard *s);

/**
 * Asks for a claim, or notes a status for a key that the same token claimed.
 * The waiter comes back with the answer. Returns PRL_OK, or PRL_E_LIMIT if
 * too many wait.
 */
enum prl_code claim_submit(struct claim_shard *s, const struct claim_record *r,
			   uint64_t waiter);

/**
 * Says what is to be done now. The wall clock is in ms since 1970.
 */
enum claim_action claim_next_action(struct claim_shard *s, int64_t wall_ms,
				    struct claim_write *w);

/** The segments were listed. An invalid one makes the shard refuse. */
enum prl_code claim_load_done(struct claim_shard *s,
			      const struct claim_segment *seg, int n,
			      struct prl_error *err);

/** The write took effect. */
void claim_write_done(struct claim_shard *s, int64_t version, int64_t wall_ms);

/** Another version was found; the log must be read again. The write may be
 * this shard's own one whose answer was lost. */
void claim_write_conflict(struct claim_shard *s);

/** The answer was lost; the log must be read before anything else. */
void claim_write_unsettled(struct claim_shard *s);

/** The store is down: what waits is refused, except what may be written. */
void claim_store_failed(struct claim_shard *s, enum prl_code code);

/** Takes one answer. Returns 1, or 0 if there is none. */
int claim_next_answer(struct claim_shard *s, struct claim_answer *out);

/** What is known of a key; null if nothing. */
const struct claim_record *claim_find(const struct claim_shard *s,
				      struct prl_hash128 key);

/** Whether anything waits for the store. */
int claim_has_pending(const struct claim_shard *s);

/** Forgets the log, so that it is read before the next claim. */
void claim_unload(struct claim_shard *s);

/** Shard of a key. */
int claim_shard_index(struct prl_hash128 key, int nshards);

#endif
