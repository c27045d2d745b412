#ifndef PRIMROSELEADD_CLAIMS_H
#define PRIMROSELEADD_CLAIMS_H

#include <glib.h>
#include <primroselead/claim.h>
#include <primroselead/proxy.h>
#include <primroselead/store.h>
#include <primroselead/wire.h>

/*
 * Claims of idempotency keys: each is decided by the VM that owns its shard,
 * and written to the store there.
 */

struct control;

/**
 * A claim shard that this VM writes, and its store call; created when the first
 * claim is submitted to it here.
 */
struct shard {
	struct claim_shard claims;
	int index;
	struct store_call call;
	int calling;
	struct control *control;
};

struct claims {
	/** Takes struct proxy_claim from traffic threads. */
	struct mailbox mailbox;
	/** Member index of the owner by shard; 0 is this VM. */
	int *shard_owner;
	/** Table of all shards; null for those not used yet. */
	struct shard **shards;
	/** struct claim_waiter by id, and the last id assigned. */
	GHashTable *waiters;
	uint64_t last_waiter_id;
	/**
	 * Token bucket for writes of claims, in thousandths of a write, and the
	 * time of its last refill.
	 */
	int64_t write_credit_milli;
	int64_t write_refilled_ms;
	/**
	 * Number of shards that this VM owns, at least 1; its share of the
	 * write rate is proportional to it.
	 */
	int owned_shards;
	/** Due when a pending claim or outcome may be written. */
	struct loop_timer timer;
	/** Next shard in round-robin order. */
	int next_shard;
};

/**
 * Initializes the state without shards, except for the mailbox. Returns PRL_OK
 * or PRL_E_MEMORY.
 */
enum prl_code claims_init(struct control *c, struct prl_error *err);

/** Recomputes the owner of each shard from the membership. */
void claims_assign_owners(struct control *c);

/**
 * Handles a claim or an outcome from a traffic thread: forwards it to the
 * shard's owner, or submits it here.
 */
void claims_handle_local(void *ctx, void *item);

/**
 * Handles a claim or an outcome from another VM. A call with invalid arguments
 * gets no answer.
 */
void claims_handle_remote(struct control *c, const struct wire_request *r,
			  const struct wire_claim *w);

/** Cancels the pending calls to the store and frees the shards. */
void claims_finish(struct control *c);

#endif
