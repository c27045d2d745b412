#ifndef PRIMROSELEAD_LEDGER_H
#define PRIMROSELEAD_LEDGER_H

#include <primroselead/error.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A ledger says which VM holds how much of each region's capacity for one
 * service. It is one object of the store, changed by conditional update. A VM
 * writes its own rows; of another VM it may only scale down rows after the
 * capacity was lowered, or drop the rows of a VM that the platform has
 * destroyed. Nothing expires by a clock, so an outage of the store or a cut
 * between regions leaves every VM with what it has.
 */

#define LEDGER_NAME_MAX 64
#define LEDGER_POOLS_MAX 32

/** What one VM holds of one pool. */
struct ledger_row {
	char vm[LEDGER_NAME_MAX];
	/** Incarnation of the process that took it. */
	int64_t incarnation;
	int tokens;
};

/** The capacity of one region. */
struct ledger_pool {
	char region[LEDGER_NAME_MAX];
	/** Requests at once; the rows never sum to more. */
	int capacity;
	struct ledger_row *row;
	int nrow;
	int room;
};

/** All pools of one service. */
struct ledger {
	struct ledger_pool pool[LEDGER_POOLS_MAX];
	int npool;
};

/** Makes an empty ledger. */
void ledger_init(struct ledger *l);

/** Frees the rows. */
void ledger_finish(struct ledger *l);

/** Reads the JSON text of a ledger; every bound is checked. */
enum prl_code ledger_read(struct ledger *l, const char *text, size_t len,
			  struct prl_error *err);

/** Writes a ledger as JSON; the text is freed by the caller. Null if there is
 * no memory. */
char *ledger_write(const struct ledger *l);

/** Pool of a region, made if it is missing; null if the ledger is full. */
struct ledger_pool *ledger_pool(struct ledger *l, const char *region);

/** Row of a VM, or null. */
struct ledger_row *ledger_row(const struct ledger_pool *p, const char *vm);

/** Sum of all rows. */
int ledger_sum(const struct ledger_pool *p);

/**
 * Sets a VM's row, and removes it at 0 tokens. Refuses with PRL_E_LIMIT if
 * the sum would exceed the capacity.
 */
enum prl_code ledger_set(struct ledger_pool *p, const char *vm,
			 int64_t incarnation, int tokens,
			 struct prl_error *err);

/** Takes over a new capacity; if it is lower, scales every row down. */
void ledger_resize(struct ledger_pool *p, int capacity);

/** Drops a VM's row. */
void ledger_drop(struct ledger_pool *p, const char *vm);

/** Share of tokens usable under a capacity below that of the ledger. */
int ledger_scaled(int tokens, int ledger_capacity, int capacity);

/** What a VM bases its wish on. */
struct ledger_wish {
	/** Tokens of its own row. */
	int mine;
	/** Tokens that no row has. */
	int unused;
	int capacity;
	/** Active VMs in the pool's region, and in the whole fleet. */
	int local_vms;
	int all_vms;
	/** Whether this VM is in the pool's region. */
	int local;
	/** Greatest use since the last decision. */
	int peak;
	/** Requests refused since the last decision. */
	int64_t refused;
};

/** Tokens that a VM should hold; at most mine + unused. */
int ledger_plan(const struct ledger_wish *w);

#endif
