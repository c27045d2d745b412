#ifndef PRIMROSELEAD_LEDGER_H
#define PRIMROSELEAD_LEDGER_H

#include <primroselead/error.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The ledger of a service records how much capacity each VM holds of each
 * region, and of each link between regions. It is one object of the store,
 * changed by conditional update. Capacity is counted in tokens: one concurrent
 * request of a region, or 1 Mbit/s of a link.
 *
 * A process writes only its own row. It also drops the rows of earlier
 * processes of its VM and of VMs that the platform has destroyed, once their
 * requests have ended. No row expires by time, so during a store outage or a
 * network partition between regions every VM keeps what it has.
 *
 * A row stands for a share of the pool: its tokens divided by its base
 * capacity, which is the pool's capacity when the row was written. The shares
 * sum to at most 1. After a change of the capacity each VM can therefore
 * compute how much of its row it may use, even if the other rows have not been
 * written again.
 */

/** Size of a VM name, including the terminating null byte. */
#define LEDGER_NAME_MAX 64

/** Size of a pool name, including the terminating null byte: a region, or two
 * regions joined by '>' for a link. */
#define LEDGER_POOL_NAME_MAX 132

/** Maximum number of pools of one service: its regions and the links between
 * them. */
#define LEDGER_POOLS_MAX 64

/** What one process holds of one pool. */
struct ledger_row {
	char vm[LEDGER_NAME_MAX];
	/** Distinguishes the processes of a VM; later ones have higher numbers.
	 */
	int64_t incarnation;
	int tokens;
	/** Capacity of the pool when the row was written, in tokens. */
	int base_capacity;
};

/** The capacity of one region, or of one link. */
struct ledger_pool {
	/** Name of the region, or "FROM>TO" for a link. */
	char name[LEDGER_POOL_NAME_MAX];
	/** In tokens. */
	int capacity;
	/** Version of the configuration that the capacity is from. */
	int64_t config_version;
	struct ledger_row *row;
	int nrow;
	/** Rows that memory is allocated for. */
	int row_alloc;
};

/** All pools of one service. */
struct ledger {
	struct ledger_pool *pool;
	int npool;
	/** Pools that memory is allocated for. */
	int pool_alloc;
};

/** Makes an empty ledger. */
void ledger_init(struct ledger *l);

/** Frees the pools and their rows. */
void ledger_finish(struct ledger *l);

/** Parses the JSON text of a ledger into an uninitialized one. Returns PRL_OK,
 * PRL_E_PROTOCOL if the text is not valid, or PRL_E_MEMORY; on error the ledger
 * is empty. */
enum prl_code ledger_parse(struct ledger *l, const char *text, size_t len,
			   struct prl_error *err);

/** Formats a ledger as JSON. The caller frees the text; null if there is no
 * memory. */
char *ledger_format(const struct ledger *l);

/** Finds the pool with a name or adds an empty one; null if the ledger is full
 * or there is no memory. The pointer is valid until the next call. */
struct ledger_pool *ledger_get_pool(struct ledger *l, const char *name);

/** Row of a process, or null. */
struct ledger_row *ledger_find_row(const struct ledger_pool *p, const char *vm,
				   int64_t incarnation);

/** Tokens of the pool's capacity that no row covers. */
int ledger_unallocated(const struct ledger_pool *p);

/**
 * Sets the tokens of a process's row, with the pool's capacity as the new base;
 * 0 tokens remove the row. Returns PRL_OK, PRL_E_MEMORY, or PRL_E_LIMIT if the
 * rows together would exceed the capacity.
 */
enum prl_code ledger_set_row(struct ledger_pool *p, const char *vm,
			     int64_t incarnation, int tokens,
			     struct prl_error *err);

/** Removes the rows of a VM's processes with an incarnation lower than
 * "before". Returns how many were removed. */
int ledger_drop_rows(struct ledger_pool *p, const char *vm, int64_t before);

/** Tokens of a row that may be used at a capacity: all of them, or fewer in
 * proportion if the capacity is below the row's base, rounded down. */
int ledger_scale_tokens(int tokens, int base_capacity, int capacity);

/** What the size of a VM's row is computed from. */
struct ledger_demand {
	/** Usable tokens of the VM's own row. */
	int own_tokens;
	/** Tokens that no row covers. */
	int unallocated;
	/** Capacity of the pool, in tokens. */
	int capacity;
	/** Active VMs in the pool's region, and in the whole fleet. */
	int local_vms;
	int all_vms;
	/** Whether this VM is in the pool's region. */
	int is_local;
	/** Requests refused since the last computation; does not change the
	 * size. */
	int64_t refused;
};

/** Tokens that a VM's row should have: its even split of the capacity, at most
 * own_tokens + unallocated. */
int ledger_plan_tokens(const struct ledger_demand *d);

#endif
