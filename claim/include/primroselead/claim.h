#ifndef PRIMROSELEAD_CLAIM_H
#define PRIMROSELEAD_CLAIM_H

#include <primroselead/error.h>
#include <primroselead/hash.h>
#include <stddef.h>
#include <stdint.h>

/*
 * At-most-once execution. A request key is claimed in the log of its shard
 * before the first byte of the request goes to an upstream. A shard's log is a
 * ring of segments, and each segment is one object of the store. Only the
 * newest segment is written, by conditional update. The update that fills a
 * segment also seals it, and the next segment is started only afterwards. When
 * two processes both act as the writer of a shard, one of them gets a version
 * conflict and reads the log again, so exclusion does not depend on clocks.
 *
 * This package does no I/O and reads no clock. The caller performs the action
 * that claim_next_action returns and reports its result.
 */

/** Segments in the ring of one shard. */
#define CLAIM_SEGMENT_SLOTS 64

/** Maximum number of records in a segment. */
#define CLAIM_SEGMENT_RECORDS_MAX 256

/** Longest text of a segment, in bytes. */
#define CLAIM_SEGMENT_BYTES_MAX 32768

/** Longest time for which a CLAIM_RAN record is held back so that it can share
 * a write with later claims, in milliseconds. */
#define CLAIM_OUTCOME_DELAY_MS 100

/** Maximum number of pending records and untaken answers together. */
#define CLAIM_PENDING_MAX 512

/** What is known of a claimed request. The numbers are stored and sent. */
enum claim_status {
	/** Claimed; whether the request ran is not known. */
	CLAIM_OPEN,
	/** The upstream's whole answer was received. */
	CLAIM_RAN,
	/** The request certainly did not run; its key may be claimed again. */
	CLAIM_RELEASED,
};

/** One record of the log. */
struct claim_record {
	struct prl_hash128 key;
	/** Identifies the claiming request; unique among all requests. */
	uint64_t token;
	enum claim_status status;
	/** HTTP status of the answer; valid if status is CLAIM_RAN. */
	int http_status;
};

/** Result of a claim. The numbers are sent between VMs. */
enum claim_verdict {
	/** The request owns the key and may be sent once. */
	CLAIM_GRANTED,
	/** Another request owns the key; "record" is its latest record. */
	CLAIM_TAKEN,
	/** Nothing was claimed; "code" gives the reason. */
	CLAIM_REFUSED,
};

/** The final answer to one submitted record. */
struct claim_answer {
	enum claim_verdict verdict;
	struct claim_record record;
	/** Reason for CLAIM_REFUSED: PRL_E_FULL if no segment may be reused
	 * yet, PRL_E_PROTOCOL or PRL_E_MEMORY if the log could not be loaded,
	 * or the code given to claim_store_failed; else PRL_OK. */
	enum prl_code code;
	/** The number given to claim_submit. */
	uint64_t waiter_id;
};

/** What the caller has to do for a shard. */
enum claim_action {
	CLAIM_IDLE,
	/** List the shard's segments, then call claim_load_done or
	 * claim_store_failed. */
	CLAIM_LOAD,
	/** Write "text" to "slot" on condition that the slot still has
	 * "expected_version", then call claim_write_done,
	 * claim_write_conflict, claim_write_unsettled or claim_store_failed.
	 */
	CLAIM_WRITE,
};

/** A conditional write. The text belongs to the shard and is valid until the
 * result of the write is reported. */
struct claim_write {
	int slot;
	/** 0 if the slot must not exist yet. */
	int64_t expected_version;
	const char *text;
	size_t len;
};

/** A segment as read from the store; the text ends with a null byte. */
struct claim_segment {
	int slot;
	int64_t version;
	const char *text;
	size_t len;
};

/** State of a shard. */
enum claim_shard_state {
	CLAIM_SHARD_UNLOADED,
	CLAIM_SHARD_LOADING,
	CLAIM_SHARD_READY,
	CLAIM_SHARD_WRITING,
};

/** A slot of the ring. */
struct claim_slot {
	/** Version in the store; 0 if the slot was never written. */
	int64_t version;
	/** Number of the segment in the slot, counted from 0 for each shard. */
	int64_t sequence;
	/** Wall clock of the last write, in milliseconds since 1970. */
	int64_t written_ms;
};

/** The latest stored record of a key. */
struct claim_entry {
	struct claim_record record;
	/** Sequence of the segment with the record; -1 marks an empty entry. */
	int64_t sequence;
};

/** Stored records by key: a hash table with linear probing. */
struct claim_table {
	struct claim_entry *entry;
	/** Entries allocated, a power of two. */
	uint32_t size;
	uint32_t used;
};

