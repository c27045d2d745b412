#ifndef PRIMROSELEAD_GRANT_H
#define PRIMROSELEAD_GRANT_H

#include <primroselead/ledger.h>
#include <primroselead/semaphore.h>

/*
 * The capacity that one VM holds of one service, synchronized with the ledger
 * in the store. Tokens are used only after a write of this process has entered
 * them in the ledger, and their use stops before a write removes them. The
 * tokens used by all VMs together therefore never exceed the ledger, whichever
 * answers are lost. This package does no I/O and reads no clock: the caller
 * performs the action that grant_next_action returns and reports its result.
 * Times are in milliseconds of prl_now_ms.
 *
 * VMs lend each other tokens between two writes of the ledger. A loan is a part
 * of the lender's row. The borrower's term begins before it sends its request;
 * by the end of the term it has returned the loan or stops using it. The lender
 * reclaims a loan that was not returned only after the term, the borrower's
 * lease (the setting control.lease: how long a process may use capacity after
 * its control thread last ran) and the longest request have passed, so that no
 * token is used by both.
 */

/** Maximum number of loans of one pool, lent and borrowed together. */
#define GRANT_LOANS_MAX 8

/** Term of a loan, in milliseconds. */
#define GRANT_LOAN_TERM_MS 10000

/** State of a loan. */
enum grant_loan_state {
	GRANT_LOAN_NONE,
	GRANT_LOAN_LENT,
	GRANT_LOAN_BORROWED,
	/** Borrowed, but used for no new request; returned as soon as its
	 * tokens are free. */
	GRANT_LOAN_RETURNING,
};

/** One loan. */
struct grant_loan {
	enum grant_loan_state state;
	/** Chosen by the borrower at random. */
	uint64_t id;
	/** Name of the lender or the borrower, whichever is the other VM. */
	char peer[LEDGER_NAME_MAX];
	int tokens;
	/** Capacity of the pool when the loan was made, in tokens. */
	int base_capacity;
	/** When a lent loan is reclaimed, or the use of a borrowed one ends. */
	int64_t expires_ms;
};

/** A returned loan, to be reported to the lender "peer". */
struct grant_loan_return {
	uint64_t id;
	char pool_name[LEDGER_POOL_NAME_MAX];
	char peer[LEDGER_NAME_MAX];
};

/** What this VM holds of one pool. */
struct grant_pool {
	/** Name of the region, or "FROM>TO" for a link. */
	char name[LEDGER_POOL_NAME_MAX];
	/** The semaphore that requests acquire; owned by the caller. Its size
	 * is the tokens that may be used now. */
	struct limit_semaphore *semaphore;
	/** Capacity by this VM's configuration, in tokens, and the version of
	 * that configuration. */
	int capacity;
	int64_t config_version;
	/** Whether this VM is in the pool's region. */
	int is_local;
	/** Active VMs in the pool's region, and in the whole fleet. */
	int local_vms;
	int all_vms;
	/** Row of this process as last written, or as read since if that allows
	 * less. */
	int row_tokens;
	int row_base_capacity;
	/** Tokens of the row that this VM keeps, those it has lent included;
	 * lowered before a write that gives tokens up. */
	int retained_tokens;
	struct grant_loan loan[GRANT_LOANS_MAX];
	/** Capacity in the ledger, in tokens, and the version of the
	 * configuration that it is from. */
	int ledger_capacity;
	int64_t ledger_config_version;
	/** The semaphore's count of refusals when the row was last planned. */
	int64_t refused_seen;
};

/** What the caller has to do. */
enum grant_action {
	GRANT_IDLE,
	/** Read the ledger, then call grant_read_done or grant_store_failed. */
	GRANT_READ,
	/** Write "text" on condition that the ledger still has
	 * "expected_version", then call grant_write_done,
	 * grant_write_unsettled or grant_store_failed. */
	GRANT_WRITE,
};

/** A conditional write. The text belongs to the grant_set and is valid until
 * the next write. */
struct grant_write {
	/** 0 if the ledger must not exist yet. */
	int64_t expected_version;
	const char *text;
	size_t len;
};

/** Destroyed VMs whose last requests have ended, so that their rows may be
 * dropped. */
struct grant_destroyed {
	/** Names. */
	const char *const *vm;
	int n;
};

