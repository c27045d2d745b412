#ifndef PRIMROSELEAD_LEDGER_H
#define PRIMROSELEAD_LEDGER_H

#include <primroselead/error.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A ledger says which VM holds how much of each region's capacity for one
 * service. It is one object of the store, changed by conditional update. A
 * process writes its own row alone; it drops rows of an earlier process of its
 * VM, and of VMs that the platform has destroyed, once their requests are
 * over. Nothing else expires by a clock, so an outage of the store or a cut
 * between regions leaves every VM with what it has.
 *
 * A row is a share of the capacity at which it was written, its base. The
 * shares sum to one at most, so that after a change of the capacity every VM
 * can tell by itself how much of its row it may use, whether or not the others
 * have written their rows anew.
 */

/** Size of a name, and of two joined by a sign for a link. */
#define LEDGER_NAME_MAX 64
#define LEDGER_POOL_NAME_MAX 132

/** Most pools of one service: its regions and the links between them. */
#define LEDGER_POOLS_MAX 64

/** What one process holds of one pool. */
struct ledger_row {
	char vm[LEDGER_NAME_MAX];
	int64_t incarnation;
	int tokens;
	/** Capacity of the pool when the row was written. */
	int base_capacity;
};

/** The capacity of one region, or of a link as "FROM>TO". */
struct ledger_pool {
	char region[LEDGER_POOL_NAME_MAX];
	/** Requests at once, or Mbit/s. */
	int capacity;
	/** Version of the configuration that the capacity is from. */
	int64_t config_version;
	struct ledger_row *row;
	int nrow;
	int row_alloc;
};

/** All pools of one service. */
struct ledger {
	struct ledger_pool *pool;
	int npool;
	int pool_alloc;
};

/** Makes an empty ledger. */
void ledger_init(struct ledger *l);

/** Frees the rows. */
void ledger_finish(struct ledger *l);

/** Reads the JSON text of a ledger; every bound is checked. */
enum prl_code ledger_parse(struct ledger *l, const char *text, size_t len,
			   struct prl_error *err);

/** Writes a ledger as JSON; the text is freed by the caller. Null if there is
 * no memory. */
char *ledger_format(const struct ledger *l);

/** Pool of a region, made if it is missing; null if the ledger is full or there
 * is no memory. Good until the next call. */
struct ledger_pool *ledger_get_pool(struct ledger *l, const char *region);

/** Row of a process, or null. */
struct ledger_row *ledger_find_row(const struct ledger_pool *p, const char *vm,
				   int64_t incarnation);

/** Tokens that no row has a share in, at the pool's capacity. */
int ledger_unallocated(const struct ledger_pool *p);

/**
 * Writes a process's row anew at the pool's capacity; at 0 tokens it is
 * removed. Returns PRL_OK, PRL_E_MEMORY, or PRL_E_LIMIT if the shares would
 * sum to more than the whole.
 */
enum prl_code ledger_set_row(struct ledger_pool *p, const char *vm,
			     int64_t incarnation, int tokens,
			     struct prl_error *err);

/** Drops the rows of a VM's processes before an incarnation. Returns how many
 * there were. */
int ledger_drop_rows(struct ledger_pool *p, const char *vm, int64_t before);

/** Tokens of a row that may be used at a capacity. */
int ledger_scale_tokens(int tokens, int base, int capacity);

/** What a VM bases its wish on. */
struct ledger_demand {
	/** Tokens of its own row. */
	int own_tokens;
	/** Tokens that no row has. */
	int unallocated;
	int capacity;
	/** Active VMs in the pool's region, and in the whole fleet. */
	int local_vms;
	int all_vms;
	/** Whether this VM is in the pool's region. */
	int is_local;
	/** Requests refused since the last decision. */
	int64_t refused;
};

/** Tokens that a VM should hold; at most mine + unused. */
int ledger_plan_tokens(const struct ledger_demand *w);

#endif