/** Options of a shard's log, which must be the same on every VM. */
struct claim_options {
	/** Time for which a claim is remembered, in milliseconds. */
	int64_t retention_ms;
	/** Records at which a segment is sealed, at most
	 * CLAIM_SEGMENT_RECORDS_MAX. */
	int segment_records;
};

/** One shard; the memory belongs to the caller. */
struct claim_shard {
	struct claim_options options;
	enum claim_shard_state state;
	struct claim_table table;
	struct claim_slot slot[CLAIM_SEGMENT_SLOTS];
	/** Sequence of the newest segment, which the next write goes to. */
	int64_t head_sequence;
	/** Stored records of the newest segment. */
	struct claim_record head_record[CLAIM_SEGMENT_RECORDS_MAX];
	int nhead_record;
	/** Records waiting to be stored; the first "nwriting" of them are in
	 * the write in progress. */
	struct claim_record pending[CLAIM_PENDING_MAX];
	/** Waiter of each pending record; 0 if none. */
	uint64_t pending_waiter_id[CLAIM_PENDING_MAX];
	int npending;
	int nwriting;
	/** Wall clock at which delayed outcomes are written even if no claim
	 * is pending, in milliseconds since 1970; 0 if none is delayed. */
	int64_t outcome_write_ms;
	/** Text of the write in progress. */
	char text[CLAIM_SEGMENT_BYTES_MAX];
	size_t text_len;
	/** The newest segment is sealed, or the write in progress seals it. */
	int head_sealed;
	/** Answers not yet taken by claim_next_answer. */
	struct claim_answer answer[CLAIM_PENDING_MAX];
	int nanswer;
};

/** Initializes an unloaded shard. Returns PRL_OK or PRL_E_MEMORY. */
enum prl_code claim_init(struct claim_shard *s, const struct claim_options *o,
			 struct prl_error *err);

/** Frees the shard's table. */
void claim_finish(struct claim_shard *s);

/**
 * Queues a claim (CLAIM_OPEN), or the outcome of a request that claimed its key
 * with the same token (CLAIM_RAN or CLAIM_RELEASED). The answer carries
 * waiter_id; for 0 no answer is given. Returns PRL_OK, or PRL_E_LIMIT if
 * CLAIM_PENDING_MAX is reached.
 */
enum prl_code claim_submit(struct claim_shard *s, const struct claim_record *r,
			   uint64_t waiter_id);

/**
 * Returns the next action, and fills in "w" for CLAIM_WRITE. Pending records
 * that need no write are answered here. The wall clock is in milliseconds
 * since 1970.
 */
enum claim_action claim_next_action(struct claim_shard *s, int64_t wall_ms,
				    struct claim_write *w);

/**
 * Reports the listed segments, in any order. Returns PRL_OK, or PRL_E_PROTOCOL
 * for a segment that is not valid, or PRL_E_MEMORY; on error the pending claims
 * are refused with that code and the shard stays unloaded.
 */
enum prl_code claim_load_done(struct claim_shard *s,
			      const struct claim_segment *seg, int n,
			      struct prl_error *err);

/** Reports that the write took effect and which version it produced. */
void claim_write_done(struct claim_shard *s, int64_t version, int64_t wall_ms);

/** Reports a version conflict. The log is loaded again before the next write:
 * the conflicting write may be an earlier one of this shard whose answer was
 * lost. */
void claim_write_conflict(struct claim_shard *s);

/** Reports that the result of the write is unknown. The log is loaded again
 * before anything is answered. */
void claim_write_unsettled(struct claim_shard *s);

/** Reports that the store could not be reached. Pending claims are refused with
 * the code; pending outcomes are kept and written later. */
void claim_store_failed(struct claim_shard *s, enum prl_code code);

/** Takes the oldest answer. Returns 1, or 0 if there is none. */
int claim_next_answer(struct claim_shard *s, struct claim_answer *out);

/** Whether an answer that came from another VM may be one to a claim with this
 * record: a grant must name its token, and all numbers must be known. */
int claim_answer_is_valid(const struct claim_answer *a,
			  const struct claim_record *claim);

/** Latest stored record of a key, or null. */
const struct claim_record *claim_find(const struct claim_shard *s,
				      struct prl_hash128 key);

/** Whether any record is pending. */
int claim_has_pending(const struct claim_shard *s);

/** Marks the shard as unloaded, so that the log is read before the next write.
 * Pending records are kept. */
void claim_unload(struct claim_shard *s);

/** Index of a key's shard, from 0 to nshards - 1. */
int claim_shard_index(struct prl_hash128 key, int nshards);

#endif
