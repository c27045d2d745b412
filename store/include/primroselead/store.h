#ifndef PRIMROSELEAD_STORE_H
#define PRIMROSELEAD_STORE_H

#include <primroselead/address.h>
#include <primroselead/fetch.h>
#include <stddef.h>
#include <stdint.h>

/** Largest value of an object, in bytes. */
#define STORE_VALUE_MAX (1 << 20)

/** Size of an object's key, its end included. */
#define STORE_KEY_MAX 160

/** Keys that hold configuration; every VM holds a copy of all of them. */
#define STORE_PREFIX_CONFIG "steer/"

/** Services, by name; the value is the service file. */
#define STORE_PREFIX_SERVICE "steer/services/"

/** The platform's list of VMs, by name. */
#define STORE_PREFIX_VM "steer/vms/"

/** Progress of shifts, by service. */
#define STORE_PREFIX_SHIFT "steer/shifts/"

/** Ledgers of capacity, by service. */
#define STORE_PREFIX_GRANT "grants/"

/** Logs of claims, by shard and slot; a kind for each shard. */
#define STORE_PREFIX_CLAIM "claims-"

/** Entry VMs that registered themselves, by name. */
#define STORE_KIND_VM "entry-vms"

/** What a call asks of the store. */
enum store_op {
	/** One object by key. */
	STORE_GET,
	/** Conditional update of one object; an empty value removes it. */
	STORE_PUT,
	/** All objects of the key's kind. */
	STORE_LIST,
	/** As list, those changed after a revision, a removed one with an
	 * empty value; waits for a change. */
	STORE_WATCH,
};

/** One object. The key is its kind, a slash, and its name. Versions are
 * revisions of the store; 0 means none. */
struct store_object {
	char key[STORE_KEY_MAX];
	int64_t version;
	char *value;
	size_t len;
};

/** One call and, when it is done, its result; the caller owns the memory. */
struct store_call {
	enum store_op op;
	char key[STORE_KEY_MAX];
	/** PUT: version that must be current; WATCH: revision already seen. */
	int64_t version;
	/** PUT: new value, kept by the caller until done. */
	const char *value;
	size_t len;
	/** Point of prl_now_ms at which the call fails. */
	int64_t deadline_ms;
	/** Called once, unless the call is cancelled. */
	void (*done)(struct store_call *c);
	void *ctx;

	/** PRL_OK, PRL_E_NOT_FOUND, PRL_E_CONFLICT (PUT: nothing written),
	 * PRL_E_STALE (WATCH: list again), PRL_E_STORE_DOWN (PUT: certainly
	 * nothing written) or PRL_E_UNSETTLED (PUT: may have been written). */
	struct prl_error err;
	/** Objects read; freed by store_call_finish. */
	struct store_object *object;
	int nobject;
	/** PUT: the new version, or at a conflict the current one, 0 if the
	 * answer did not say; else the revision that the answer shows. */
	int64_t revision;

	/* The rest belongs to the client. */
	struct store *store;
	struct fetch fetch;
	struct curl_slist *headers;
	char *response;
	size_t response_len;
	char *request_body;
	int has_more;
	int active;
	int issued;
};

/** A client of the platform's object API. */
struct store {
	struct fetch_pool *pool;
	char address[PRL_ADDRESS_MAX];
	/** Calls begun, by kind; for metrics. */
	uint64_t calls[STORE_WATCH + 1];
};

/** Makes a client that uses the loop's transfers. */
void store_init(struct store *s, struct fetch_pool *pool, const char *address);

/**
 * Begins a call whose public fields are set. The result comes by done, later
 * and from the loop. Returns PRL_E_MEMORY or PRL_E_IO, without a call of done,
 * if it can't be begun.
 */
enum prl_code store_call_start(struct store *s, struct store_call *c,
			       struct prl_error *err);

/** Ends a call without a result. */
void store_call_cancel(struct store_call *c);

/** Frees what a finished call holds; it may then be used again. */
void store_call_finish(struct store_call *c);

/** Runs a call to its end in a loop of its own; for the command. */
enum prl_code store_call_wait(struct store *s, struct loop *l,
			      struct store_call *c);

#endif
