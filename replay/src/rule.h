#ifndef REPLAY_RULE_H
#define REPLAY_RULE_H

#include <primroselead/place.h>

struct world_vm;

/** A rule by which a VM chooses an upstream. */
struct rule {
	const char *name;
	/** Fills in the region, upstream and expected wait. Returns 1, or 0 if
	 * no upstream can take the request. */
	int (*choose)(struct world_vm *vm, const struct place_request *request,
		      struct place_decision *out);
};

/** All rules. The first is place_choose, which the product uses for routed
 * requests. */
extern const struct rule rules[];
extern const int nrules;

#endif
