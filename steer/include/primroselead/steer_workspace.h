#ifndef PRIMROSELEAD_STEER_WORKSPACE_H
#define PRIMROSELEAD_STEER_WORKSPACE_H

#include <primroselead/hash.h>
#include <stdint.h>

/*
 * Workspaces of a view and the keys by which their callers are recognised.
 */

struct steer_view;

/** A workspace of the operators' manifest. */
struct steer_workspace {
	/** Hash of the name. */
	uint64_t id;
	/** Allocated with the view. */
	const char *name;
	/** Takes precedence over the route's; -1 if not given. */
	int priority;
	/** Bit mask of the regions that may serve it; 0 means all. */
	uint32_t region_mask;
	/** Home regions are given, and no VM or upstream is in any of them. */
	int is_homeless;
	/** Quota for all VMs together, in thousandths of a request per second
	 * and of a request; a rate of 0 means no limit. */
	int64_t rate_milli;
	int64_t burst_milli;
	/** Index of its quota's state in this process; STEER_NONE if there is
	 * none left for it. */
	int stats_index;
};

/** A key of a workspace. */
struct steer_key {
	struct prl_hash128 digest;
	/** Index of the workspace; STEER_NONE if several hold the key, which
	 * then identifies none. */
	int workspace;
};

/** Returns the workspace that holds a key, or null. */
const struct steer_workspace *
steer_find_workspace(const struct steer_view *v, const struct prl_hash128 *key);

/** Returns the workspace with an id, or null. */
const struct steer_workspace *
steer_find_workspace_by_id(const struct steer_view *v, uint64_t id);

#endif
