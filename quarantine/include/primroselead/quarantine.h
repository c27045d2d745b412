#ifndef PRIMROSELEAD_QUARANTINE_H
#define PRIMROSELEAD_QUARANTINE_H

#include <primroselead/error.h>
#include <primroselead/hash.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Requests that end the upstreams that run them. A request is known by a digest
 * that all VMs derive alike. Upstreams that end under it make it a suspect, and
 * three of them put it in quarantine: it is no longer sent to any upstream. One
 * whole response clears it. VMs tell each other their records, which merge to
 * the same in any order and however often. A pure package; points in time are
 * given by the caller, in ms.
 */

/** Upstreams that must have ended under a request to quarantine it. */
#define QUARANTINE_CRASHES 3

/** Most requests that a table holds. */
#define QUARANTINE_ENTRIES_MAX 512

/** Size of the text that tells operators which request it is, with its end. */
#define QUARANTINE_ABOUT_MAX 160

/** Size of a digest as text, with its end. */
#define QUARANTINE_NAME_MAX 33

/** What the VMs know of a request. */
struct quarantine_record {
	struct prl_hash128 digest;
	/** Digest of the request without its body. */
	uint64_t head;
	/** Times that it was cleared. Of two records that differ in this, only
	 * the one with more counts. */
	int64_t clearance;
	/** Ids of the upstream starts that ended under it since, ascending. */
	uint64_t crash[QUARANTINE_CRASHES];
	int ncrash;
	/** Requests that were sent in spite of the quarantine, to see whether
	 * upstreams still end under them. */
	int ntrial;
	/** The store keeps the record: its era plus one; 0 if it does not. */
	int64_t kept_era;
};

/** A request in a table. */
struct quarantine_entry {
	struct quarantine_record record;
	/** When the record last changed here. */
	int64_t changed_ms;
	/** When a request last asked for it. */
	int64_t used_ms;
	/** When a trial is due. */
	int64_t trial_ms;
	/** The next request is sent as a trial. */
	int trial_open;
	/** A request that runs alone is under way here. */
	int running;
	/** Other VMs are to be told. */
	int must_tell;
	/** It was cleared, and the store may still keep it. */
	int must_remove;
	/** The store has lost it. */
	int must_keep;
	/** Method, host and path, without the query; empty if another VM saw
	 * the request. */
	char about[QUARANTINE_ABOUT_MAX];
};

/** The requests that a VM knows of; empty when zeroed. */
struct quarantine {
	struct quarantine_entry entry[QUARANTINE_ENTRIES_MAX];
	int nentry;
	/** Entries under which an upstream has ended, not cleared since. */
	int nsuspect;
	/** Where the next sample begins. */
	int sampled;
};

/** Digests that are remembered as answered. */
#define QUARANTINE_ANSWERS_MAX 1024

/** Requests that were answered lately. Many equal requests may be under way,
 * and end at once with the upstreams of a failure domain; that they were
 * answered until then says that they did not end these. Any thread may use it;
 * empty when zeroed. */
struct quarantine_answers {
	/** A part of the digest above the time in seconds. */
	_Atomic uint64_t slot[QUARANTINE_ANSWERS_MAX];
};

/** Remembers that a request was answered. */
void quarantine_answers_note(struct quarantine_answers *a,
			     const struct prl_hash128 *digest, int64_t now);

/** Whether an answer speaks for a request under which an upstream has ended:
 * one of the last ten seconds does, for two seconds, against all that end then.
 */
int quarantine_answers_speak(struct quarantine_answers *a,
			     const struct prl_hash128 *digest, int64_t now);

/** What becomes of a request. */
enum quarantine_verdict {
	/** Nothing is known of it. */
	QUARANTINE_PASS,
	/** An upstream has ended under it; it is sent. */
	QUARANTINE_WATCH,
	/** It is sent, and alone: quarantine_leave must follow. */
	QUARANTINE_ALONE,
	/** Not sent now: an equal request is under way alone. */
	QUARANTINE_BUSY,
	/** Not sent. */
	QUARANTINE_REJECT,
};

/** How a record has changed. */
enum quarantine_change {
	QUARANTINE_UNCHANGED,
	/** One more upstream has ended. */
	QUARANTINE_SUSPECTED,
	/** It is in quarantine from now on. */
	QUARANTINE_BEGUN,
	/** It is no suspect any longer. */
	QUARANTINE_CLEARED,
	/** The table knows of a later clearance than the merged record. */
	QUARANTINE_OUTDATED,
};

/** Returns the entry of a digest, or null. */
struct quarantine_entry *quarantine_find(struct quarantine *q,
					 const struct prl_hash128 *digest);

/** Whether a suspect's digest without the body is this one. */
int quarantine_has_head(const struct quarantine *q, uint64_t head);

/** Decides about a request that is to be sent. */
enum quarantine_verdict quarantine_enter(struct quarantine *q,
					 const struct prl_hash128 *digest,
					 int64_t now);

/** Ends a request that was sent alone. */
void quarantine_leave(struct quarantine *q, const struct prl_hash128 *digest);

/** Whether a request may be sent again after an attempt at an upstream broke:
 * not if another upstream has ended under it before. */
int quarantine_may_retry(struct quarantine *q, const struct prl_hash128 *digest,
			 uint64_t upstream);

/** Notes that a start of an upstream has ended under a request. "about" may be
 * null. */
enum quarantine_change quarantine_crashed(struct quarantine *q,
					  const struct prl_hash128 *digest,
					  uint64_t head, uint64_t upstream,
					  const char *about, int64_t now);

/** Notes that an upstream has answered the request, or that an operator has
 * cleared it. */
enum quarantine_change quarantine_clear(struct quarantine *q,
					const struct prl_hash128 *digest,
					int64_t now);

/** Merges what another VM or the store says. */
enum quarantine_change quarantine_merge(struct quarantine *q,
					const struct quarantine_record *from,
					int64_t now);

/** Forgets suspects and clearances that are old, and clears requests that have
 * been in quarantine without being asked for. */
void quarantine_expire(struct quarantine *q, int64_t now);

/** Takes up to "max" records that other VMs are to be told. Returns their
 * number. */
int quarantine_take_news(struct quarantine *q, struct quarantine_record *out,
			 int max);

/** Copies up to "max" records of suspects, others with each call. Returns their
 * number. */
int quarantine_sample(struct quarantine *q, struct quarantine_record *out,
		      int max);

/** Whether the entry is in quarantine. */
int quarantine_is_active(const struct quarantine_entry *e);

/** Returns an entry of which a trial is due and asked for, or null. */
struct quarantine_entry *quarantine_due_trial(struct quarantine *q,
					      int64_t now);

/** Opens a trial: the next request is sent. "ntrial" counts it. */
void quarantine_open_trial(struct quarantine_entry *e, int ntrial, int64_t now);

/** Formats a digest as hexadecimal text. */
void quarantine_name_format(const struct prl_hash128 *digest,
			    char out[QUARANTINE_NAME_MAX]);

/** Reads a digest from a text. Returns 0, or -1 if it is none. */
int quarantine_name_parse(const char *text, struct prl_hash128 *out);

/** Formats a record as the value of an object of the store. The caller frees
 * it; null if out of memory. */
char *quarantine_record_format(const struct quarantine_record *r,
			       const char *about);

/** Reads a record from an object's name and value; "about" gets its text.
 * Returns PRL_OK or PRL_E_PROTOCOL. */
enum prl_code quarantine_record_parse(const char *name, const char *value,
				      struct quarantine_record *out,
				      char about[QUARANTINE_ABOUT_MAX],
				      struct prl_error *err);

#endif
