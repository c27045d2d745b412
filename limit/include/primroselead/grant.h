#ifndef PRIMROSELEAD_GRANT_H
#define PRIMROSELEAD_GRANT_H

#include <primroselead/ledger.h>
#include <primroselead/semaphore.h>

/*
 * What one VM holds of one service's capacity, kept in step with the ledger in
 * the store. Capacity is used only after a write of this process has shown it
 * in the ledger, and is given up here before a write takes it out, so the sum
 * over all VMs stays within the ledger at every moment, whatever answer is
 * lost. Pure: the caller does what grant_next says and reports the result.
 */

/*
 * Between two writes of the ledger VMs lend each other capacity. A loan is a
 * part of the lender's row. The borrower counts its term from before it asked,
 * and gives back or stops by itself; the lender takes an unreturned loan back
 * only after the term, the borrower's lease and its last request.
 */

/** Most loans of one pool, in both directions. */
#define GRANT_LOANS_MAX 8

/** Term of a loan, in milliseconds. */
#define GRANT_LOAN_TERM_MS 10000

/** Where a loan stands. */
enum grant_loan_state {
	GRANT_LOAN_NONE,
	GRANT_LOAN_LENT,
	GRANT_LOAN_BORROWED,
	/** Nothing new is taken from it; it goes back when it is free. */
	GRANT_LOAN_RETURNING,
};

/** One loan. */
struct grant_loan {
	enum grant_loan_state state;
	/** Given by the borrower; names the loan. */
	uint64_t id;
	/** The other VM's name. */
	char peer[LEDGER_NAME_MAX];
	int tokens;
	/** Capacity of the pool when it was lent. */
	int base_capacity;
	/** Lent: when it is taken back; borrowed: when its use ends. */
	int64_t expires_ms;
};

/** A loan that goes back; to be told to the lender. */
struct grant_loan_return {
	uint64_t id;
	char region[LEDGER_POOL_NAME_MAX];
	char peer[LEDGER_NAME_MAX];
};

/** One region's part. */
struct grant_pool {
	char region[LEDGER_POOL_NAME_MAX];
	/** What requests take their place from; owned by the caller. */
	struct limit_semaphore *semaphore;
	/** Capacity by the configuration in force, and its version. */
	int capacity;
	int64_t config_version;
	/** This VM is in the region. */
	int is_local;
	int local_vms;
	int all_vms;
	/** This process's row in the ledger, and its base. */
	int row_tokens;
	int row_base_capacity;
	/** Part of the row that is not to be given up, loans included. */
	int retained_tokens;
	struct grant_loan loan[GRANT_LOANS_MAX];
	/** Capacity that the ledger shares out, and its configuration. */
	int ledger_capacity;
	int64_t ledger_config_version;
	int64_t refused_seen;
};

/** What the caller has to do. */
enum grant_action {
	GRANT_IDLE,
	/** Read the ledger; then grant_read or grant_failed. */
	GRANT_READ,
	/** Write "text" if the ledger has "version"; then grant_written,
	 * grant_unsettled or grant_failed. */
	GRANT_WRITE,
};

/** A write that is to be made; the text belongs to the grant. */
struct grant_write {
	int64_t expected_version;
	const char *text;
	size_t len;
};

/** VMs whose capacity may be used by others: destroyed, and their last
 * requests are over. */
struct grant_destroyed {
	const char *const *vm;
	int n;
};

/** One service's capacity on one VM; the memory belongs to the caller. */
struct grant_set {
	char vm[LEDGER_NAME_MAX];
	int64_t incarnation;
	/** Until when an earlier process's requests may run. */
	int64_t predecessor_until_ms;
	struct grant_pool *pool;
	int npool;
	int pool_alloc;
	struct ledger ledger;
	int64_t version;
	/** The ledger was read and no write has failed since. */
	int loaded;
	/** The store may hold a row that differs from this VM's. */
	int row_uncertain;
	int call_pending;
	int read_pending;
	/** The read under way began before the ledger was doubted. */
	int discard_read;
	/** When the ledger is read again for the sake of capacity that others
	 * may have given back. */
	int64_t starved_read_ms;
	/** Requests were refused and nothing was unused. */
	int starved;
	/** When the ledger is read in any case, for rows that a last write of
	 * an earlier process may have left late. */
	int64_t check_read_ms;
	int leaving;
	char *text;
	/** Rows of destroyed VMs dropped by the last write. */
	int reclaimed_rows;
};

/**
 * Starts with nothing. An earlier process of the same VM may have requests at
 * upstreams until the given point of prl_now_ms.
 */
void grant_init(struct grant_set *g, const char *vm, int64_t incarnation,
		int64_t inherit_until);

/** Frees what the grant holds. */
void grant_finish(struct grant_set *g);

/** Pool of a region, made if it is missing; null if there are too many or no
 * memory. The caller sets its hold, capacity and counts of VMs. The pointer is
 * good until the next call. */
struct grant_pool *grant_get_pool(struct grant_set *g, const char *region);

/** Lowers what requests may take to what the configuration allows now. */
void grant_apply_capacity(struct grant_set *g);

/** Says what is to be done now. */
enum grant_action grant_next_action(struct grant_set *g, int64_t now,
				    const struct grant_destroyed *gone,
				    struct grant_write *w);

/** The ledger was read; a missing one has version 0 and no text. */
enum prl_code grant_read_done(struct grant_set *g, int64_t version,
			      const char *text, size_t len,
			      struct prl_error *err);

/** The write took effect. */
void grant_write_done(struct grant_set *g, int64_t version);

/** The answer to the write was lost: it may take effect yet. */
void grant_write_unsettled(struct grant_set *g);

/** The read failed, or the write certainly had no effect. */
void grant_store_failed(struct grant_set *g);

/** The ledger must be read before its capacity is trusted again. */
void grant_invalidate(struct grant_set *g);

/** Whether the ledger has been read since it was doubted. */
int grant_is_valid(const struct grant_set *g);

/** Gives everything back, as requests end. */
void grant_release_all(struct grant_set *g);

/** Whether everything has been given back. */
int grant_all_released(const struct grant_set *g);

/** What a borrower asks for, and what it gets. */
struct grant_loan_terms {
	uint64_t id;
	char region[LEDGER_POOL_NAME_MAX];
	char peer[LEDGER_NAME_MAX];
	int tokens;
	int base_capacity;
	/** The borrower is in another region than the pool. */
	int is_remote;
};

/**
 * Lends at most the tokens asked for, if they are free; "until" is when the
 * loan is taken back if it was not returned. Asked again with the same id, the
 * answer is the same. Fills in tokens, 0 if none, and their base.
 */
void grant_lend(struct grant_set *g, struct grant_loan_terms *t, int64_t until);

/** Takes a loan into use until a time. Returns 1, or 0 if there is no place
 * for it; it must then be returned. */
int grant_borrow(struct grant_set *g, const struct grant_loan_terms *t,
		 int64_t until);

/** A borrower has returned a loan. */
void grant_loan_returned(struct grant_set *g, const char *region, uint64_t id);

/** Ends loans that are due and begins to return idle ones. Fills those that go
 * back now and returns how many. */
int grant_update_loans(struct grant_set *g, int64_t now,
		       struct grant_loan_return *out, int max);

/** Another VM with a row in a region's pool, chosen by a random number; null
 * if there is none. */
const char *grant_choose_lender(struct grant_set *g, const char *region,
				uint64_t random);

#endif
