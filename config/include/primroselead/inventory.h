#ifndef PRIMROSELEAD_INVENTORY_H
#define PRIMROSELEAD_INVENTORY_H

#include <primroselead/config.h>
#include <primroselead/fleet.h>

/*
 * What one VM knows of the platform's objects: the manifest in force, the
 * upstreams and the evacuated failure domains. The inventory decides which
 * upstreams may be used. It does no I/O and reads no clock: "now" and
 * the times named "..._ms" in this header are times of prl_now_ms, passed in by
 * the caller.
 */

/** An upstream's latest entry and the state that this VM keeps about it. */
struct inventory_upstream {
	struct fleet_upstream entry;
	/** The upstream is treated as cold until this time. */
	int64_t cold_until_ms;
	/** No requests are sent until this time, 0 if never paused. Set when
	 * the upstream was found to be cold after it had been sent requests
	 * at its full rate, or when another upstream of its failure domain
	 * was found to be cold and this one has not reported since. */
	int64_t paused_until_ms;
	/** The upstream's rate limit for all VMs together, in thousandths of a
	 * request per second, and until when it is taken to hold; 0 if it names
	 * none. */
	int64_t limit_milli;
	int64_t limited_until_ms;
	/** No requests are sent until this time, since the upstream got more
	 * than its limit before that was known. */
	int64_t limit_resumes_ms;
	/** When it was last known to name the limit. */
	int64_t limit_named_ms;
	/** A response of the upstream said that it leaves, which its entry may
	 * not say. */
	int said_leaving;
	/** The upstream wants no requests from this VM until this time. */
	int64_t closed_until_ms;
	/** Time at which an upstream whose entry is missing is removed. The
	 * entry may only have expired while the store was down. PRL_NEVER
	 * while the entry exists. */
	int64_t remove_at_ms;
};

/** The last known entry of an upstream that was removed. */
struct inventory_departed {
	int64_t started_ms;
	int64_t sequence;
	int64_t forget_at_ms;
};

/** State of the platform's objects; used by the control thread only. */
struct inventory {
	/** Workspaces are sorted by the hash of their names. */
	struct fleet_manifest manifest;
	/** Keys of the manifest's workspaces, sorted by digest. */
	struct steer_key *key;
	int nkey;
	/** struct inventory_upstream by instance name. */
	GHashTable *upstreams;
	/** struct inventory_departed by instance name. */
	GHashTable *departed;
	/** By name of an evacuated failure domain, the time (int64_t) at which
	 * the evacuation ends; PRL_NEVER while its object exists. */
	GHashTable *evacuated_domains;
	/** Region names by failure domain name. */
	GHashTable *region_by_domain;
	/** Set once the initial list of upstreams is complete. A start of an
	 * upstream that is first seen later has just happened, so the upstream
	 * is cold. */
	int list_complete;
};

/** Makes an empty inventory. */
void inventory_init(struct inventory *inv);

void inventory_finish(struct inventory *inv);

/** Sets the region of a failure domain. Upstreams in domains without a region
 * are not used. */
void inventory_set_domain_region(struct inventory *inv, const char *domain,
				 const char *region);

/** Installs a manifest and takes ownership of it. Returns PRL_OK, or
 * PRL_E_STALE if it is not newer than the one in force; "m" is then freed. */
enum prl_code inventory_install_manifest(struct inventory *inv,
					 struct fleet_manifest *m,
					 struct prl_error *err);

/** Adds or updates an upstream. Returns PRL_OK, or PRL_E_STALE if a later
 * start of the upstream, or a higher sequence number of the same start, is
 * already known, or if the upstream was removed and the entry is not newer than
 * its last one: a store that returns from a copy has such entries. An entry
 * that is known and read again changes nothing. */
enum prl_code inventory_update_upstream(struct inventory *inv,
					const struct fleet_upstream *entry,
					int64_t now, struct prl_error *err);

/** Schedules the removal of an upstream whose entry is missing or not valid.
 * The upstream may be used until "remove_at_ms". Returns 1 if the upstream is
 * known, else 0. */
int inventory_schedule_removal(struct inventory *inv, const char *instance,
			       int64_t remove_at_ms);

/**
 * Handles an upstream's own report that it is cold until "cold_until_ms", where
 * its entry did not say so. If the upstream was warm so far, pauses it, and all
 * warm upstreams of its failure domain until each can have been probed, since
 * the upstreams of a domain often become cold together. Returns 1 if the report
 * extends the known cold time, else 0.
 */
int inventory_report_cold(struct inventory *inv, const char *instance,
			  int64_t cold_until_ms, int64_t now);

/** Names one start of an upstream. */
struct inventory_upstream_key {
	const char *instance;
	/** As in the view. */
	uint64_t upstream_id;
};

/**
 * Notes that an upstream named a rate limit in a response, in thousandths of a
 * request per second, or no limit any longer (negative). A response without a
 * limit ends it only if its request was sent, at "sent_ms", after the limit was
 * last named, as responses may come out of order. Returns 1 if the limit
 * changed, else 0.
 */
int inventory_report_limit(struct inventory *inv,
			   const struct inventory_upstream_key *key,
			   int64_t limit_milli, int64_t sent_ms, int64_t now);

/** Notes that an upstream said in a response that it leaves; that holds until
 * it is started again. Returns 1 if that was not known, else 0. */
int inventory_report_leaving(struct inventory *inv,
			     const struct inventory_upstream_key *key);

/** Notes that an upstream wants no requests from this VM until a time. Returns
 * 1 if that extends the known time, else 0. */
int inventory_report_closed(struct inventory *inv,
			    const struct inventory_upstream_key *key,
			    int64_t closed_until_ms);

/** Whether the inventory has this start of an upstream. */
int inventory_has_start(struct inventory *inv,
			const struct inventory_upstream_key *key);

/** Marks a failure domain as evacuated ("on" is 1) or as back in use. The
 * upstreams of a domain that comes back are treated as cold. */
void inventory_set_evacuated(struct inventory *inv, const char *domain, int on,
			     int64_t now);

/** Ends the evacuation of a failure domain at "end_ms", unless it is evacuated
 * again before. */
void inventory_schedule_evacuation_end(struct inventory *inv,
				       const char *domain, int64_t end_ms);

/** Removes upstreams whose removal time has passed, and ends evacuations whose
 * end has. Returns 1 if there was any, else 0. */
int inventory_remove_expired(struct inventory *inv, int64_t now);

/**
 * Builds a view with the given entry VMs; "self" is the id of this VM. Returns
 * null while no manifest is in force or the initial list of upstreams is not
 * complete.
 */
struct steer_view *inventory_build_view(const struct inventory *inv,
					struct config_builder *b,
					const struct steer_vm *vm, int nvm,
					uint64_t self, int64_t now);

#endif