/** All pools of one service on one VM; the memory belongs to the caller. */
struct grant_set {
	char vm[LEDGER_NAME_MAX];
	int64_t incarnation;
	/** Until when requests of an earlier process may run. */
	int64_t predecessor_until_ms;
	struct grant_pool *pool;
	int npool;
	/** Pools that memory is allocated for. */
	int pool_alloc;
	/** Copy of the ledger, and the version that was read or written. */
	struct ledger ledger;
	int64_t version;
	/** The copy was read since the last failure or invalidation. */
	int loaded;
	/** The row in the store may differ from row_tokens and its base. */
	int row_uncertain;
	/** A read or write is in progress. */
	int call_pending;
	/** The call in progress is a read. */
	int read_pending;
	/** The read in progress began before grant_invalidate. */
	int discard_read;
	/** Earliest time of a read for tokens that others may have given back.
	 */
	int64_t starved_read_ms;
	/** Requests were refused before the last plan, and it found no tokens
	 * to add. */
	int starved;
	/** Time of the next periodic read, which finds rows that a late write
	 * of an earlier process has left. */
	int64_t check_read_ms;
	/** grant_release_all was called. */
	int leaving;
	/** Text of the last write. */
	char *text;
	/** Rows of destroyed VMs and of earlier processes that the last plan
	 * dropped. */
	int reclaimed_rows;
};

/** Starts without tokens. Requests of an earlier process of the same VM may run
 * at upstreams until predecessor_until_ms. */
void grant_init(struct grant_set *g, const char *vm, int64_t incarnation,
		int64_t predecessor_until_ms);

/** Frees the pools, the copy of the ledger and the text. */
void grant_finish(struct grant_set *g);

/** Finds the pool with a name or adds an empty one; null if there are
 * LEDGER_POOLS_MAX or no memory. Before any other call the caller sets the
 * semaphore, the capacity with its version, and the counts of VMs. The pointer
 * is valid until the next call. */
struct grant_pool *grant_get_pool(struct grant_set *g, const char *name);

/** Lowers the semaphores to what the current capacities allow. */
void grant_apply_capacity(struct grant_set *g);

/** Returns the next action, and fills in "w" for GRANT_WRITE. Lowers the
 * semaphores first, and before a write that gives tokens up. */
enum grant_action grant_next_action(struct grant_set *g, int64_t now_ms,
				    const struct grant_destroyed *destroyed,
				    struct grant_write *w);

/** Reports the ledger that was read; one that does not exist has version 0 and
 * no text. Returns PRL_OK, PRL_E_PROTOCOL if the text is not valid, or
 * PRL_E_MEMORY; on error the earlier copy stays. */
enum prl_code grant_read_done(struct grant_set *g, int64_t version,
			      const char *text, size_t len,
			      struct prl_error *err);

/** Reports that the write took effect and which version it produced. */
void grant_write_done(struct grant_set *g, int64_t version);

/** Reports that the result of the write is unknown: it may still take effect.
 */
void grant_write_unsettled(struct grant_set *g);

/** Reports that the read failed, or that the write certainly had no effect. */
void grant_store_failed(struct grant_set *g);

/** Requires a new read of the ledger; the result of a read in progress is
 * discarded. */
void grant_invalidate(struct grant_set *g);

/** Whether the ledger was read since the last invalidation or failure. */
int grant_is_valid(const struct grant_set *g);

/** Starts to give all tokens back, as the requests that use them end. */
void grant_release_all(struct grant_set *g);

/** Whether the ledger has no row of this VM left, those of earlier processes
 * included, and no loan is open. */
int grant_all_released(const struct grant_set *g);

/** A request for a loan, and its answer. */
struct grant_loan_terms {
	/** Chosen by the borrower at random; identifies the loan. */
	uint64_t id;
	char pool_name[LEDGER_POOL_NAME_MAX];
	/** Name of the other VM. */
	char peer[LEDGER_NAME_MAX];
	/** Tokens asked for, then tokens lent. */
	int tokens;
	/** Capacity of the pool when the loan was made, in tokens. */
	int base_capacity;
	/** Whether the borrower is in another region than the pool. */
	int is_remote;
};

/**
 * Lends free tokens, at most as many as asked for. Fills in the tokens, 0 if
 * none, and the base capacity. A repeated request with the same id gets the
 * same answer. The loan is reclaimed at expires_ms if it was not returned.
 */
void grant_lend(struct grant_set *g, struct grant_loan_terms *t,
		int64_t expires_ms);

/** Adds a borrowed loan to the pool until expires_ms. Returns 1, or 0 if the
 * loan is not valid, there are GRANT_LOANS_MAX already or this VM is leaving;
 * the caller must then return the loan. */
int grant_borrow(struct grant_set *g, const struct grant_loan_terms *t,
		 int64_t expires_ms);

/** Reports that a borrower has returned a loan. Unknown loans are ignored. */
void grant_loan_returned(struct grant_set *g, const char *pool_name,
			 uint64_t id);

/** Ends expired loans, starts to return borrowed ones that are unneeded or near
 * their end, and fills in at most "max" whose return is complete. Returns how
 * many. */
int grant_update_loans(struct grant_set *g, int64_t now_ms,
		       struct grant_loan_return *out, int max);

/** Name of another VM with a row in a pool, chosen by a random number; null if
 * there is none. Valid until the ledger is read or planned again. */
const char *grant_choose_lender(struct grant_set *g, const char *pool_name,
				uint64_t random);

#endif
