#ifndef PRIMROSELEAD_INVENTORY_H
#define PRIMROSELEAD_INVENTORY_H

#include <primroselead/config.h>
#include <primroselead/fleet.h>

/*
 * What one VM knows from the platform's objects: the manifest in force, the
 * upstreams, the evacuated domains. Decides which of them count; pure, the
 * caller passes the time in.
 */

/** An upstream and what this VM noted about it. */
struct inventory_upstream {
	struct fleet_upstream entry;
	/** Point of prl_now_ms until which it is taken as cold. */
	int64_t cold_until_ms;
	/** Point until which it is sent nothing: its coldness was found late,
	 * and what it got before counts; or another one of its domain turned
	 * cold and this one has not been heard since. */
	int64_t paused_until_ms;
	/** When it is to be taken as gone although its entry is missing only
	 * because it lapsed in an outage; PRL_NEVER while the entry is there.
	 */
	int64_t remove_at_ms;
};

/** All of it; belongs to the control thread. */
struct inventory {
	struct fleet_manifest manifest;
	/** By instance. */
	GHashTable *upstreams;
	/** Failure domains that are evacuated. */
	GHashTable *evacuated_domains;
	/** Regions by failure domain. */
	GHashTable *region_by_domain;
	/** What is known is whole; upstreams that come later have just
	 * started. */
	int list_complete;
};

/** Starts knowing nothing but the regions of the failure domains. */
void inventory_init(struct inventory *k);

/** Frees everything. */
void inventory_finish(struct inventory *k);

/** Notes the region of a failure domain. */
void inventory_set_domain_region(struct inventory *k, const char *domain,
				 const char *region);

/** Takes over a manifest. Returns PRL_OK, or PRL_E_STALE if it isn't newer
 * than the one in force, which then stays; the new one is freed. */
enum prl_code inventory_install_manifest(struct inventory *k,
					 struct fleet_manifest *m,
					 struct prl_error *err);

/** Takes in an upstream's entry. Returns PRL_OK, or PRL_E_STALE if an entry of
 * a later start, or a later one of the same start, is known. */
enum prl_code inventory_update_upstream(struct inventory *k,
					const struct fleet_upstream *said,
					int64_t now, struct prl_error *err);

/** An entry is gone, or can't be read; its upstream may be used until
 * "gone_at". Returns 1 if an upstream was known by it. */
int inventory_remove_upstream(struct inventory *k, const char *instance,
			      int64_t gone_at);

/** An upstream itself said that it is cold until then, which the store did not
 * tell: it rests for a while. Those of a domain often turn cold together, so
 * the others of its domain rest until they can have been asked. Returns 1 if
 * that is news. */
int inventory_report_cold(struct inventory *k, const char *instance,
			  int64_t cold_until, int64_t now);

/** A failure domain is evacuated, or taken back. */
void inventory_set_evacuated(struct inventory *k, const char *domain, int on,
			     int64_t now);

/** Forgets upstreams whose time is over. Returns 1 if there were any. */
int inventory_remove_expired(struct inventory *k, int64_t now);

/**
 * Builds a view from it, with the given entry VMs; "self" is the id of this
 * VM. Null while no manifest is in force or no upstreams were listed.
 */
struct steer_view *inventory_build_view(const struct inventory *k,
					struct config_builder *b,
					const struct steer_vm *vm, int nvm,
					uint64_t self, int64_t now);

#endif
