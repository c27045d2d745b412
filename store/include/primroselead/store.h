#ifndef PRIMROSELEAD_STORE_H
#define PRIMROSELEAD_STORE_H

#include <primroselead/address.h>
#include <primroselead/fetch.h>
#include <primroselead/receiver.h>
#include <primroselead/version.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum size of an object's value in bytes. */
#define STORE_VALUE_MAX (1 << 20)

/** Size of a key, "KIND/NAME", including the terminating null byte. */
#define STORE_KEY_MAX 160

/** Prefix of the configuration objects. Every VM has a replica of them. */
#define STORE_PREFIX_CONFIG "steer/"

/** Services by name. The value is the service file with its publication
 * header. */
#define STORE_PREFIX_SERVICE "steer/services/"

/** The platform's list of VMs, by name. */
#define STORE_PREFIX_VM "steer/vms/"

/** Progress of traffic shifts, by service. */
#define STORE_PREFIX_SHIFT "steer/shifts/"

/** Ledgers of capacity, by service. */
#define STORE_PREFIX_GRANT "grants/"

/** Claim logs, by shard and slot. Each shard is a kind of its own. */
#define STORE_PREFIX_CLAIM "claims-"

/** Entry VMs that registered themselves, by name. */
#define STORE_KIND_VM "entry-vms"

/** Requests in quarantine, by digest. */
#define STORE_KIND_QUARANTINE "quarantine"

/** Operation of a call. */
enum store_op {
	/** Reads one object by key. */
	STORE_GET,
	/** Creates, replaces or removes one object if its current version is
	 * the expected one; an empty value removes it. */
	STORE_PUT,
	/** Reads all objects of the key's kind. */
	STORE_LIST,
	/** Long poll: reads the objects of the key's kind that changed after a
	 * revision; a removed object has an empty value. */
	STORE_WATCH,
};

/** An object. The key is "KIND/NAME". The version (see version.h) is that of
 * the object's last change; 0 means that the object does not exist. */
struct store_object {
	char key[STORE_KEY_MAX];
	int64_t version;
	char *value;
	size_t len;
};

/** A call and its result; the caller owns the memory and sets the fields up to
 * "ctx". */
struct store_call {
	enum store_op op;
	char key[STORE_KEY_MAX];
	/** PUT: expected current version, 0 to create the object. WATCH:
	 * version up to which changes are known. */
	int64_t version;
	/** PUT: new value; must stay valid until the call is done. */
	const char *value;
	size_t len;
	/** Time of prl_now_ms at which the call fails. */
	int64_t deadline_ms;
	/** Called once from the loop, unless the call is cancelled. */
	void (*done)(struct store_call *c);
	void *ctx;

	/**
	 * Result of the call:
	 * PRL_OK,
	 * PRL_E_NOT_FOUND (the object does not exist),
	 * PRL_E_CONFLICT (PUT: the version was not current; not written),
	 * PRL_E_STALE (WATCH: the history is gone; LIST: the store returned
	 * from a copy between two pages; list again),
	 * PRL_E_STORE_DOWN (PUT: not written),
	 * PRL_E_UNSETTLED (PUT: may or may not have been written),
	 * PRL_E_PROTOCOL (not PUT: the response is not valid) or PRL_E_MEMORY.
	 */
	struct prl_error err;
	/** Objects read; store_call_finish frees them. */
	struct store_object *object;
	int nobject;
	/** PUT: the new version, or after a conflict the current one, 0 if the
	 * response does not contain it. Other operations: the version of the
	 * store that the result reflects. */
	int64_t revision;

	/* Private to the client. */
	struct store *store;
	struct fetch fetch;
	struct curl_slist *headers;
	/** Era that the response named; 0 if none. */
	int64_t era;
	struct receiver answer;
	char *request_body;
	/** The list continues on another page, after this name. */
	int has_more;
	char *after;
	int active;
	/** The request may have reached the store. */
	int issued;
};

/** A client of the platform's object API. */
struct store {
	struct fetch_pool *pool;
	char address[PRL_ADDRESS_MAX];
	/** Highest era that the store has named; 0 if it names none. It rises
	 * each time that the store returns from a copy, without what was
	 * written since. */
	int64_t era;
	/** Called when the era rises; may be null. */
	void (*on_era)(struct store *s, int64_t previous);
	void *ctx;
	/** Number of requests sent, by enum store_op, for metrics; a list may
	 * take several. */
	uint64_t requests_sent[STORE_WATCH + 1];
};

/** Initializes a client of the store at an address "host:port". */
void store_init(struct store *s, struct fetch_pool *pool, const char *address);

/** Notes an era that a response or another VM names; an earlier one than the
 * last is ignored. */
void store_note_era(struct store *s, int64_t era);

/**
 * Starts a call. Returns PRL_OK; the callback "done" then runs later from the
 * loop. Returns PRL_E_MEMORY, PRL_E_IO, or PRL_E_LIMIT if the value of a PUT is
 * not valid UTF-8; "done" is then not called.
 */
enum prl_code store_call_start(struct store *s, struct store_call *c,
			       struct prl_error *err);

/** Cancels a call and frees what it holds; "done" is not called. Does nothing
 * if the call is not active. */
void store_call_cancel(struct store_call *c);

/** Frees the result of a finished call, which may then be started again. */
void store_call_finish(struct store_call *c);

/** Starts a call and runs the loop until it is done; for the command line tool.
 * Sets "done" and "ctx". Returns the call's result. */
enum prl_code store_call_wait(struct store *s, struct loop *l,
			      struct store_call *c);

#endif
