#ifndef REPLAY_RULE_H
#define REPLAY_RULE_H

#include <primroselead/place.h>

struct world_vm;

/** How a VM chooses an upstream. */
struct rule {
	const char *name;
	int (*choose)(struct world_vm *vm, const struct place_request *ask,
		      struct place_decision *out);
};

/** All rules; that of routed requests is the first. */
extern const struct rule rules[];
extern const int nrules;

#endif
