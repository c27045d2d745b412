/* Generated from schema/def/service.def; do not edit. */
#ifndef PRIMROSELEAD_SERVICE_H
#define PRIMROSELEAD_SERVICE_H

#include <primroselead/schema.h>
#include <stdint.h>

/** Values of service.choice. */
enum prl_service_choice {
	PRL_SERVICE_CHOICE_RANDOM = 0,
	PRL_SERVICE_CHOICE_ROUND_ROBIN = 1,
	PRL_SERVICE_CHOICE_LEAST_OUTSTANDING = 2,
	PRL_SERVICE_CHOICE_POWER_OF_TWO = 3,
	PRL_SERVICE_CHOICE_PROBE = 4,
};

/** Values of never_twice.method. */
enum prl_never_twice_method {
	PRL_NEVER_TWICE_METHOD_GET = 0,
	PRL_NEVER_TWICE_METHOD_HEAD = 1,
	PRL_NEVER_TWICE_METHOD_POST = 2,
	PRL_NEVER_TWICE_METHOD_PUT = 3,
	PRL_NEVER_TWICE_METHOD_DELETE = 4,
	PRL_NEVER_TWICE_METHOD_PATCH = 5,
};

/** Values of upstream.state. */
enum prl_upstream_state {
	PRL_UPSTREAM_STATE_ACTIVE = 0,
	PRL_UPSTREAM_STATE_DRAIN = 1,
};

/** Values of shift.state. */
enum prl_shift_state {
	PRL_SHIFT_STATE_FORWARD = 0,
	PRL_SHIFT_STATE_PAUSE = 1,
	PRL_SHIFT_STATE_BACK = 2,
};

/** [service] The service itself. */
struct prl_service_service {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Name of the service, as callers give it. */
	char name[PRL_NAME_MAX];
	/** Time that a request may take when its caller states none. Unit: ms.
	 */
	int64_t deadline;
	/** Retries allowed as a share of recent successes. Unit: percent. */
	int64_t retry_budget;
	/** Time for which a caller may keep a look-up's answer. Unit: ms. */
	int64_t lookup_ttl;
	/** Rule that chooses an upstream. */
	int choice;
	/** Time over which a new upstream's share grows to its full size. Unit:
	 * ms. */
	int64_t warmup;
};

/** [never_twice] Requests that run at most once. */
struct prl_service_never_twice {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Method of the request. */
	int method;
	/** Path, or its beginning when it ends in an asterisk. */
	char path[PRL_NAME_MAX];
};

/** [region] Where the service runs. */
struct prl_service_region {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Share of traffic with no preference by locality; 0 takes local and
	 * spilled traffic only. */
	int64_t weight;
	/** Requests that the region carries at once. Unit: requests. */
	int64_t capacity;
	/** that take what this one does not carry, nearest first. Unit:
	 * Regions. */
	struct prl_list spill;
};

/** [upstream] One upstream. */
struct prl_service_upstream {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Region that it stands in. */
	char region[PRL_NAME_MAX];
	/** Failure domain that it stands in. */
	char domain[PRL_NAME_MAX];
	/** Address of its HTTP listener. */
	char address[PRL_ADDRESS_MAX];
	/** Requests that it works on at once. Unit: requests. */
	int64_t slots;
	/** Connections that it accepts. Unit: connections. */
	int64_t connections;
	/** Whether it takes new work. */
	int state;
};

/** [link] The share of the link between two regions that this service may use.
 */
struct prl_service_link {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Region that the request comes from. */
	char from[PRL_NAME_MAX];
	/** Region that serves it. */
	char to[PRL_NAME_MAX];
	/** Rate each way. Unit: Mbit/s. */
	int64_t rate;
};

/** [shift] A planned move of traffic between two regions. */
struct prl_service_shift {
	/** Second word of the section's heading; empty if none. */
	char label[PRL_NAME_MAX];
	/** Line of the section's heading; 0 if it is absent. */
	int line;
	/** Region that traffic leaves. */
	char from[PRL_NAME_MAX];
	/** Region that traffic goes to. */
	char to[PRL_NAME_MAX];
	/** Greatest share of the first region's requests that may be moved at
	 * any time. Unit: permille. */
	int64_t cap;
	/** Share added in one step. Unit: permille. */
	int64_t step;
	/** Shortest time between two steps. Unit: ms. */
	int64_t pace;
	/** Direction of the move. */
	int state;
};

/** one service, published by its developers. */
struct prl_service {
	struct prl_service_service service;
	struct prl_service_never_twice *never_twice;
	int nnever_twice;
	struct prl_service_region *region;
	int nregion;
	struct prl_service_upstream *upstream;
	int nupstream;
	struct prl_service_link *link;
	int nlink;
	struct prl_service_shift shift;
};

/** Parser table of this file kind. */
extern const struct prl_schema prl_service_schema;

#endif
